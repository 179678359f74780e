//! Bounds how long ago a change was confirmed that an answer of the catalog tells.

use std::time::Duration;

/// Time up to which a daemon knows all changes of a part of the catalog, by
/// [`crate::process::clock::boot_time`].
///
/// Load pattern: a call is lost in an outage that is shorter than the call waits, and an instance
/// leaves before the daemon gives the call up. The answer to the next call tells it seconds late.
///
/// The transit of answers is not counted: it takes milliseconds while the bounds on a daemon hold.
/// See `docs/design/membership.md`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Watermark(Duration);

impl Watermark {
    /// Creates a watermark of a daemon that knows all changes up to a time.
    pub fn at(at: Duration) -> Self {
        Self(at)
    }

    /// Returns the time up to which all changes are known.
    pub fn time(self) -> Duration {
        self.0
    }

    /// Records the answer to a call that waits for changes. Returns the earliest time at which
    /// changes in the answer may have been confirmed.
    ///
    /// A change is told at once unless no call was waiting for it. So it is at most as old as the
    /// time between the last answer and this call.
    pub fn record_watch(&mut self, asked_at: Duration, answered_at: Duration) -> Duration {
        let since = self.earliest(asked_at, answered_at);
        self.0 = answered_at;
        since
    }

    /// Records that the catalog has discarded the changes that a call waited for.
    pub fn record_discarded(&mut self, asked_at: Duration, answered_at: Duration) {
        self.0 = self.earliest(asked_at, answered_at);
    }

    /// Records the answer to a call that reads the current state; returns the same as
    /// [`Self::record_watch`].
    pub fn record_read(&mut self, asked_at: Duration) -> Duration {
        std::mem::replace(&mut self.0, asked_at)
    }

    fn earliest(self, asked_at: Duration, answered_at: Duration) -> Duration {
        answered_at.saturating_sub(asked_at.saturating_sub(self.0))
    }
}
