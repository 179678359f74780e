//! Counts, failure causes and latencies of one request class.

use std::time::Duration;

use indexmap::IndexMap;

use super::Cause;
use super::CauseReport;
use super::Ending;
use super::Tally;
use super::Window;
use super::WindowReport;
use super::latency::Latencies;
use super::ring::Ring;

/// Number of buckets in each ring of tallies. Each window is a whole number of
/// bucket intervals.
const TALLY_BUCKETS: usize = 60;
/// Bucket interval of the ring behind the windows of up to a minute.
const FINE_INTERVAL: Duration = Duration::from_secs(1);
/// Bucket interval of the ring behind the five-minute window.
const MEDIUM_INTERVAL: Duration = Duration::from_secs(5);
/// Bucket interval of the ring behind the one-hour window.
const COARSE_INTERVAL: Duration = Duration::from_secs(60);

/// Bucket interval of the ring that counts one failure cause.
const CAUSE_INTERVAL: Duration = Duration::from_secs(30);
/// Number of buckets in the ring that counts one failure cause.
const CAUSE_BUCKETS: usize = 10;
/// Time over which failure causes are reported.
const CAUSE_WINDOW: Duration = Duration::from_secs(300);

/// Counts, failure causes and latencies of one request class.
#[derive(Clone, Debug)]
pub(super) struct ClassStats {
    fine: Ring<Tally>,
    medium: Ring<Tally>,
    coarse: Ring<Tally>,
    causes: IndexMap<Cause, Ring<u32>>,
    latencies: Latencies,
}

impl ClassStats {
    pub(super) fn new() -> Self {
        Self {
            fine: Ring::new(FINE_INTERVAL, TALLY_BUCKETS),
            medium: Ring::new(MEDIUM_INTERVAL, TALLY_BUCKETS),
            coarse: Ring::new(COARSE_INTERVAL, TALLY_BUCKETS),
            causes: IndexMap::new(),
            latencies: Latencies::default(),
        }
    }

    /// Records one request that ended at `now`.
    pub(super) fn record(&mut self, now: Duration, weight: u32, ending: Ending) {
        let tally = tally_of(weight, ending);
        self.fine.add(now, tally);
        self.medium.add(now, tally);
        self.coarse.add(now, tally);
        match ending {
            Ending::Complete(latency) => self.latencies.record(now, latency),
            Ending::Failed(cause) => {
                let empty_ring = || Ring::new(CAUSE_INTERVAL, CAUSE_BUCKETS);
                self.causes.entry(cause).or_insert_with(empty_ring).add(now, 1);
            }
            Ending::Cancelled => {}
        }
    }

    /// Returns the counts of every window up to `now`, shortest first.
    pub(super) fn windows(&self, now: Duration) -> Vec<WindowReport> {
        let report = |window: Window| {
            let ring = match window {
                Window::FiveSeconds | Window::Minute => &self.fine,
                Window::FiveMinutes => &self.medium,
                Window::Hour => &self.coarse,
            };
            let length = window.length();
            WindowReport { window: length, tally: ring.sum(now, length) }
        };
        Window::ALL.into_iter().map(report).collect()
    }

    /// Returns the causes of failures within [`CAUSE_WINDOW`], in no particular order.
    pub(super) fn causes(&self, now: Duration) -> Vec<CauseReport> {
        let report = |(cause, ring): (&Cause, &Ring<u32>)| CauseReport {
            fault: cause.fault,
            outcome: cause.outcome,
            origin: cause.origin,
            count: u64::from(ring.sum(now, CAUSE_WINDOW)),
        };
        self.causes.iter().map(report).filter(|cause| cause.count > 0).collect()
    }

    /// Returns the recent latencies as a serialized V2 HDR histogram, or `None`
    /// if there are none.
    pub(super) fn latency(&self, now: Duration) -> Option<Vec<u8>> {
        self.latencies.serialize(now)
    }
}

/// Returns the tally of a single request.
fn tally_of(weight: u32, ending: Ending) -> Tally {
    let counted = Tally { requests: 1, weight: weight.into(), ..Tally::default() };
    match ending {
        Ending::Complete(_) => counted,
        Ending::Failed(cause) if cause.fault.consumes_error_budget() => {
            Tally { failed: 1, weight_failed: weight.into(), ..counted }
        }
        Ending::Failed(_) => Tally::default(),
        Ending::Cancelled => Tally { cancelled: 1, ..Tally::default() },
    }
}
