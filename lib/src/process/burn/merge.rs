//! Merges the burn reports of several daemons.

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

/// The burn reports of several daemons cannot be merged.
#[derive(Debug, Snafu)]
pub enum MergeError {
    /// A serialized latency histogram is invalid.
    #[snafu(display("cannot decode the latency histogram of service {service}"))]
    Histogram {
        /// Service of the class that the histogram belongs to.
        service: String,
        /// Why the histogram cannot be decoded.
        source: DeserializeError,
    },
}

/// Adds up the burn reports of several daemons. The order of the reports does not
/// affect the result.
///
/// # Errors
///
/// Fails if a latency histogram cannot be decoded.
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
    sort_classes(&mut merged.classes);
    Ok(merged)
}

/// Sorts classes by role, criticality and service, and the causes of each class
/// by descending count.
pub(super) fn sort_classes(classes: &mut [ClassReport]) {
    classes.sort_by(|a, b| class_key(a).cmp(&class_key(b)));
    for class in classes {
        let by_count = |cause: &CauseReport| {
            (std::cmp::Reverse(cause.count), cause.fault, cause.outcome, cause.origin)
        };
        class.causes.sort_by_key(by_count);
    }
}

fn class_key(class: &ClassReport) -> impl Ord + '_ {
    (class.role, class.criticality, &class.service)
}

fn is_same_class(left: &ClassReport, right: &ClassReport) -> bool {
    class_key(left) == class_key(right)
}

fn add_class(sum: &mut ClassReport, class: &ClassReport) -> Result<(), MergeError> {
    // If the daemons have different objectives, the strictest one applies.
    sum.allowed_per_10k = sum.allowed_per_10k.min(class.allowed_per_10k);
    class.windows.iter().for_each(|window| add_window(&mut sum.windows, window));
    class.causes.iter().for_each(|cause| add_cause(&mut sum.causes, cause));
    sum.latency = match (sum.latency.take(), &class.latency) {
        (None, right) => right.clone(),
        (left, None) => left,
        (Some(left), Some(right)) => {
            let service = class.service.as_str();
            add_histograms(&left, right).context(HistogramSnafu { service })?
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
    let addend: Histogram<u64> = deserializer.deserialize(&mut &*right)?;
    sum.auto(true);
    sum.add(addend).expect("an auto-resizing histogram can record every value");
    Ok(latency::serialize(&sum))
}
