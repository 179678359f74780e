//! Error-budget burn of one daemon, as a state machine without a clock: callers
//! pass the current time.

use std::time::Duration;

use indexmap::IndexMap;

use super::BurnReport;
use super::ClassReport;
use super::Ending;
use super::Fault;
use super::Objectives;
use super::Role;
use super::class::ClassStats;
use super::merge::sort_classes;
use crate::process::InstanceId;
use crate::process::ServiceName;
use crate::request::Reason;
use crate::version::Criticality;

/// Maximum number of classes with counts of their own; requests of further
/// classes are counted under [`OTHER_SERVICE`].
pub const MAX_CLASSES: usize = 512;

/// Service name under which requests for unknown services are counted, and those
/// of classes beyond [`MAX_CLASSES`].
///
/// Callers can make up any number of names of unknown services. Counting them
/// under one name bounds the memory that they take.
pub const OTHER_SERVICE: &str = "(other)";

/// A class of requests that are counted together.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Class {
    /// Role that the daemon played for the requests.
    pub role: Role,
    /// Service that the requests were for.
    pub service: ServiceName,
    /// Criticality of the requests.
    pub criticality: Criticality,
}

/// Counts of ended requests per class, from which the burn rate of each class's
/// error budget is derived.
#[derive(Clone, Debug)]
pub struct BurnTracker {
    instance: InstanceId,
    objectives: Objectives,
    classes: IndexMap<Class, ClassStats>,
}

impl BurnTracker {
    /// Creates empty counts for the daemon `instance`.
    pub fn new(instance: InstanceId, objectives: Objectives) -> Self {
        Self { instance, objectives, classes: IndexMap::new() }
    }

    /// Counts one request that ended at `now`.
    ///
    /// A refusal that issues an idempotency token is not counted, because the
    /// caller sends the request again with the token and it is counted then.
    pub fn record(&mut self, now: Duration, class: &Class, weight: u32, ending: Ending) {
        if is_refused_for(ending, Reason::TokenRequired) {
            return;
        }
        if is_refused_for(ending, Reason::UnknownService) {
            return self.record_other(now, class, weight, ending);
        }
        if let Some(stats) = self.classes.get_mut(class) {
            return stats.record(now, weight, ending);
        }
        if self.classes.len() >= MAX_CLASSES {
            return self.record_other(now, class, weight, ending);
        }
        let stats = self.classes.entry(class.clone()).or_insert_with(ClassStats::new);
        stats.record(now, weight, ending);
    }

    /// Reports every class with ended requests within the longest window.
    pub fn report(&self, now: Duration) -> BurnReport {
        let mut classes: Vec<_> = self
            .classes
            .iter()
            .map(|(class, stats)| self.class_report(now, class, stats))
            .filter(|class| {
                class.windows.iter().any(|window| window.tally.has_requests())
                    || !class.causes.is_empty()
            })
            .collect();
        sort_classes(&mut classes);
        BurnReport { instances: vec![self.instance.clone()], classes }
    }

    /// Counts a request under [`OTHER_SERVICE`].
    ///
    /// [`MAX_CLASSES`] does not apply here: there is at most one such class for
    /// each role and criticality.
    fn record_other(&mut self, now: Duration, class: &Class, weight: u32, ending: Ending) {
        let class = Class { service: OTHER_SERVICE.into(), ..class.clone() };
        self.classes.entry(class).or_insert_with(ClassStats::new).record(now, weight, ending);
    }

    fn class_report(&self, now: Duration, class: &Class, stats: &ClassStats) -> ClassReport {
        ClassReport {
            role: class.role,
            service: class.service.clone(),
            criticality: class.criticality,
            allowed_per_10k: self.objectives.allowed_per_10k(class.criticality),
            windows: stats.windows(now),
            causes: stats.causes(now),
            latency: stats.latency(now),
        }
    }
}

fn is_refused_for(ending: Ending, reason: Reason) -> bool {
    matches!(ending, Ending::Failed(cause) if cause.fault == Fault::Refused(reason))
}
