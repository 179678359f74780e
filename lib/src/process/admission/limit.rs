//! Adapts the concurrency limit of the upstream.
//!
//! Only a refusal by the upstream lowers the limit. Latency is not used, because it
//! also rises when a deeper service slows down. A lower limit would then only leave
//! slots unused; `docs/design/policy.md` has the measurements.

use super::LimitPolicy;

/// Minimum of the limit as a share of the slots.
const MIN_LIMIT_SHARE: f64 = 0.125;

/// Factor applied to the limit after a window in which the upstream refused work.
const DECREASE_FACTOR: f64 = 0.9;

/// Increase of the limit, as a share of the slots, in a window without a refusal.
const INCREASE_SHARE: f64 = 0.025;

/// Share of the limit that must be in use for the limit to grow or for a refusal to
/// count.
const MIN_UTILIZATION: f64 = 0.8;

/// Concurrency limit between a minimum share of the slots and all of them.
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

    /// Records that the upstream refused work while it had `in_progress` requests.
    ///
    /// A refusal while the upstream has free slots is ignored: its reason is not
    /// overload, and a lower limit would not reduce such refusals.
    pub(super) fn record_refusal(&mut self, in_progress: usize) {
        if in_progress as f64 >= self.limit * MIN_UTILIZATION {
            self.refusals += 1;
        }
    }

    pub(super) fn record_in_progress(&mut self, in_progress: usize) {
        self.peak_in_progress = self.peak_in_progress.max(in_progress);
    }

    /// Ends a window and adapts the limit.
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
