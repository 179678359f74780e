//! Cost of sending a call to an instance, estimated from the load that it reported.
//!
//! Load pattern: a surge fills the instances of one availability zone, or one instance
//! is slower than the others or refuses part of its requests, while other instances have
//! free slots. Calls stay in the daemon's own zone unless it is much more loaded, because
//! traffic between zones is expensive and slow. See `docs/design/routing.md`.

use std::time::Duration;

use super::LoadReport;

/// Maximum utilization assumed for an instance without a recent report: when all others
/// are full, trying it is worthwhile.
const ASSUMED_UTILIZATION_MAX: f64 = 0.5;
/// Utilization added by each call to an instance that has not reported yet. Two calls from
/// each of a dozen daemons fill an instance with few slots.
const UNREPORTED_CALL_UTILIZATION: f64 = 0.05;
/// Time constant of the exponential decay of the weight of a reported utilization.
const UTILIZATION_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Time constant of the decay of the weight of a reported success ratio. An instance that
/// fails is called rarely, so its reports are old; with the shorter constant each daemon
/// would take it for sound again after a second, and hundreds of daemons would waste a
/// repeat each.
const SUCCESS_TIME_CONSTANT: Duration = Duration::from_secs(4);
/// Weight above which a report counts as fresh, which is for about 0.7 s.
const FRESH_WEIGHT_MIN: f64 = 0.5;
/// Utilization added to every instance. An instance with a low success ratio therefore
/// costs more than one with a high ratio even if both are idle.
const IDLE_UTILIZATION: f64 = 0.3;
/// Lower bound on the success ratio in the cost.
const SUCCESS_RATIO_MIN: f64 = 0.05;
/// Cost of an attempt that certainly fails, beside that of the work: the attempt spends
/// a repeat, and without one the request that waits for it is lost. It exceeds the cost
/// of another zone and that of a full instance.
const FAILURE_COST: f64 = 1.5;

/// Cost by distance: within the zone, within the region, beyond the region.
const DISTANCE_COSTS: [f64; 3] = [0.0, 0.35, 2.0];

/// Load report of one instance, with the state of this daemon when it arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedReport {
    pub(crate) report: LoadReport,
    pub(crate) received_at: Duration,
    /// Calls of this daemon that were outstanding at the instance when the report arrived.
    pub(crate) outstanding: u32,
}

impl ReceivedReport {
    /// Returns the weight of a part of the report, which decays from 1 with its age.
    fn weight(&self, now: Duration, time_constant: Duration) -> f64 {
        let age = now.saturating_sub(self.received_at).as_secs_f64();
        (-age / time_constant.as_secs_f64()).exp()
    }

    /// Returns the utilization from the report and the calls sent since.
    fn utilization(&self, outstanding: u32) -> f64 {
        let sent_since = f64::from(outstanding) - f64::from(self.outstanding);
        (self.report.utilization() + sent_since / f64::from(self.report.slots.max(1))).max(0.0)
    }
}

/// Load of one candidate for a call, as known to this daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidateLoad<'a> {
    pub(crate) received: Option<&'a ReceivedReport>,
    /// Calls of this daemon that are outstanding at the instance.
    pub(crate) outstanding: u32,
    /// Share of its usual load that the instance can take, below 1 while it is cold.
    pub(crate) share: f64,
    /// Distance of the instance: 0 in the own zone, 1 in the own region, 2 beyond.
    pub(crate) distance: usize,
}

/// Returns the utilization, relative to an instance's share, to assume for instances
/// without a recent report.
///
/// It is that of the least utilized instance with a fresh report. Idle instances thus get
/// equal load, and a cold instance gets a first call.
pub(crate) fn estimate_unreported_utilization<'a>(
    now: Duration,
    candidates: impl Iterator<Item = CandidateLoad<'a>>,
) -> f64 {
    let fresh_utilizations = candidates.filter_map(|candidate| {
        let received = candidate.received.filter(|received| {
            received.weight(now, UTILIZATION_TIME_CONSTANT) > FRESH_WEIGHT_MIN
        })?;
        Some(received.utilization(candidate.outstanding) / candidate.share)
    });
    fresh_utilizations.fold(ASSUMED_UTILIZATION_MAX, f64::min)
}

/// Returns the cost of one more call to an instance.
///
/// The older the report, the more `assumed_utilization` replaces the reported one.
pub(crate) fn cost(now: Duration, candidate: &CandidateLoad<'_>, assumed_utilization: f64) -> f64 {
    let sent_utilization =
        f64::from(candidate.outstanding) * UNREPORTED_CALL_UTILIZATION / candidate.share;
    let unreported = assumed_utilization + sent_utilization;
    let (utilization, success_ratio) = match candidate.received {
        Some(received) => {
            let weight = received.weight(now, UTILIZATION_TIME_CONSTANT);
            let reported = received.utilization(candidate.outstanding) / candidate.share;
            let success_weight = received.weight(now, SUCCESS_TIME_CONSTANT);
            (
                unreported + (reported - unreported) * weight,
                1.0 + (received.report.success_ratio - 1.0) * success_weight,
            )
        }
        None => (unreported, 1.0),
    };
    let distance_cost = DISTANCE_COSTS[candidate.distance.min(DISTANCE_COSTS.len() - 1)];
    let work_cost = (utilization + IDLE_UTILIZATION) / success_ratio.max(SUCCESS_RATIO_MIN);
    work_cost + (1.0 - success_ratio) * FAILURE_COST + distance_cost
}
