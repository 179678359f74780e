//! What daemons and coordinators of usage tell each other.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Excess;
use crate::process::CustomerName;

/// Requests of one customer at one daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CustomerUsage {
    /// Name of the customer.
    #[serde(rename = "c")]
    pub name: CustomerName,
    /// Requests that arrived.
    #[serde(rename = "n")]
    pub arrived: u32,
    /// Requests that were admitted, less those of earlier intervals that did not run.
    #[serde(rename = "a")]
    pub admitted: i64,
}

/// What a daemon tells the coordinator.
///
/// A report covers everything since the last one that was answered, so that a coordinator counts
/// each request once, whether reports or answers are lost.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// Address of the daemon.
    pub from: SocketAddr,
    /// Number of daemons whose usage the report adds up.
    pub daemons: u32,
    /// Start of the interval, by the clock of the daemon.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "since_ms")]
    pub since: Duration,
    /// Length of the interval.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "interval_ms")]
    pub interval: Duration,
    /// Customers with requests in that time.
    pub customers: Vec<CustomerUsage>,
}

impl UsageReport {
    /// Returns the end of the interval, by the clock of the daemon.
    pub fn sent_at(&self) -> Duration {
        self.since + self.interval
    }
}

/// What the coordinator answers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct UsageAnswer {
    /// Customers of which only a fraction of the requests is within the cap.
    pub fractions: Vec<(CustomerName, f64)>,
    /// What customers ask beyond their usual.
    #[serde(default)]
    pub excess: Excess,
}
