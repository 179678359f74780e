//! Learns how many requests the upstream serves at once.
//!
//! Only a refusal by the upstream lowers the limit. Latency does not: it also
//! rises when a deeper service slows down, and then fewer requests at once only
//! waste slots; `docs/design/policy.md` has the figures.

use super::LimitPolicy;

/// Share of the slots below which the limit never falls.
const MIN_LIMIT_SHARE: f64 = 0.125;

/// Factor on the limit after a window in which the upstream refused work.
const DECREASE_FACTOR: f64 = 0.9;

/// Share of the slots that the limit gains in a window without a refusal.
const INCREASE_SHARE: f64 = 0.025;

/// Share of the limit that must have been in use before it grows.
const MIN_UTILIZATION: f64 = 0.8;

/// Concurrency limit between a share of the slots and all of them.
#[derive(Clone, Debug)]
pub(super) struct ConcurrencyLimit {
    policy: LimitPolicy,
    slots: f64,
    limit: f64,
    refusals: u32,
    peak_in_progress: usize,
}

impl ConcurrencyLimit {
    pub(super) fn new(policy: LimitPolicy, slots: usize) -> Self {
        let slots = slots.max(1) as f64;
        Self { policy, slots, limit: slots, refusals: 0, peak_in_progress: 0 }
    }

    pub(super) fn get(&self) -> usize {
        self.limit as usize
    }

    /// Notes that the upstream refused work while `in_progress` requests were
    /// at it.
    ///
    /// An upstream that refuses while it has slots to spare does so for another
    /// reason than load, and would refuse as much under a lower limit.
    pub(super) fn record_refusal(&mut self, in_progress: usize) {
        if in_progress as f64 >= self.limit * MIN_UTILIZATION {
            self.refusals += 1;
        }
    }

    pub(super) fn record_in_progress(&mut self, in_progress: usize) {
        self.peak_in_progress = self.peak_in_progress.max(in_progress);
    }

    /// Closes a window and adapts the limit.
    pub(super) fn close_window(&mut self) {
        let is_utilized = self.peak_in_progress as f64 >= self.limit * MIN_UTILIZATION;
        let limit = match self.policy {
            LimitPolicy::Slots => self.slots,
            LimitPolicy::Aimd if self.refusals > 0 => self.limit * DECREASE_FACTOR,
            LimitPolicy::Aimd if is_utilized => self.limit + (self.slots * INCREASE_SHARE).max(1.0),
            LimitPolicy::Aimd => self.limit,
        };
        self.limit = limit.clamp((self.slots * MIN_LIMIT_SHARE).max(1.0), self.slots);
        self.refusals = 0;
        self.peak_in_progress = 0;
    }
}
