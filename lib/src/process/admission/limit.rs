//! Learns how many requests the upstream serves at once.
//!
//! Only a refusal by the upstream lowers the limit. Latency does not: it also
//! rises when a deeper service slows down, and then fewer requests at once only
//! waste slots; `docs/design/policy.md` has the figures.

use super::LimitPolicy;

/// Share of the slots below which the limit never falls.
const MIN_SHARE: f64 = 0.125;

/// Factor on the limit after a window in which the upstream refused work.
const DECREASE: f64 = 0.9;

/// Share of the slots that the limit gains in a window without a refusal.
const INCREASE_SHARE: f64 = 0.025;

/// Share of the limit that must have been in use before it grows.
const IN_USE: f64 = 0.8;

/// Concurrency limit between a share of the slots and all of them.
#[derive(Clone, Debug)]
pub(super) struct ConcurrencyLimit {
    policy: LimitPolicy,
    slots: f64,
    limit: f64,
    overloaded: u32,
    most_in_use: usize,
}

impl ConcurrencyLimit {
    pub(super) fn new(policy: LimitPolicy, slots: usize) -> Self {
        let slots = slots.max(1) as f64;
        Self { policy, slots, limit: slots, overloaded: 0, most_in_use: 0 }
    }

    pub(super) fn get(&self) -> usize {
        self.limit as usize
    }

    /// Notes that the upstream refused work while `in_progress` requests were
    /// at it.
    ///
    /// An upstream that refuses while it has slots to spare does so for another
    /// reason than load, and would refuse as much under a lower limit.
    pub(super) fn upstream_refused(&mut self, in_progress: usize) {
        if in_progress as f64 >= self.limit * IN_USE {
            self.overloaded += 1;
        }
    }

    pub(super) fn in_use(&mut self, in_progress: usize) {
        self.most_in_use = self.most_in_use.max(in_progress);
    }

    /// Closes a window and adapts the limit.
    pub(super) fn roll(&mut self) {
        let used = self.most_in_use as f64 >= self.limit * IN_USE;
        let limit = match self.policy {
            LimitPolicy::Slots => self.slots,
            LimitPolicy::Aimd if self.overloaded > 0 => self.limit * DECREASE,
            LimitPolicy::Aimd if used => self.limit + (self.slots * INCREASE_SHARE).max(1.0),
            LimitPolicy::Aimd => self.limit,
        };
        self.limit = limit.clamp((self.slots * MIN_SHARE).max(1.0), self.slots);
        self.overloaded = 0;
        self.most_in_use = 0;
    }
}
