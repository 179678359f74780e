//! Sliding window of token states, stored in two bits each.

use std::collections::BTreeMap;
use std::num::NonZeroU32;

use super::token::Sequence;

/// Token states that are stored in one byte.
const STATES_PER_BYTE: u64 = 4;

/// State of a token that is in the window.
///
/// The discriminants are the stored bits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TokenState {
    /// The token was never used.
    Unused,
    /// The token was used, and whether its request ran is not known, or not yet.
    Used,
    /// The request under the token ran.
    Ran,
    /// The request under the token did not run, and the token is void.
    NotRun,
}

impl TokenState {
    fn from_bits(bits: u8) -> Self {
        match bits & 0b11 {
            0 => Self::Unused,
            1 => Self::Used,
            2 => Self::Ran,
            _ => Self::NotRun,
        }
    }
}

/// Sliding window of token states, indexed by sequence number.
///
/// A block of states is allocated when the first token of the block is used, so
/// tokens that are issued and never used take no memory and don't move the
/// window. When there are more blocks than the limit, the lowest one is dropped.
/// From then on, its sequence numbers and all lower ones are below the window.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct StateWindow {
    block_len: u64,
    blocks_max: usize,
    blocks: BTreeMap<u64, Box<[u8]>>,
    /// Index of the lowest block that may be in the window; never decreases.
    lowest_block: u64,
}

impl StateWindow {
    pub(super) fn new(block_len: NonZeroU32, blocks_max: NonZeroU32) -> Self {
        Self {
            block_len: u64::from(block_len.get()),
            blocks_max: blocks_max.get() as usize,
            blocks: BTreeMap::new(),
            lowest_block: 0,
        }
    }

    /// Returns the state of a token, or `None` if the token is below the window.
    pub(super) fn get(&self, sequence: Sequence) -> Option<TokenState> {
        let (block, index_in_block) = self.locate(sequence);
        if block < self.lowest_block {
            return None;
        }
        let Some(bytes) = self.blocks.get(&block) else {
            return Some(TokenState::Unused);
        };
        let byte = bytes[(index_in_block / STATES_PER_BYTE) as usize];
        Some(TokenState::from_bits(byte >> bit_offset(index_in_block)))
    }

    /// Sets the state of a token and returns whether the token is in the window.
    ///
    /// If a new block exceeds the limit, the lowest block is dropped. That may be
    /// the new block itself; then the state isn't stored and the result is false.
    #[must_use]
    pub(super) fn set(&mut self, sequence: Sequence, state: TokenState) -> bool {
        let (block, index_in_block) = self.locate(sequence);
        if block < self.lowest_block {
            return false;
        }
        let block_bytes = self.block_len.div_ceil(STATES_PER_BYTE) as usize;
        let bytes =
            self.blocks.entry(block).or_insert_with(|| vec![0; block_bytes].into_boxed_slice());
        let byte = &mut bytes[(index_in_block / STATES_PER_BYTE) as usize];
        *byte = *byte & !(0b11 << bit_offset(index_in_block))
            | (state as u8) << bit_offset(index_in_block);
        self.drop_lowest_block_over_limit();
        block >= self.lowest_block
    }

    /// Returns the size of all blocks in bytes, without the tree that holds them.
    pub(super) fn bytes(&self) -> usize {
        self.blocks.values().map(|block| block.len()).sum()
    }

    fn drop_lowest_block_over_limit(&mut self) {
        if self.blocks.len() <= self.blocks_max {
            return;
        }
        if let Some((lowest, _)) = self.blocks.pop_first() {
            self.lowest_block = lowest + 1;
        }
    }

    fn locate(&self, Sequence(sequence): Sequence) -> (u64, u64) {
        (sequence / self.block_len, sequence % self.block_len)
    }
}

fn bit_offset(index_in_block: u64) -> u32 {
    (index_in_block % STATES_PER_BYTE) as u32 * 2
}
