//! Service times and completion rate that the daemon measured at its upstream.

use std::time::Duration;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use crate::version::Criticality;
use crate::version::PlanKey;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Time after which the estimate of the service time halves if no sample arrives.
///
/// Without decay, an estimate above every deadline would shed all requests, so that
/// no new sample could correct it.
const ESTIMATE_HALF_LIFE_SECONDS: f64 = 1.0;

/// Maximum number of kinds that are tracked; the one tracked longest is evicted.
const KINDS_MAX: usize = 4096;

/// Estimates for one kind of work, the requests of one rule or route.
#[derive(Clone, Copy, Debug, Default)]
struct KindEstimate {
    /// Average time until the head of the answer arrives, in seconds.
    service_seconds: f64,
    service_samples: u32,
    last_service_sample: Duration,
    /// Average time for which a request holds a slot, in seconds.
    hold_seconds: f64,
    hold_samples: u32,
    running: u32,
}

/// Service times by kind of work, because kinds of one criticality may differ by a
/// factor of ten or more.
#[derive(Clone, Debug, Default)]
pub(super) struct Latencies {
    kinds: IndexMap<PlanKey, KindEstimate, FxBuildHasher>,
    /// Average time for which requests of each criticality hold a slot, in seconds.
    criticality_hold_seconds: [f64; Criticality::ALL.len()],
}

impl Latencies {
    /// Records a measured service time.
    pub(super) fn record_service_time(&mut self, now: Duration, kind: PlanKey, latency: Duration) {
        let kind = self.kind_mut(kind);
        kind.last_service_sample = now;
        kind.service_samples = kind.service_samples.saturating_add(1);
        update_average(&mut kind.service_seconds, latency.as_secs_f64(), kind.service_samples);
    }

    /// Records that a request was abandoned after `elapsed`, which is a lower bound for
    /// its service time.
    pub(super) fn record_lower_bound(&mut self, now: Duration, kind: PlanKey, elapsed: Duration) {
        if elapsed > self.service_time(now, kind) {
            self.record_service_time(now, kind, elapsed);
        }
    }

    /// Records that a request took a slot.
    pub(super) fn slot_taken(&mut self, kind: PlanKey) {
        self.kind_mut(kind).running += 1;
    }

    /// Records how long a request held its slot.
    pub(super) fn slot_released(
        &mut self,
        criticality: Criticality,
        kind: PlanKey,
        held: Duration,
    ) {
        let average = &mut self.criticality_hold_seconds[usize::from(criticality.rank())];
        *average += (held.as_secs_f64() - *average) * SAMPLE_WEIGHT;
        let kind = self.kind_mut(kind);
        kind.running = kind.running.saturating_sub(1);
        kind.hold_samples = kind.hold_samples.saturating_add(1);
        update_average(&mut kind.hold_seconds, held.as_secs_f64(), kind.hold_samples);
    }

    /// Returns the average time for which requests of a criticality hold a slot.
    pub(super) fn hold_seconds(&self, criticality: Criticality) -> f64 {
        self.criticality_hold_seconds[usize::from(criticality.rank())]
    }

    /// Returns the average time for which requests of a kind hold a slot, in seconds.
    pub(super) fn kind_hold_seconds(&self, kind: PlanKey) -> f64 {
        self.kinds.get(&kind).map_or(0.0, |kind| kind.hold_seconds)
    }

    /// Returns the rate at which the running requests are expected to complete.
    pub(super) fn expected_completions_per_second(&self) -> f64 {
        let kinds = self.kinds.values().filter(|kind| kind.hold_seconds > 0.0);
        kinds.map(|kind| f64::from(kind.running) / kind.hold_seconds).sum()
    }

    /// Returns the expected service time of a request of a kind.
    pub(super) fn service_time(&self, now: Duration, kind: PlanKey) -> Duration {
        let Some(kind) = self.kinds.get(&kind) else { return Duration::ZERO };
        let since_sample = now.saturating_sub(kind.last_service_sample).as_secs_f64();
        Duration::from_secs_f64(
            kind.service_seconds * (-since_sample / ESTIMATE_HALF_LIFE_SECONDS).exp2(),
        )
    }

    fn kind_mut(&mut self, kind: PlanKey) -> &mut KindEstimate {
        if self.kinds.len() >= KINDS_MAX && !self.kinds.contains_key(&kind) {
            self.kinds.shift_remove_index(0);
        }
        self.kinds.entry(kind).or_default()
    }
}

/// Updates a moving average. The first samples are averaged with equal weights.
fn update_average(estimate: &mut f64, sample: f64, samples: u32) {
    let plain_average_weight = 1.0 / f64::from(samples);
    *estimate += (sample - *estimate) * SAMPLE_WEIGHT.max(plain_average_weight);
}

/// Weight of the latest window in the moving average of the drain rate.
const WINDOW_WEIGHT: f64 = 0.3;

/// Rate at which the upstream completes requests, averaged over windows.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DrainRate {
    completed: u32,
    per_second: f64,
}

impl DrainRate {
    pub(super) fn record_completion(&mut self) {
        self.completed += 1;
    }

    /// Ends a window and adds its completions to the average.
    pub(super) fn close_window(&mut self, window: Duration) {
        let completed = std::mem::take(&mut self.completed);
        let rate = f64::from(completed) / window.as_secs_f64();
        self.per_second += (rate - self.per_second) * WINDOW_WEIGHT;
    }

    /// Returns the completions per second, at least 1 so that estimated waits stay finite.
    pub(super) fn per_second(&self) -> f64 {
        self.per_second.max(1.0)
    }
}
