//! The answers of the operator listener.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::process::Incarnation;
use crate::process::InstanceId;
use crate::process::Region;
use crate::process::ServiceName;
use crate::process::Zone;
use crate::process::burn::CauseReport;
use crate::process::burn::Fault;
use crate::process::burn::Role;
use crate::request::Outcome;
use crate::version::Criticality;

/// What one daemon is doing.
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
    /// Identity of this run.
    #[serde_as(as = "DisplayFromStr")]
    pub incarnation: Incarnation,
    /// Version of the program.
    pub program: String,
    /// Time since the start, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "uptime_ms")]
    pub uptime: Duration,
    /// Whether it takes new work.
    pub state: State,
    /// Requests in progress in any role.
    pub in_progress: usize,
    /// Rules in force; none while the daemon has not yet heard of any.
    pub rules: Option<RulesStatus>,
    /// List of VMs in force.
    pub vms: Option<VmsStatus>,
    /// Admission to the local upstream.
    pub admission: AdmissionStatus,
    /// Idempotency tokens of this daemon.
    pub tokens: TokenStatus,
    /// Peers that this daemon has called.
    pub peers: Vec<PeerStatus>,
    /// Why requests were refused or failed in the last five minutes.
    pub refusals: Vec<CauseOfRefusal>,
}

/// Whether a daemon takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It holds no configuration that it knows to be the newest.
    Starting,
    /// It serves.
    Serving,
    /// It refuses new work and finishes what is in progress.
    Draining,
    /// Nothing is in progress any more.
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

/// The rules in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RulesStatus {
    /// Version by the platform's number.
    pub version: u64,
    /// Number of rules.
    pub rules: usize,
}

/// The list of VMs in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmsStatus {
    /// Version by the platform's number.
    pub version: u64,
    /// Number of VMs.
    pub vms: usize,
}

/// Admission to the local upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmissionStatus {
    /// Requests that the upstream may work on at once, as learned.
    pub limit: usize,
    /// Upper bound of the limit, from the settings.
    pub slots: usize,
    /// Requests at the upstream.
    pub in_progress: usize,
    /// Requests that wait, by criticality.
    pub queues: Vec<QueueStatus>,
    /// Requests that callers are told to send: all of higher criticality than
    /// the one named, and this share of it.
    pub level: String,
}

/// Requests of one criticality that wait.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueStatus {
    /// Their criticality.
    #[serde_as(as = "DisplayFromStr")]
    pub criticality: Criticality,
    /// Their number.
    pub waiting: usize,
}

/// Idempotency tokens that a daemon issued.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenStatus {
    /// Used tokens that the daemon remembers.
    pub used: usize,
    /// Answers kept for resends.
    pub kept_answers: usize,
    /// Memory of both, in bytes.
    pub bytes: usize,
}

/// What a daemon holds of one peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Name of the peer's VM.
    pub instance: InstanceId,
    /// Service that it serves.
    pub service: ServiceName,
    /// Whether it gets work.
    pub standing: PeerStanding,
    /// Calls in progress there.
    pub outstanding: u32,
    /// Requests that it told callers to send, as in [`AdmissionStatus::level`].
    pub level: Option<String>,
}

/// Whether a peer gets work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerStanding {
    /// It gets its full share.
    Working,
    /// It gets a growing share, because it is cold.
    Warming,
    /// It gets a probe now and then.
    Lost,
    /// It gets no new work and is not probed.
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

/// How often requests were refused or failed for one cause.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CauseOfRefusal {
    /// Role in which the daemon served them.
    pub role: Role,
    /// Service that they were for.
    pub service: ServiceName,
    /// Their criticality.
    #[serde_as(as = "DisplayFromStr")]
    pub criticality: Criticality,
    /// Why, and how often.
    #[serde(flatten)]
    pub cause: CauseReport,
}

impl CauseOfRefusal {
    /// Returns what went wrong.
    pub fn fault(&self) -> Fault {
        self.cause.fault
    }

    /// Returns what the requests did at an upstream.
    pub fn outcome(&self) -> Outcome {
        self.cause.outcome
    }
}

/// The text of the rules in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RulesReport {
    /// Version by the platform's number.
    pub version: u64,
    /// The text as published.
    pub text: String,
}

/// What a request to drain has done.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainReport {
    /// Name of the VM.
    pub instance: InstanceId,
    /// State of the daemon now.
    pub state: State,
    /// Whether this request began the drain.
    pub began: bool,
    /// Requests still in progress.
    pub in_progress: usize,
}

/// A question that the operator listener does not answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorReport {
    /// What is wrong.
    pub error: String,
    /// What to do about it.
    pub hint: String,
}
