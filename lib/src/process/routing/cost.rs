//! What it costs to send a call to an instance, as far as is known.
//!
//! Load pattern: a surge fills the instances of one availability zone, or one
//! instance is slower than the others or refuses part of its work, while others
//! have room. Work stays in the own zone as long as it is not much worse there,
//! because bytes between zones are dear and slow. See `docs/design/routing.md`.

use std::time::Duration;

use super::LoadReport;

/// Fill that an instance is taken to have of which nothing was heard lately.
const UNKNOWN_FILL: f64 = 0.5;
/// Time in which a report loses most of its worth.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Fill of an idle instance, so that one which answers badly costs more than
/// one which answers well even if both are idle.
const IDLE_FILL: f64 = 0.3;
/// Least share of good answers that is reckoned with.
const LEAST_GOOD: f64 = 0.05;

/// Fill for which a call goes one step further: out of the zone, of the region.
const DISTANCE_COST: [f64; 3] = [0.0, 0.35, 2.0];

/// What is known of the load of one instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeardLoad {
    pub(crate) report: LoadReport,
    pub(crate) at: Duration,
    /// Calls of this daemon that were outstanding there at that time.
    pub(crate) outstanding: u32,
}

impl HeardLoad {
    /// Returns the fill and the share of good answers to reckon with now.
    fn now(&self, now: Duration, outstanding: u32) -> (f64, f64) {
        let age = now.saturating_sub(self.at).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
        let worth = (-age).exp();
        let sent = f64::from(outstanding) - f64::from(self.outstanding);
        let fill = self.report.fill() + sent / f64::from(self.report.slots.max(1));
        let fill = UNKNOWN_FILL + (fill.max(0.0) - UNKNOWN_FILL) * worth;
        let good = 1.0 + (self.report.good - 1.0) * worth;
        (fill, good)
    }
}

/// Returns the cost of one more call to an instance.
///
/// `share` is the part of its usual work that a cold instance can take, and
/// `tier` its distance.
pub(crate) fn cost(
    now: Duration,
    heard: Option<&HeardLoad>,
    outstanding: u32,
    share: f64,
    tier: usize,
) -> f64 {
    let (fill, good) = match heard {
        Some(heard) => heard.now(now, outstanding),
        None => (UNKNOWN_FILL, 1.0),
    };
    let distance = DISTANCE_COST[tier.min(DISTANCE_COST.len() - 1)];
    (fill / share + IDLE_FILL) / good.max(LEAST_GOOD) + distance
}
