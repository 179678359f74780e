//! What a caller stand-in saw.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// Width of a step of the timeline, in milliseconds.
pub const STEP_MS: u64 = 100;

/// Longest latency that is told from longer ones, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Digits of precision of the latencies.
const LATENCY_DIGITS: u8 = 3;

/// How a request ended for the caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Seen {
    /// The whole answer, byte for byte its own.
    Whole,
    /// Refused as provably not run.
    NotRun,
    /// Failed with the outcome unknown, or the connection was lost.
    Unknown,
    /// The upstream itself answered that it failed.
    Failed,
    /// Failed after it ran.
    Ran,
    /// The answer broke off in a way that the caller could notice.
    Broken,
    /// The answer ended well but was not this request's answer.
    Wrong,
    /// The caller gave up at its deadline.
    GaveUp,
    /// The caller broke the request off as planned.
    Cancelled,
}

/// One step of a class's timeline, by the time of the request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Step {
    /// Requests made in the step.
    pub asked: u64,
    /// Requests made in the step that were answered whole.
    pub whole: u64,
}

/// What a class saw.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ClassReport {
    /// Requests made.
    pub asked: u64,
    /// Requests sent, resends and retries included.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Outcome unknown.
    pub unknown: u64,
    /// Failures that the upstream itself answered.
    pub failed: u64,
    /// Failed after running.
    pub ran: u64,
    /// Broken answers.
    pub broken: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// Given up by the caller.
    pub gave_up: u64,
    /// Broken off by the caller.
    pub cancelled: u64,
    /// Median latency of the whole answers, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile latency of the whole answers, in milliseconds.
    pub p99_ms: f64,
    /// 99th percentile latency of the refusals, in milliseconds.
    pub refusal_p99_ms: f64,
    /// Reasons of refusals and failures, with their numbers.
    pub reasons: IndexMap<String, u64>,
    /// Marks and attempts that were told to be not run.
    pub told_not_run: Vec<(String, u64)>,
    /// Requests and whole answers per step of [`STEP_MS`].
    pub timeline: Vec<Step>,
}

/// What a caller saw, by class.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Report {
    /// Classes in the order of the plan.
    pub classes: IndexMap<String, ClassReport>,
}

/// One finished request.
#[derive(Clone, Debug)]
pub(super) struct Finished {
    pub(super) class: usize,
    pub(super) asked_ms: u64,
    pub(super) took_us: u64,
    pub(super) sent: u64,
    pub(super) seen: Seen,
    pub(super) reasons: Vec<String>,
    pub(super) told_not_run: Vec<(String, u64)>,
}

/// Collects finished requests into a report.
pub(super) struct Collector {
    classes: Vec<(String, ClassReport, Histogram<u64>, Histogram<u64>)>,
}

impl Collector {
    pub(super) fn new<'a>(names: impl Iterator<Item = &'a str>) -> Self {
        let classes =
            names.map(|name| (name.to_owned(), ClassReport::default(), latencies(), latencies()));
        Self { classes: classes.collect() }
    }

    pub(super) fn add(&mut self, finished: Finished) {
        let (_, report, whole, refused) = &mut self.classes[finished.class];
        let index = (finished.asked_ms / STEP_MS) as usize;
        if report.timeline.len() <= index {
            report.timeline.resize(index + 1, Step::default());
        }
        let step = &mut report.timeline[index];
        report.asked += 1;
        step.asked += 1;
        report.sent += finished.sent;
        match finished.seen {
            Seen::Whole => {
                report.whole += 1;
                step.whole += 1;
                whole.saturating_record(finished.took_us);
            }
            Seen::NotRun => {
                report.not_run += 1;
                refused.saturating_record(finished.took_us);
            }
            Seen::Unknown => report.unknown += 1,
            Seen::Failed => report.failed += 1,
            Seen::Ran => report.ran += 1,
            Seen::Broken => report.broken += 1,
            Seen::Wrong => report.wrong += 1,
            Seen::GaveUp => report.gave_up += 1,
            Seen::Cancelled => report.cancelled += 1,
        }
        for reason in finished.reasons {
            *report.reasons.entry(reason).or_default() += 1;
        }
        report.told_not_run.extend(finished.told_not_run);
    }

    pub(super) fn report(self) -> Report {
        let classes = self.classes.into_iter().map(|(name, mut report, whole, refused)| {
            report.p50_ms = quantile_ms(&whole, 0.5);
            report.p99_ms = quantile_ms(&whole, 0.99);
            report.refusal_p99_ms = quantile_ms(&refused, 0.99);
            (name, report)
        });
        Report { classes: classes.collect() }
    }
}

fn latencies() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)
        .expect("the constant bounds are valid")
}

fn quantile_ms(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / 1e3
}
