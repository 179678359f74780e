//! Puts the burn of several daemons together.

use hdrhistogram::Histogram;
use hdrhistogram::serialization::DeserializeError;
use hdrhistogram::serialization::Deserializer;
use snafu::ResultExt as _;
use snafu::Snafu;

use super::BurnReport;
use super::CauseReport;
use super::ClassReport;
use super::WindowReport;
use super::latency;

/// Reports that cannot be put together.
#[derive(Debug, Snafu)]
pub enum MergeError {
    /// A histogram is in no known form.
    #[snafu(display("the latency histogram of service {service} cannot be read"))]
    Histogram {
        /// Service of the class.
        service: String,
        /// Why it cannot be read.
        source: DeserializeError,
    },
}

/// Adds up the reports of several daemons; the order does not matter.
///
/// # Errors
///
/// Fails if a histogram cannot be read.
pub fn merge(reports: impl IntoIterator<Item = BurnReport>) -> Result<BurnReport, MergeError> {
    let mut merged = BurnReport::default();
    for report in reports {
        merged.instances.extend(report.instances);
        for class in report.classes {
            match merged.classes.iter_mut().find(|other| is_same_class(other, &class)) {
                Some(other) => add_class(other, &class)?,
                None => merged.classes.push(class),
            }
        }
    }
    merged.instances.sort();
    sort(&mut merged.classes);
    Ok(merged)
}

/// Puts classes, and the causes of each, in the order of a report.
pub(super) fn sort(classes: &mut [ClassReport]) {
    classes.sort_by(|a, b| key(a).cmp(&key(b)));
    for class in classes {
        let by_count = |cause: &CauseReport| {
            (std::cmp::Reverse(cause.count), cause.fault, cause.outcome, cause.origin)
        };
        class.causes.sort_by_key(by_count);
    }
}

fn key(class: &ClassReport) -> impl Ord + '_ {
    (class.role, class.criticality, &class.service)
}

fn is_same_class(left: &ClassReport, right: &ClassReport) -> bool {
    key(left) == key(right)
}

fn add_class(sum: &mut ClassReport, class: &ClassReport) -> Result<(), MergeError> {
    // Daemons that were given different objectives are held to the strictest.
    sum.allowed_per_10k = sum.allowed_per_10k.min(class.allowed_per_10k);
    class.windows.iter().for_each(|window| add_window(&mut sum.windows, window));
    class.causes.iter().for_each(|cause| add_cause(&mut sum.causes, cause));
    sum.latency = match (sum.latency.take(), &class.latency) {
        (None, other) => other.clone(),
        (own, None) => own,
        (Some(own), Some(other)) => {
            let service = class.service.as_str();
            add_histograms(&own, other).context(HistogramSnafu { service })?
        }
    };
    Ok(())
}

fn add_window(windows: &mut Vec<WindowReport>, window: &WindowReport) {
    match windows.iter_mut().find(|other| other.window == window.window) {
        Some(other) => other.tally += window.tally,
        None => windows.push(*window),
    }
}

fn add_cause(causes: &mut Vec<CauseReport>, cause: &CauseReport) {
    let is_same = |other: &&mut CauseReport| {
        (other.fault, other.outcome, other.origin) == (cause.fault, cause.outcome, cause.origin)
    };
    match causes.iter_mut().find(is_same) {
        Some(other) => other.count += cause.count,
        None => causes.push(*cause),
    }
}

fn add_histograms(left: &[u8], right: &[u8]) -> Result<Option<Vec<u8>>, DeserializeError> {
    let mut deserializer = Deserializer::new();
    let mut sum: Histogram<u64> = deserializer.deserialize(&mut &*left)?;
    let other: Histogram<u64> = deserializer.deserialize(&mut &*right)?;
    sum.auto(true);
    sum.add(other).expect("a histogram that resizes takes every value");
    Ok(latency::serialize(&sum))
}
