//! The burn of one daemon, as a state machine without clock.

use std::time::Duration;

use indexmap::IndexMap;

use super::BurnReport;
use super::ClassReport;
use super::Ending;
use super::Fault;
use super::Objectives;
use super::Role;
use super::class::ClassTable;
use super::merge::sort;
use crate::process::InstanceId;
use crate::process::ServiceName;
use crate::request::Reason;
use crate::version::Criticality;

/// Classes that are kept apart; further ones are counted together.
pub const MAX_CLASSES: usize = 512;

/// Name under which requests are counted whose service is not kept apart.
///
/// Callers choose the name of a service that does not exist, so such names must
/// not take memory.
pub const OTHER_SERVICE: &str = "(other)";

/// Which requests are counted together.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Class {
    /// Role in which the daemon served the request.
    pub role: Role,
    /// Service that the request was for.
    pub service: ServiceName,
    /// Criticality of the request.
    pub criticality: Criticality,
}

/// How fast each class spends the failures that its objective allows.
#[derive(Clone, Debug)]
pub struct Burn {
    instance: InstanceId,
    objectives: Objectives,
    classes: IndexMap<Class, ClassTable>,
}

impl Burn {
    /// Creates an empty table for one daemon.
    pub fn new(instance: InstanceId, objectives: Objectives) -> Self {
        Self { instance, objectives, classes: IndexMap::new() }
    }

    /// Counts one request that has ended.
    ///
    /// The answer that hands out a token is the first half of a request that
    /// comes again under it, and is not counted.
    pub fn record(&mut self, now: Duration, class: &Class, weight: u32, ending: Ending) {
        if is_refused_for(ending, Reason::TokenRequired) {
            return;
        }
        if is_refused_for(ending, Reason::UnknownService) {
            return self.record_other(now, class, weight, ending);
        }
        if let Some(table) = self.classes.get_mut(class) {
            return table.record(now, weight, ending);
        }
        if self.classes.len() >= MAX_CLASSES {
            return self.record_other(now, class, weight, ending);
        }
        let table = self.classes.entry(class.clone()).or_insert_with(ClassTable::new);
        table.record(now, weight, ending);
    }

    /// Reports every class that had requests within the longest window.
    pub fn report(&self, now: Duration) -> BurnReport {
        let mut classes: Vec<_> = self
            .classes
            .iter()
            .map(|(class, table)| self.class_report(now, class, table))
            .filter(|class| {
                class.windows.iter().any(|window| window.tally.has_any())
                    || !class.causes.is_empty()
            })
            .collect();
        sort(&mut classes);
        BurnReport { instances: vec![self.instance.clone()], classes }
    }

    /// Counts under [`OTHER_SERVICE`], of which there are few classes.
    fn record_other(&mut self, now: Duration, class: &Class, weight: u32, ending: Ending) {
        let class = Class { service: OTHER_SERVICE.into(), ..class.clone() };
        self.classes.entry(class).or_insert_with(ClassTable::new).record(now, weight, ending);
    }

    fn class_report(&self, now: Duration, class: &Class, table: &ClassTable) -> ClassReport {
        ClassReport {
            role: class.role,
            service: class.service.clone(),
            criticality: class.criticality,
            allowed_per_10k: self.objectives.allowed_per_10k(class.criticality),
            windows: table.windows(now),
            causes: table.causes(now),
            latency: table.latency(now),
        }
    }
}

fn is_refused_for(ending: Ending, reason: Reason) -> bool {
    matches!(ending, Ending::Failed(cause) if cause.fault == Fault::Refused(reason))
}
