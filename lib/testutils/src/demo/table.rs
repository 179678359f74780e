//! The table that the demonstration prints.

use std::fmt;
use std::time::Duration;

use crate::caller::report::ClassReport;
use crate::caller::report::Report;
use crate::caller::report::STEP_MS;
use crate::caller::report::Step;

use super::deployment::Timing;
use super::fleet::Ledger;
use super::promises::ran_twice;

/// Share of whole answers from which on service counts as returned.
const RECOVERED_SHARE: f64 = 0.99;

/// Steps that are judged together, so that single requests don't decide.
const WINDOW_STEPS: usize = 5;

/// One class of requests in the table.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) class: String,
    seen: ClassReport,
    /// Requests that ran more than one time; none for idempotent classes.
    pub(super) ran_twice: Option<u64>,
    /// Seconds from the end of the surge until service had returned for good.
    pub(super) recovery_s: Option<f64>,
}

/// Returns the rows of the table.
pub(super) fn rows(
    names: &[String],
    report: &Report,
    ledgers: &[Ledger],
    timing: &Timing,
) -> Vec<Row> {
    let surge_end = timing.before + timing.surge;
    let row = |name: &String| {
        let seen = report.classes[name].clone();
        let ran_twice = (name == "submissions").then(|| ran_twice(ledgers, "submission"));
        let recovery_s = recovery_s(&seen.timeline, surge_end);
        Row { class: name.clone(), seen, ran_twice, recovery_s }
    };
    names.iter().map(row).collect()
}

/// Finds the first moment after `cause_end` from which on every window of the
/// timeline has its share of whole answers.
fn recovery_s(timeline: &[Step], cause_end: Duration) -> Option<f64> {
    let first = cause_end.as_millis() as usize / STEP_MS as usize;
    let after = timeline.get(first..)?;
    let recovered = |window: &[Step]| {
        let asked: u64 = window.iter().map(|step| step.asked).sum();
        let whole: u64 = window.iter().map(|step| step.whole).sum();
        whole as f64 >= asked as f64 * RECOVERED_SHARE
    };
    let windows: Vec<bool> = after.windows(WINDOW_STEPS).map(recovered).collect();
    let steps = windows.iter().rposition(|recovered| !recovered).map_or(0, |last| last + 1);
    (steps < windows.len()).then_some((steps as u64 * STEP_MS) as f64 / 1e3)
}

/// Prints the rows with their heading.
pub(super) struct Table<'a>(pub(super) &'a [Row]);

impl fmt::Display for Table<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<12} {:>7} {:>7} {:>8} {:>8} {:>7} {:>6} {:>7} {:>6} {:>10} {:>8} {:>8} {:>9}",
            "class",
            "asked",
            "whole",
            "not-run",
            "unknown",
            "failed",
            "ran",
            "broken",
            "late",
            "ran-twice",
            "p50-ms",
            "p99-ms",
            "recover-s",
        )?;
        self.0.iter().try_for_each(|row| write_row(f, row))
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, row: &Row) -> fmt::Result {
    let seen = &row.seen;
    let ran_twice = row.ran_twice.map_or("-".to_owned(), |requests| requests.to_string());
    let recovery = row.recovery_s.map_or("never".to_owned(), |seconds| format!("{seconds:.1}"));
    writeln!(
        f,
        "{:<12} {:>7} {:>7} {:>8} {:>8} {:>7} {:>6} {:>7} {:>6} {:>10} {:>8.1} {:>8.1} {:>9}",
        row.class,
        seen.asked,
        seen.whole,
        seen.not_run,
        seen.unknown,
        seen.failed,
        seen.ran,
        seen.broken,
        seen.gave_up,
        ran_twice,
        seen.p50_ms,
        seen.p99_ms,
        recovery,
    )
}
