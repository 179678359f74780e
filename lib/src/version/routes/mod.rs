//! Routes, matched by host and longest path prefix; see `docs/design/platform.md`.

mod split;
mod table;

use std::time::Duration;

pub use self::split::Split;
pub use self::split::WeightedService;
pub use self::table::RouteTable;
use super::Criticality;
use crate::process::ServiceName;

/// One route: the requests that match it and how they are served.
#[derive(Debug)]
pub struct Route {
    /// Name of the route, by which it is identified across versions of the
    /// configuration.
    pub name: String,
    /// Host of the requests, without a port.
    pub host: String,
    /// Prefix of the path; it begins and ends with a slash.
    pub path_prefix: String,
    /// Services that the requests are sent to.
    pub target: Target,
    /// Criticality of the requests, which sets the order of shedding.
    pub criticality: Criticality,
    /// Whether executing a request again has no further effect.
    pub idempotent: bool,
    /// Maximum number of instances that one request may be sent to.
    pub max_attempts: u32,
    /// Maximum time until the final response is complete.
    pub timeout: Duration,
    /// Latency up to which a response counts with its full weight.
    pub objective: Duration,
    /// Whether the requests need no key, also if the version names customers.
    pub public: bool,
}

/// Services that the requests of a route are sent to.
#[derive(Debug)]
pub enum Target {
    /// All requests are sent to one service.
    One(ServiceName),
    /// Requests are split between several services by weight.
    Split(Split),
}

/// Limits on the size and time of requests, set by the operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time until the complete head of a request has arrived.
    pub head_timeout: Duration,
    /// Time without a request after which a keep-alive connection may be closed.
    pub idle_timeout: Duration,
}
