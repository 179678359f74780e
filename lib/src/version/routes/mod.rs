//! Routes by host and longest path prefix; see `docs/design/platform.md`.

mod split;
mod table;

use std::time::Duration;

pub use self::split::Part;
pub use self::split::Split;
pub use self::table::RouteTable;
use super::Criticality;
use crate::process::ServiceName;

/// One route: which requests it is for and how they are served.
#[derive(Debug)]
pub struct Route {
    /// Name of the route, the same in each version that holds it.
    pub name: String,
    /// Host that the request names, without a port.
    pub host: String,
    /// What the path must begin with; it begins and ends with a slash.
    pub path_prefix: String,
    /// Services that the requests go to.
    pub target: Target,
    /// How much the request matters.
    pub criticality: Criticality,
    /// Whether running the request again has no further effect.
    pub idempotent: bool,
    /// Most instances that one request may be sent to.
    pub attempts: u32,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub objective: Duration,
}

/// Where the requests of a route go.
#[derive(Debug)]
pub enum Target {
    /// All to one service.
    One(ServiceName),
    /// To several services, by their weights.
    Split(Split),
}

/// What a request may take, as the operators say.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time until the head of a request has arrived.
    pub head_timeout: Duration,
    /// Time without a request after which a kept connection may be closed.
    pub idle_timeout: Duration,
}
