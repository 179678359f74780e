//! Two bits for each sequence of the window.

use std::collections::BTreeMap;
use std::num::NonZeroU32;

use super::token::Sequence;

/// Marks in one byte.
const MARKS_PER_BYTE: u64 = 4;

/// What the issuer remembers of a token for as long as it is in the window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Mark {
    /// Never used.
    Unused,
    /// Used, and whether the request ran is not known, or not yet.
    Used,
    /// The request ran.
    Ran,
    /// The request did not run, and the token is void.
    NotRun,
}

impl Mark {
    fn from_bits(bits: u8) -> Self {
        match bits & 0b11 {
            0 => Self::Unused,
            1 => Self::Used,
            2 => Self::Ran,
            _ => Self::NotRun,
        }
    }
}

/// Marks over a window of sequences.
///
/// Memory is taken in blocks when the first token of a block is used, so
/// tokens that are issued and never used cost nothing and don't move the
/// window. Past the limit the lowest block is dropped, and every sequence up
/// to its end is below the window from then on.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Marks {
    block_len: u64,
    blocks_max: usize,
    blocks: BTreeMap<u64, Box<[u8]>>,
    /// Lowest block that may still be in the window. Never falls.
    floor: u64,
}

impl Marks {
    pub(super) fn new(block_len: NonZeroU32, blocks_max: NonZeroU32) -> Self {
        Self {
            block_len: u64::from(block_len.get()),
            blocks_max: blocks_max.get() as usize,
            blocks: BTreeMap::new(),
            floor: 0,
        }
    }

    /// Returns the mark of a sequence, or `None` below the window.
    pub(super) fn get(&self, sequence: Sequence) -> Option<Mark> {
        let (block, at) = self.locate(sequence);
        if block < self.floor {
            return None;
        }
        let Some(bytes) = self.blocks.get(&block) else {
            return Some(Mark::Unused);
        };
        let byte = bytes[(at / MARKS_PER_BYTE) as usize];
        Some(Mark::from_bits(byte >> shift(at)))
    }

    /// Sets the mark of a sequence and tells whether it is in the window.
    ///
    /// A new block may push the lowest one out. That may be the new block
    /// itself; then nothing is remembered and the result is false.
    #[must_use]
    pub(super) fn set(&mut self, sequence: Sequence, mark: Mark) -> bool {
        let (block, at) = self.locate(sequence);
        if block < self.floor {
            return false;
        }
        let block_bytes = self.block_len.div_ceil(MARKS_PER_BYTE) as usize;
        let bytes =
            self.blocks.entry(block).or_insert_with(|| vec![0; block_bytes].into_boxed_slice());
        let byte = &mut bytes[(at / MARKS_PER_BYTE) as usize];
        *byte = *byte & !(0b11 << shift(at)) | (mark as u8) << shift(at);
        self.drop_lowest_past_limit();
        block >= self.floor
    }

    /// Returns the bytes held by the blocks, without the tree around them.
    pub(super) fn bytes(&self) -> usize {
        self.blocks.values().map(|block| block.len()).sum()
    }

    fn drop_lowest_past_limit(&mut self) {
        if self.blocks.len() <= self.blocks_max {
            return;
        }
        if let Some((lowest, _)) = self.blocks.pop_first() {
            self.floor = lowest + 1;
        }
    }

    fn locate(&self, Sequence(sequence): Sequence) -> (u64, u64) {
        (sequence / self.block_len, sequence % self.block_len)
    }
}

fn shift(at: u64) -> u32 {
    (at % MARKS_PER_BYTE) as u32 * 2
}
