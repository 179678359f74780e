//! Learns how many requests the upstream serves well at once.

use super::LimitPolicy;

/// Share of the slots below which the limit never falls.
const MIN_SHARE: f64 = 0.125;

/// Factor on the limit when the upstream shows strain.
const DECREASE: f64 = 0.9;

/// Share of the slots that the limit gains in a window without strain.
const INCREASE_SHARE: f64 = 0.025;

/// Ratio of current to long-term latency that counts as strain.
const TOLERANCE: f64 = 2.0;

/// Share of the limit that must have been in use before it grows.
const IN_USE: f64 = 0.8;

/// Fewest latency samples that a window needs to be judged.
const MIN_SAMPLES: u32 = 5;

/// Concurrency limit between a share of the slots and all of them.
#[derive(Clone, Debug)]
pub(super) struct ConcurrencyLimit {
    policy: LimitPolicy,
    slots: f64,
    limit: f64,
    ratio_sum: f64,
    samples: u32,
    overloaded: u32,
    most_in_use: usize,
}

impl ConcurrencyLimit {
    pub(super) fn new(policy: LimitPolicy, slots: usize) -> Self {
        let slots = slots.max(1) as f64;
        Self {
            policy,
            slots,
            limit: slots,
            ratio_sum: 0.0,
            samples: 0,
            overloaded: 0,
            most_in_use: 0,
        }
    }

    pub(super) fn get(&self) -> usize {
        self.limit as usize
    }

    /// Notes the ratio of a latency to the long-term one.
    pub(super) fn sample(&mut self, ratio: f64) {
        self.ratio_sum += ratio;
        self.samples += 1;
    }

    /// Notes that the upstream refused work for overload.
    pub(super) fn upstream_overloaded(&mut self) {
        self.overloaded += 1;
    }

    pub(super) fn in_use(&mut self, in_progress: usize) {
        self.most_in_use = self.most_in_use.max(in_progress);
    }

    /// Closes a window and adapts the limit.
    pub(super) fn roll(&mut self) {
        let judged = self.samples >= MIN_SAMPLES;
        let ratio = if judged { self.ratio_sum / f64::from(self.samples) } else { 1.0 };
        let used = self.most_in_use as f64 >= self.limit * IN_USE;
        let limit = match self.policy {
            LimitPolicy::Slots => self.slots,
            LimitPolicy::Aimd => self.aimd(ratio, used),
            LimitPolicy::Gradient => self.gradient(ratio, used),
        };
        self.limit = limit.clamp((self.slots * MIN_SHARE).max(1.0), self.slots);
        self.ratio_sum = 0.0;
        self.samples = 0;
        self.overloaded = 0;
        self.most_in_use = 0;
    }

    fn aimd(&self, ratio: f64, used: bool) -> f64 {
        if self.overloaded > 0 || ratio > TOLERANCE {
            self.limit * DECREASE
        } else if used {
            self.limit + (self.slots * INCREASE_SHARE).max(1.0)
        } else {
            self.limit
        }
    }

    fn gradient(&self, ratio: f64, used: bool) -> f64 {
        if self.overloaded > 0 {
            return self.limit * DECREASE;
        }
        if !used {
            return self.limit;
        }
        let gradient = (TOLERANCE / ratio).clamp(0.5, 1.0);
        self.limit * gradient + self.limit.sqrt()
    }
}
