//! What an upstream stand-in is told to do.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Where the upstream breaks its connection.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutPoint {
    /// Nowhere.
    #[default]
    Nowhere,
    /// Before the request's body is read.
    BeforeWork,
    /// After the work, before the answer's head.
    AnswerHead,
    /// After half of the answer's body.
    AnswerBody,
}

/// What the health and load endpoints say.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reporting {
    /// The truth, as old as the configured lag.
    #[default]
    True,
    /// Always idle and well.
    AlwaysWell,
    /// Always busy and ill.
    AlwaysIll,
}

/// A call that the upstream makes through its daemon for each request that
/// begins with a path.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OwnCall {
    /// Beginning of the paths that make this call.
    pub on: String,
    /// Service to call.
    pub service: String,
    /// Method of the call.
    pub method: String,
    /// Path of the call.
    pub path: String,
    /// Times that the upstream repeats a failed call by itself.
    #[serde(default)]
    pub hard_retries: u32,
    /// Whether the request fails when the call does.
    #[serde(default)]
    pub required: bool,
}

/// Everything that can be changed while the upstream runs.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Time that a request takes in its slot, in milliseconds.
    pub service_ms: f64,
    /// Time after the start during which the upstream is cold, in milliseconds.
    pub cold_ms: u64,
    /// Factor on the service time while cold.
    pub cold_factor: f64,
    /// Whether work beyond the slots is answered 503 instead of queued.
    pub shed: bool,
    /// Whether new work is answered 503 because the upstream drains.
    pub drain: bool,
    /// Where connections are broken.
    pub cut: CutPoint,
    /// Requests still to be cut; none means all.
    pub cut_times: Option<u64>,
    /// Size of an answer's body, in bytes, where the request names none.
    pub answer_bytes: u64,
    /// Whether the work is finished although the caller has gone.
    pub ignore_cancel: bool,
    /// Whether the deadline is ignored.
    pub ignore_deadline: bool,
    /// What the health and load endpoints say.
    pub reporting: Reporting,
    /// Age of what the health and load endpoints say, in milliseconds.
    pub report_lag_ms: u64,
    /// Address of the daemon's listener for this upstream's own calls.
    pub daemon: Option<SocketAddr>,
    /// Calls that the upstream makes itself, one after the other.
    pub calls: Vec<OwnCall>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service_ms: 5.0,
            cold_ms: 0,
            cold_factor: 1.0,
            shed: false,
            drain: false,
            cut: CutPoint::Nowhere,
            cut_times: None,
            answer_bytes: 256,
            ignore_cancel: false,
            ignore_deadline: false,
            reporting: Reporting::True,
            report_lag_ms: 0,
            daemon: None,
            calls: Vec::new(),
        }
    }
}

impl std::str::FromStr for Behaviour {
    type Err = serde_json::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        serde_json::from_str(text)
    }
}
