//! Response bodies of the operator API.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::process::CustomerName;
use crate::process::Incarnation;
use crate::process::InstanceId;
use crate::process::Region;
use crate::process::ServiceName;
use crate::process::Zone;
use crate::process::burn::CauseReport;
use crate::process::burn::Fault;
use crate::process::burn::Role;
use crate::process::resources::HeldBytes;
use crate::request::Outcome;
use crate::version::Criticality;

/// Status of one daemon, as returned by `GET /status`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatusReport {
    /// Name of the VM.
    pub instance: InstanceId,
    /// Service of the local upstream.
    pub service: ServiceName,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Region of the availability zone.
    pub region: Region,
    /// Identity of this run of the daemon process.
    #[serde_as(as = "DisplayFromStr")]
    pub incarnation: Incarnation,
    /// Version of the daemon program.
    pub program: String,
    /// Time since the daemon started, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "uptime_ms")]
    pub uptime: Duration,
    /// Whether the daemon accepts new requests.
    pub state: State,
    /// Requests in progress, in all roles together.
    pub in_progress: usize,
    /// Rules in force; `None` until the daemon has received a first version.
    pub rules: Option<RulesStatus>,
    /// List of VMs in force; `None` until the daemon has received a first version.
    pub vms: Option<VmsStatus>,
    /// Admission to the local upstream.
    pub admission: AdmissionStatus,
    /// Idempotency tokens that this daemon issued.
    pub tokens: TokenStatus,
    /// Peers that this daemon has called.
    pub peers: Vec<PeerStatus>,
    /// Causes for which requests were refused or failed in the last five minutes.
    pub refusals: Vec<CauseOfRefusal>,
    /// Contents of requests that no upstream runs, because they have crashed several.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub banned: Vec<BannedContent>,
    /// Customers; `None` if the rules name none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customers: Option<CustomersStatus>,
    /// What clients make the daemon hold; `None` from daemons that do not tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub clients: Option<ClientsStatus>,
}

/// What clients make the daemon hold; see `docs/design/client-resources.md`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClientsStatus {
    /// Connections of callers.
    pub connections: usize,
    /// Most connections of callers.
    pub max_connections: usize,
    /// Bytes that these hold, by kind.
    pub held: HeldBytes,
    /// Most bytes that these may hold.
    pub max_bytes: usize,
    /// Bytes that requests of other daemons hold.
    pub sender_bytes: usize,
    /// Most bytes that these may hold.
    pub max_sender_bytes: usize,
}

/// Customers that the rules name, and their usage at this daemon.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CustomersStatus {
    /// Number of customers.
    pub named: usize,
    /// Time since the rules in force were surely the newest, in milliseconds; `None` if they
    /// never were, or if nothing confirms them.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "keys_age_ms")]
    pub keys_age: Option<Duration>,
    /// Customers of which requests were refused for their cap, the most limited first.
    pub limited: Vec<CustomerStatus>,
}

/// Usage of one customer at this daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CustomerStatus {
    /// Name of the customer.
    pub name: CustomerName,
    /// Cap in requests a second, over all daemons.
    pub per_second: Option<f64>,
    /// Fraction of the requests that is let through now; 0 without a coordinator.
    pub fraction: f64,
    /// Requests refused for the cap since the start of the daemon.
    pub refused: u64,
}

/// A content of requests that no upstream runs for now.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BannedContent {
    /// Digest of the content, as in the log.
    pub content: String,
    /// Time until upstreams may run it again, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "left_ms")]
    pub left: Duration,
}

/// Whether a daemon accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The daemon has no rules in force yet.
    Starting,
    /// The daemon accepts new requests.
    Serving,
    /// The daemon refuses new requests and completes those in progress.
    Draining,
    /// The daemon refuses new requests and has none left in progress.
    Drained,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Draining => "draining",
            Self::Drained => "drained",
        })
    }
}

/// Version and size of the rules in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RulesStatus {
    /// Version number that the platform assigned.
    pub version: u64,
    /// Number of rules.
    pub rules: usize,
}

/// Version and size of the list of VMs in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmsStatus {
    /// Version number that the platform assigned.
    pub version: u64,
    /// Number of VMs.
    pub vms: usize,
}

/// State of the admission control in front of the local upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdmissionStatus {
    /// Current limit on concurrent requests at the upstream, adapted at run time.
    pub limit: usize,
    /// Upper bound of [`AdmissionStatus::limit`].
    pub slots: usize,
    /// Requests in progress at the upstream.
    pub in_progress: usize,
    /// Requests that wait for admission, by criticality.
    pub queues: Vec<QueueStatus>,
    /// Admission level advertised to callers: `all`, or a criticality and a
    /// percentage. Requests of higher criticality are admitted, and that percentage
    /// of those of the criticality itself.
    pub level: String,
    /// Limit that the upstream states, in requests per second; `None` if it states none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_limit: Option<f64>,
}

/// Number of waiting requests of one criticality.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueStatus {
    /// Criticality of the requests.
    #[serde_as(as = "DisplayFromStr")]
    pub criticality: Criticality,
    /// Number of requests that wait for admission.
    pub waiting: usize,
}

/// Idempotency tokens that a daemon issued, and the memory that they take.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenStatus {
    /// Used tokens that the daemon remembers.
    pub used: usize,
    /// Responses kept in order to answer a resent request.
    pub kept_answers: usize,
    /// Memory used for the tokens and the kept responses, in bytes.
    pub bytes: usize,
}

/// State of one peer as seen by the reporting daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Name of the peer's VM.
    pub instance: InstanceId,
    /// Service of the peer's upstream.
    pub service: ServiceName,
    /// Whether the peer is sent requests.
    pub standing: PeerStanding,
    /// Requests sent to the peer that are still in progress.
    pub outstanding: u32,
    /// Admission level that the peer advertised last, in the form of
    /// [`AdmissionStatus::level`].
    pub level: Option<String>,
}

/// Whether a peer is sent requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerStanding {
    /// The peer receives its full share of requests.
    Working,
    /// The peer receives a growing share of requests, because it started recently.
    Warming,
    /// The peer stopped responding and receives only occasional probes.
    Lost,
    /// The peer receives no new requests and no probes.
    Leaving,
}

impl fmt::Display for PeerStanding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Working => "working",
            Self::Warming => "warming",
            Self::Lost => "lost",
            Self::Leaving => "leaving",
        })
    }
}

/// Number of requests of one class that were refused or failed for one cause.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CauseOfRefusal {
    /// Role that the daemon played for the requests.
    pub role: Role,
    /// Service that the requests were for.
    pub service: ServiceName,
    /// Criticality of the requests.
    #[serde_as(as = "DisplayFromStr")]
    pub criticality: Criticality,
    /// Cause and number of requests.
    #[serde(flatten)]
    pub cause: CauseReport,
}

impl CauseOfRefusal {
    /// Returns how the requests failed.
    pub fn fault(&self) -> Fault {
        self.cause.fault
    }

    /// Returns whether an upstream ran the requests.
    pub fn outcome(&self) -> Outcome {
        self.cause.outcome
    }
}

/// The rules in force, as returned by `GET /rules`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RulesReport {
    /// Version number that the platform assigned.
    pub version: u64,
    /// Text of the rules as the platform published it.
    pub text: String,
}

/// Result of a request to drain the daemon, as returned by `POST /drain`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainReport {
    /// Name of the VM.
    pub instance: InstanceId,
    /// State of the daemon after the request.
    pub state: State,
    /// Whether this request began the drain; `false` if one was in progress.
    pub began: bool,
    /// Number of requests still in progress.
    pub in_progress: usize,
}

/// Response of the operator listener to a request that it cannot serve.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorReport {
    /// What is wrong with the request.
    pub error: String,
    /// How to correct the request.
    pub hint: String,
}
