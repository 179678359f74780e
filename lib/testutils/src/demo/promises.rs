//! What must always hold, checked after the run by the upstreams' ledgers.

use indexmap::IndexMap;
use indexmap::IndexSet;
use snafu::Snafu;

use crate::caller::report::Report;
use crate::upstream::ledger::State;

use super::fleet::Ledger;
use super::table::Row;

/// A promise that the run broke.
#[derive(Debug, Snafu)]
pub(super) enum Broken {
    /// A non-idempotent request ran more than one time.
    #[snafu(display("{class}: {requests} requests ran more than one time"))]
    RanTwice {
        /// Class of the requests.
        class: String,
        /// Number of such requests.
        requests: u64,
    },
    /// A request that was told not to have run is in a ledger.
    #[snafu(display("{class}: {requests} requests ran although told not-run, such as {example}"))]
    NotRunRan {
        /// Class of the requests.
        class: String,
        /// Number of such requests.
        requests: usize,
        /// Mark of one of them.
        example: String,
    },
    /// A caller got an answer that was not its own, or not whole and yet ended.
    #[snafu(display("{class}: {answers} answers were not the caller's own or not whole"))]
    Wrong {
        /// Class of the requests.
        class: String,
        /// Number of such answers.
        answers: u64,
    },
    /// Service did not return after the surge.
    #[snafu(display("{class}: service had not returned when the run ended"))]
    NotRecovered {
        /// Class of the requests.
        class: String,
    },
    /// A daemon did not stop as planned.
    #[snafu(display("planned stop: {cause}"))]
    Stop {
        /// What was seen.
        cause: String,
    },
}

/// Returns every promise that the run broke.
pub(super) fn broken(report: &Report, ledgers: &[Ledger], rows: &[Row]) -> Vec<Broken> {
    let ran = ran_attempts(ledgers);
    let mut broken = Vec::new();
    for (class, seen) in &report.classes {
        let class = class.clone();
        let told = seen.told_not_run.iter();
        let lies: Vec<_> = told.filter(|(mark, attempt)| ran.contains(&(mark, *attempt))).collect();
        if let Some((example, _)) = lies.first() {
            let (requests, example) = (lies.len(), example.clone());
            broken.push(Broken::NotRunRan { class: class.clone(), requests, example });
        }
        if seen.wrong > 0 {
            broken.push(Broken::Wrong { class, answers: seen.wrong });
        }
    }
    for row in rows {
        let class = row.class.clone();
        if let Some(requests @ 1..) = row.ran_twice {
            broken.push(Broken::RanTwice { class: class.clone(), requests });
        }
        if row.recovery_s.is_none() {
            broken.push(Broken::NotRecovered { class });
        }
    }
    broken
}

/// Number of marked requests that ran more than one time at `service`.
pub(super) fn ran_twice(ledgers: &[Ledger], service: &str) -> u64 {
    let mut runs: IndexMap<&str, u64> = IndexMap::new();
    let at_service = ledgers.iter().filter(|ledger| ledger.service == service);
    for entry in at_service.flat_map(|ledger| &ledger.entries) {
        if entry.state != State::Shed {
            *runs.entry(&entry.mark).or_default() += 1;
        }
    }
    runs.values().filter(|&&runs| runs > 1).count() as u64
}

fn ran_attempts(ledgers: &[Ledger]) -> IndexSet<(&String, u64)> {
    let entries = ledgers.iter().flat_map(|ledger| &ledger.entries);
    let ran = entries.filter(|entry| entry.state != State::Shed);
    ran.map(|entry| (&entry.mark, entry.attempt)).collect()
}
