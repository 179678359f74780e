//! What a caller stand-in is told to send.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// A run of a caller: an open loop over phases, from a fixed seed.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of the mix; it also tells the marks of one run from another's.
    pub seed: u64,
    /// Addresses to which requests go in turn.
    pub entries: Vec<SocketAddr>,
    /// Phases, one after the other.
    pub phases: Vec<Phase>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Times that the caller repeats, at once, what failed.
    #[serde(default)]
    pub hard_retries: u32,
    /// Share of the requests that the caller breaks off before the answer has
    /// ended, in thousandths.
    #[serde(default)]
    pub cancel_per_mille: u32,
}

/// A phase of steady demand.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Requests a second.
    pub rate: f64,
    /// Length of the phase, in milliseconds.
    pub for_ms: u64,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name in the report.
    pub name: String,
    /// Service to which the requests go.
    pub service: String,
    /// Method of the requests.
    pub method: String,
    /// Path of the requests.
    pub path: String,
    /// Share of the class in the mix, relative to the other classes.
    pub weight: u32,
    /// Time after which the caller gives up, in milliseconds.
    pub deadline_ms: u64,
    /// Size of the request's body, in bytes.
    #[serde(default)]
    pub request_bytes: u64,
    /// Size of the answer's body, in bytes.
    pub answer_bytes: u64,
    /// Rate at which the answer is to be sent, in bytes a second.
    #[serde(default)]
    pub answer_rate: Option<u64>,
}
