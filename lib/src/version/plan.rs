//! The plan of a request: how it is served, as a rule or a route defines.

use std::time::Duration;

use siphasher::sip::SipHasher13;

use super::Criticality;
use super::rules::Rule;
use crate::process::ServiceName;

/// Identifies the rule or route that a request matched. The key does not depend
/// on the version of the configuration, only on the line of the rule or the name
/// of the route.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct PlanKey(pub u64);

impl PlanKey {
    /// Returns the key of the rule on a line of the rules file.
    pub fn of_line(line: usize) -> Self {
        Self(line as u64)
    }

    /// Returns the key of the route with a name, which is a hash of the name.
    pub fn of_name(name: &str) -> Self {
        Self(SipHasher13::new().hash(name.as_bytes()))
    }
}

/// How one request is served, whether a rule or a route defines it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Service that the request is sent to.
    pub service: ServiceName,
    /// The rule or route that the request matched.
    pub key: PlanKey,
    /// Criticality of the request, which sets the order of shedding.
    pub criticality: Criticality,
    /// Weight of one complete response in the weighted goodput.
    pub weight: u32,
    /// Whether executing the request again has no further effect.
    pub idempotent: bool,
    /// Maximum number of other instances to try after the first.
    pub retries: u32,
    /// Time within which the complete response must arrive.
    pub deadline: Duration,
    /// Latency up to which a response counts with its full weight, if the operators
    /// set one.
    pub objective: Option<Duration>,
    /// Whether the request may queue when capacity is short.
    pub may_wait: bool,
    /// Whether the request needs no key, also if the version names customers.
    pub public: bool,
}

impl Plan {
    /// Returns the plan of a request for `service` that matches `rule`.
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
            public: rule.public,
        }
    }
}
