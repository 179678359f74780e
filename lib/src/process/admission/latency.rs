//! What the daemon has measured of its upstream.

use std::time::Duration;

use crate::version::Criticality;

/// Weight of a new sample in the estimate of the service time.
const SHORT_GAIN: f64 = 0.1;

/// Time without a sample in which the estimate of the service time halves.
///
/// An estimate above every deadline would otherwise refuse all work and never
/// be corrected.
const HALF_LIFE_SECONDS: f64 = 1.0;

/// Service time of one criticality, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct ClassLatency {
    short: f64,
    held: f64,
    samples: u32,
    last_sample: Duration,
}

/// Service times by criticality.
#[derive(Clone, Debug, Default)]
pub(super) struct Latencies {
    classes: [ClassLatency; Criticality::ALL.len()],
}

impl Latencies {
    /// Notes a measured latency.
    pub(super) fn sample(&mut self, now: Duration, criticality: Criticality, latency: Duration) {
        let class = &mut self.classes[usize::from(criticality.rank())];
        class.last_sample = now;
        class.samples = class.samples.saturating_add(1);
        let first = 1.0 / f64::from(class.samples);
        class.short += (latency.as_secs_f64() - class.short) * SHORT_GAIN.max(first);
    }

    /// Notes work that was given up on: its latency is at least `elapsed`.
    pub(super) fn sample_at_least(
        &mut self,
        now: Duration,
        criticality: Criticality,
        elapsed: Duration,
    ) {
        if elapsed > self.service_time(now, criticality) {
            self.sample(now, criticality, elapsed);
        }
    }

    /// Notes how long a request held its slot.
    pub(super) fn held(&mut self, criticality: Criticality, time: Duration) {
        let class = &mut self.classes[usize::from(criticality.rank())];
        class.held += (time.as_secs_f64() - class.held) * SHORT_GAIN;
    }

    /// Returns how long requests of a criticality hold a slot, in seconds.
    pub(super) fn hold_seconds(&self, criticality: Criticality) -> f64 {
        self.classes[usize::from(criticality.rank())].held
    }

    /// Returns the time that a request of a criticality takes once started.
    pub(super) fn service_time(&self, now: Duration, criticality: Criticality) -> Duration {
        let class = &self.classes[usize::from(criticality.rank())];
        let silence = now.saturating_sub(class.last_sample).as_secs_f64();
        Duration::from_secs_f64(class.short * (-silence / HALF_LIFE_SECONDS).exp2())
    }
}

/// Weight of the last window in the drain rate.
const DRAIN_GAIN: f64 = 0.3;

/// Completions a second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DrainRate {
    completed: u32,
    per_second: f64,
}

impl DrainRate {
    pub(super) fn completed(&mut self) {
        self.completed += 1;
    }

    /// Closes a window.
    pub(super) fn roll(&mut self, window: Duration) {
        let completed = std::mem::take(&mut self.completed);
        let rate = f64::from(completed) / window.as_secs_f64();
        self.per_second += (rate - self.per_second) * DRAIN_GAIN;
    }

    /// Returns the rate, at least one a second so that waits stay finite.
    pub(super) fn per_second(&self) -> f64 {
        self.per_second.max(1.0)
    }
}
