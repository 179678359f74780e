//! What it costs to send a call to an instance, as far as is known.
//!
//! Load pattern: a surge fills the instances of one availability zone, or one
//! instance is slower than the others or refuses part of its work, while others
//! have room. Work stays in the own zone as long as it is not much worse there,
//! because bytes between zones are dear and slow. See `docs/design/routing.md`.

use std::time::Duration;

use super::LoadReport;

/// Greatest fill that an instance is taken to have of which nothing was heard
/// lately: when those heard of are full, it is worth a try.
const ASSUMED_UTILIZATION_MAX: f64 = 0.5;
/// Fill that each call adds at an instance that has not answered yet: two calls of
/// each of a dozen daemons are a full instance of few slots.
const UNREPORTED_CALL_UTILIZATION: f64 = 0.05;
/// Time in which a report loses most of its worth.
const REPORT_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Worth above which a report counts as fresh: for about 0.7 s.
const FRESH_WEIGHT_MIN: f64 = 0.5;
/// Fill of an idle instance, so that one which answers badly costs more than
/// one which answers well even if both are idle.
const IDLE_UTILIZATION: f64 = 0.3;
/// Least share of good answers that is reckoned with.
const SUCCESS_RATIO_MIN: f64 = 0.05;

/// Fill for which a call goes one step further: out of the zone, of the region.
const DISTANCE_COSTS: [f64; 3] = [0.0, 0.35, 2.0];

/// What is known of the load of one instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedReport {
    pub(crate) report: LoadReport,
    pub(crate) received_at: Duration,
    /// Calls of this daemon that were outstanding there at that time.
    pub(crate) outstanding: u32,
}

impl ReceivedReport {
    /// Returns how much of the report's worth is left.
    fn weight(&self, now: Duration) -> f64 {
        let age =
            now.saturating_sub(self.received_at).as_secs_f64() / REPORT_TIME_CONSTANT.as_secs_f64();
        (-age).exp()
    }

    /// Returns the fill by the report and the calls sent since.
    fn utilization(&self, outstanding: u32) -> f64 {
        let sent_since = f64::from(outstanding) - f64::from(self.outstanding);
        (self.report.fill() + sent_since / f64::from(self.report.slots.max(1))).max(0.0)
    }
}

/// What is known of one candidate for a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidateLoad<'a> {
    pub(crate) received: Option<&'a ReceivedReport>,
    /// Calls of this daemon that are outstanding there.
    pub(crate) outstanding: u32,
    /// Part of its usual work that it can take while it is cold.
    pub(crate) share: f64,
    /// Its distance: 0 in the own zone, 1 in the own region, 2 beyond.
    pub(crate) distance: usize,
}

/// Returns the fill, for each part of an instance's share, to reckon with where
/// nothing was heard lately: that of the least filled instance heard of, so that
/// idle instances share their work alike, and one that is cold gets a first call.
pub(crate) fn estimate_unreported_utilization<'a>(
    now: Duration,
    candidates: impl Iterator<Item = CandidateLoad<'a>>,
) -> f64 {
    let fresh_utilizations = candidates.filter_map(|candidate| {
        let received =
            candidate.received.filter(|received| received.weight(now) > FRESH_WEIGHT_MIN)?;
        Some(received.utilization(candidate.outstanding) / candidate.share)
    });
    fresh_utilizations.fold(ASSUMED_UTILIZATION_MAX, f64::min)
}

/// Returns the cost of one more call to an instance, with the fill that is
/// assumed as far as nothing was heard lately.
pub(crate) fn cost(now: Duration, candidate: &CandidateLoad<'_>, assumed_utilization: f64) -> f64 {
    let sent_utilization =
        f64::from(candidate.outstanding) * UNREPORTED_CALL_UTILIZATION / candidate.share;
    let unreported = assumed_utilization + sent_utilization;
    let (utilization, success_ratio) = match candidate.received {
        Some(received) => {
            let weight = received.weight(now);
            let reported = received.utilization(candidate.outstanding) / candidate.share;
            (
                unreported + (reported - unreported) * weight,
                1.0 + (received.report.good - 1.0) * weight,
            )
        }
        None => (unreported, 1.0),
    };
    let distance_cost = DISTANCE_COSTS[candidate.distance.min(DISTANCE_COSTS.len() - 1)];
    (utilization + IDLE_UTILIZATION) / success_ratio.max(SUCCESS_RATIO_MIN) + distance_cost
}
