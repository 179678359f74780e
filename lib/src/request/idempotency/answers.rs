//! Kept answers, bounded in bytes.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::fingerprint::Fingerprint;
use super::token::Sequence;

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct KeptAnswer<A> {
    fingerprint: Fingerprint,
    bytes: usize,
    answer: A,
}

/// Answers of requests that ran, the oldest dropped first.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Answers<A> {
    bytes_max: usize,
    bytes: usize,
    kept: BTreeMap<Sequence, KeptAnswer<A>>,
    /// Sequences of `kept` in the order in which the answers came.
    order: VecDeque<Sequence>,
}

impl<A> Answers<A> {
    pub(super) fn new(bytes_max: usize) -> Self {
        Self { bytes_max, bytes: 0, kept: BTreeMap::new(), order: VecDeque::new() }
    }

    /// Keeps an answer, unless it alone is larger than the bound.
    ///
    /// A sequence finishes once, so no answer is kept twice.
    pub(super) fn keep(
        &mut self,
        sequence: Sequence,
        fingerprint: Fingerprint,
        answer: A,
        bytes: usize,
    ) {
        if bytes > self.bytes_max || self.kept.contains_key(&sequence) {
            return;
        }
        self.make_room(bytes);
        self.kept.insert(sequence, KeptAnswer { fingerprint, bytes, answer });
        self.order.push_back(sequence);
        self.bytes += bytes;
    }

    pub(super) fn get(&self, sequence: Sequence) -> Option<(Fingerprint, &A)> {
        let kept = self.kept.get(&sequence)?;
        Some((kept.fingerprint, &kept.answer))
    }

    /// Returns the number of kept answers.
    pub(super) fn len(&self) -> usize {
        self.kept.len()
    }

    /// Returns the bytes of the kept answers.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    fn make_room(&mut self, bytes: usize) {
        while self.bytes + bytes > self.bytes_max {
            let Some(oldest) = self.order.pop_front() else { return };
            if let Some(kept) = self.kept.remove(&oldest) {
                self.bytes -= kept.bytes;
            }
        }
    }
}
