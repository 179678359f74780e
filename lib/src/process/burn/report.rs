//! Burn reports of daemons, as returned by `GET /burn`.

use std::ops::AddAssign;
use std::time::Duration;

use hdrhistogram::Histogram;
use hdrhistogram::serialization::DeserializeError;
use hdrhistogram::serialization::Deserializer;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;

use super::Fault;
use super::Origin;
use super::Role;
use crate::process::DurationText;
use crate::process::InstanceId;
use crate::process::ServiceName;
use crate::request::Outcome;
use crate::version::Criticality;

/// Number of requests that objectives state the allowed failures for.
const OBJECTIVE_REQUESTS: f64 = 10_000.0;

/// Error-budget burn of one daemon, or of several daemons merged.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BurnReport {
    /// The daemons that the report covers.
    pub instances: Vec<InstanceId>,
    /// Each class with ended requests within the longest window.
    pub classes: Vec<ClassReport>,
}

/// Error-budget burn of one class of requests.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassReport {
    /// Role that the daemon played for the requests.
    pub role: Role,
    /// Service that the requests were for.
    pub service: ServiceName,
    /// Criticality of the requests.
    #[serde_as(as = "DisplayFromStr")]
    pub criticality: Criticality,
    /// Objective of the class: the failures allowed per 10,000 requests.
    pub allowed_per_10k: u32,
    /// Counts for each window, the shortest first.
    pub windows: Vec<WindowReport>,
    /// Causes of failures in the last five minutes, the most frequent first.
    pub causes: Vec<CauseReport>,
    /// Latencies of recent complete responses in microseconds, as an HDR histogram
    /// serialized in the V2 format.
    pub latency: Option<Vec<u8>>,
}

/// Counts of one class over one window.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct WindowReport {
    /// Length of the window.
    #[serde_as(as = "DurationText")]
    pub window: Duration,
    /// Requests that ended within the window.
    #[serde(flatten)]
    pub tally: Tally,
}

/// Counts of ended requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// Requests that count towards the objective.
    pub requests: u64,
    /// Requests among [`Tally::requests`] that got no complete response.
    pub failed: u64,
    /// Requests that their sender cancelled; they do not count towards the
    /// objective.
    pub cancelled: u64,
    /// Total weight of the requests in [`Tally::requests`].
    pub weight: u64,
    /// Total weight of the requests in [`Tally::failed`].
    pub weight_failed: u64,
}

/// Number of requests that failed for one cause.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CauseReport {
    /// How the requests failed.
    #[serde_as(as = "DisplayFromStr")]
    pub fault: Fault,
    /// Whether an upstream ran the requests.
    #[serde_as(as = "DisplayFromStr")]
    pub outcome: Outcome,
    /// Whether the reporting daemon or a hop further down the call chain determined
    /// the failure.
    pub origin: Origin,
    /// Number of requests that failed for this cause.
    pub count: u64,
}

impl Tally {
    /// Returns whether any request was counted, cancelled ones included.
    pub fn has_requests(&self) -> bool {
        *self != Self::default()
    }

    /// Returns the burn rate of the error budget: the share of requests that failed
    /// as a multiple of the share that the objective allows. A rate of 1 uses up the
    /// budget exactly.
    pub fn burn_rate(&self, allowed_per_10k: u32) -> f64 {
        if self.requests == 0 {
            return 0.0;
        }
        let failure_rate = self.failed as f64 / self.requests as f64;
        failure_rate * OBJECTIVE_REQUESTS / f64::from(allowed_per_10k.max(1))
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.failed += other.failed;
        self.cancelled += other.cancelled;
        self.weight += other.weight;
        self.weight_failed += other.weight_failed;
    }
}

impl ClassReport {
    /// Returns the latency at a quantile from 0 to 1 of recent complete responses,
    /// or `None` if there were none.
    ///
    /// # Errors
    ///
    /// Fails if the histogram cannot be decoded.
    pub fn latency_at(&self, quantile: f64) -> Result<Option<Duration>, DeserializeError> {
        let Some(bytes) = &self.latency else { return Ok(None) };
        let histogram: Histogram<u64> = Deserializer::new().deserialize(&mut bytes.as_slice())?;
        Ok(Some(Duration::from_micros(histogram.value_at_quantile(quantile))))
    }
}
