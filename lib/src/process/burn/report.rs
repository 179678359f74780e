//! What a daemon reports of its burn.

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

const REQUESTS_OF_OBJECTIVE: f64 = 10_000.0;

/// Burn of one daemon, or of several put together.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BurnReport {
    /// The daemons that the report speaks of.
    pub instances: Vec<InstanceId>,
    /// Each class that had requests within the longest window.
    pub classes: Vec<ClassReport>,
}

/// Burn of one class of requests.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassReport {
    /// Role in which the requests were served.
    pub role: Role,
    /// Service that the requests were for.
    pub service: ServiceName,
    /// Criticality of the requests.
    #[serde_as(as = "DisplayFromStr")]
    pub criticality: Criticality,
    /// Failures allowed of 10,000 requests.
    pub allowed_per_10k: u32,
    /// Counts for each window, the shortest first.
    pub windows: Vec<WindowReport>,
    /// Why requests failed in the last five minutes, the most frequent first.
    pub causes: Vec<CauseReport>,
    /// Recent latencies of whole answers in microseconds, as an HDR histogram
    /// in its V2 form.
    pub latency: Option<Vec<u8>>,
}

/// Counts of one class over one window.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct WindowReport {
    /// Length of the window.
    #[serde_as(as = "DurationText")]
    pub window: Duration,
    /// What ended within it.
    #[serde(flatten)]
    pub tally: Tally,
}

/// Counts of requests that have ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// Requests that count towards the objective.
    pub requests: u64,
    /// Those of them that got no whole answer.
    pub failed: u64,
    /// Requests that the asking side cancelled; they do not count.
    pub cancelled: u64,
    /// Weight of the requests that count.
    pub weight: u64,
    /// Weight of those that failed.
    pub weight_failed: u64,
}

/// How often one cause ended requests.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CauseReport {
    /// What went wrong.
    #[serde_as(as = "DisplayFromStr")]
    pub fault: Fault,
    /// What the requests did at an upstream.
    #[serde_as(as = "DisplayFromStr")]
    pub outcome: Outcome,
    /// Whether this role decided it.
    pub origin: Origin,
    /// Number of requests.
    pub count: u64,
}

impl Tally {
    /// Tells whether any request has ended.
    pub fn has_any(&self) -> bool {
        *self != Self::default()
    }

    /// Returns how fast the budget is spent: 1 spends it exactly, 0 not at all.
    pub fn burn_rate(&self, allowed_per_10k: u32) -> f64 {
        if self.requests == 0 {
            return 0.0;
        }
        let failed = self.failed as f64 / self.requests as f64;
        failed * REQUESTS_OF_OBJECTIVE / f64::from(allowed_per_10k.max(1))
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
    /// Returns the latency below which a share of whole answers stayed.
    ///
    /// # Errors
    ///
    /// Fails if the histogram cannot be read.
    pub fn latency_at(&self, share: f64) -> Result<Option<Duration>, DeserializeError> {
        let Some(bytes) = &self.latency else { return Ok(None) };
        let histogram: Histogram<u64> = Deserializer::new().deserialize(&mut bytes.as_slice())?;
        Ok(Some(Duration::from_micros(histogram.value_at_quantile(share))))
    }
}
