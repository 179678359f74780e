//! How one request is served.

use std::time::Duration;

use siphasher::sip::SipHasher13;

use super::Criticality;
use super::rules::Rule;
use crate::process::ServiceName;

/// Names the rule or route that a request matched, the same in each version
/// that holds it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct PlanKey(pub u64);

impl PlanKey {
    /// Returns the key of a rule by its line.
    pub fn of_line(line: usize) -> Self {
        Self(line as u64)
    }

    /// Returns the key of a route by its name.
    pub fn of_name(name: &str) -> Self {
        Self(SipHasher13::new().hash(name.as_bytes()))
    }
}

/// How one request is served, whichever text says so.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Service that the request goes to.
    pub service: ServiceName,
    /// The rule or route that says so.
    pub key: PlanKey,
    /// How much the request matters.
    pub criticality: Criticality,
    /// Worth of one whole answer, for weighted goodput.
    pub weight: u32,
    /// Whether running the request again has no further effect.
    pub idempotent: bool,
    /// Further instances that may be tried after the first.
    pub retries: u32,
    /// Time within which the whole answer must arrive.
    pub deadline: Duration,
    /// Time within which an answer has its full worth, where operators state one.
    pub objective: Option<Duration>,
    /// Whether the request may queue when capacity is short.
    pub may_wait: bool,
}

impl Plan {
    /// Returns the plan of a request for `service` that a rule serves.
    pub fn of_rule(service: ServiceName, rule: &Rule) -> Self {
        Self {
            service,
            key: PlanKey::of_line(rule.line),
            criticality: rule.criticality,
            weight: rule.weight,
            idempotent: rule.idempotent,
            retries: rule.retries,
            deadline: rule.deadline,
            objective: None,
            may_wait: rule.may_wait,
        }
    }
}
