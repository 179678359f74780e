//! Kept answers, with a limit on their total size.

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

/// Answers of requests that ran; the oldest ones are dropped first when space is
/// needed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Answers<A> {
    bytes_max: usize,
    bytes: usize,
    kept: BTreeMap<Sequence, KeptAnswer<A>>,
    /// Sequence numbers of `kept`, in the order in which the answers were added.
    insertion_order: VecDeque<Sequence>,
}

impl<A> Answers<A> {
    pub(super) fn new(bytes_max: usize) -> Self {
        Self { bytes_max, bytes: 0, kept: BTreeMap::new(), insertion_order: VecDeque::new() }
    }

    /// Adds an answer, unless its size alone exceeds the limit.
    ///
    /// Only the first answer of a sequence number is kept, because a request ends
    /// once.
    pub(super) fn add(
        &mut self,
        sequence: Sequence,
        fingerprint: Fingerprint,
        answer: A,
        bytes: usize,
    ) {
        if bytes > self.bytes_max || self.kept.contains_key(&sequence) {
            return;
        }
        self.drop_oldest_for(bytes);
        self.kept.insert(sequence, KeptAnswer { fingerprint, bytes, answer });
        self.insertion_order.push_back(sequence);
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

    /// Returns the total size of the kept answers in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    fn drop_oldest_for(&mut self, bytes: usize) {
        while self.bytes + bytes > self.bytes_max {
            let Some(oldest) = self.insertion_order.pop_front() else { return };
            if let Some(kept) = self.kept.remove(&oldest) {
                self.bytes -= kept.bytes;
            }
        }
    }
}
