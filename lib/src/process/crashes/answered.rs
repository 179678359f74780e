//! Contents of requests that the local upstream has answered.

use std::time::Duration;

use crate::request::ContentDigest;

/// Number of remembered contents; a power of two. A content takes the place of the one with
/// the same low bits, so that one that is answered often is nearly always remembered.
const SLOTS: usize = 2048;

/// Contents of the requests that the upstream answered last.
#[derive(Debug)]
pub(super) struct AnsweredContents {
    slots: Box<[Option<(ContentDigest, Duration)>]>,
}

impl Default for AnsweredContents {
    fn default() -> Self {
        Self { slots: vec![None; SLOTS].into_boxed_slice() }
    }
}

impl AnsweredContents {
    pub(super) fn record(&mut self, now: Duration, content: ContentDigest) {
        self.slots[slot(content)] = Some((content, now));
    }

    /// Returns when a request with the content was last answered.
    pub(super) fn answered_at(&self, content: ContentDigest) -> Option<Duration> {
        let (known, at) = self.slots[slot(content)]?;
        (known == content).then_some(at)
    }
}

fn slot(content: ContentDigest) -> usize {
    content.0 as usize % SLOTS
}
