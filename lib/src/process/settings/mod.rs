//! Settings of one daemon, read once at start; see `docs/settings.md`.

mod check;
mod error;
mod reader;
mod reload;
mod section;

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;
use serde_with::serde_as;
use snafu::ResultExt as _;

pub use self::error::Problem;
pub use self::error::SettingsError;
pub use self::reload::SettingsChange;
use super::InstanceId;
use super::Region;
use super::ServiceName;
use super::Zone;
use super::burn::Objectives;
use super::units::DurationText;

/// Everything that a daemon learns from its settings file.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Settings {
    /// Who this daemon is and where it runs.
    pub daemon: Daemon,
    /// Addresses that the daemon listens on.
    pub listen: Listen,
    /// The upstream beside the daemon.
    pub upstream: Upstream,
    /// Where rules and the list of VMs are read.
    pub platform: Platform,
    /// How the daemon stops.
    pub stop: Stop,
    /// Where counters are sent.
    pub metrics: MetricsSettings,
    /// What is logged.
    pub log: Log,
    /// Admission of requests to the upstream.
    pub admission: AdmissionSettings,
    /// Idempotency tokens of this daemon.
    pub idempotency: IdempotencySettings,
    /// Bounds on what one request may take.
    pub limits: Limits,
    /// How many requests of each criticality may fail.
    pub objectives: Objectives,
    /// How many repeats may reach the upstreams of the service, if that is bounded.
    pub repeats: Option<RepeatSettings>,
    /// The foreign platform that the daemon runs on, if any.
    pub adapter: Option<Adapter>,
}

/// How many repeats may reach the upstreams of a service together.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RepeatSettings {
    /// Repeats allowed for each request that arrives for the first time.
    pub ratio: f64,
    /// Repeats allowed beside them.
    pub slack: f64,
    /// Time over which both are counted.
    #[serde_as(as = "DurationText")]
    pub window: Duration,
    /// Whether no earlier process of this daemon can have made repeats.
    pub first_start: bool,
}

/// The foreign platform that a daemon runs on.
///
/// With it, the platform publishes routes and entries in a store in place of
/// rules and a list, callers and upstreams speak the platform's language, and
/// the local upstream's own calls arrive at the listener for callers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Adapter {
    /// Which platform it is.
    pub platform: AdapterKind,
    /// Where the platform asks whether the daemon takes requests.
    pub ready: SocketAddr,
    /// Region of each availability zone.
    pub zones: IndexMap<Zone, Region>,
}

/// The foreign platforms that there is an adapter for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdapterKind {
    /// A metadata store that can only be read.
    Store,
}

/// Who a daemon is and where it runs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Daemon {
    /// Name of the VM.
    pub instance: InstanceId,
    /// Service that the local upstream serves.
    pub service: ServiceName,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Region of the availability zone.
    pub region: Region,
}

/// Addresses that a daemon listens on, one for each kind of client.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Listen {
    /// Outside callers, HTTP/1.1.
    pub caller: SocketAddr,
    /// The local upstream's own calls, HTTP/1.1; without it they arrive at the
    /// listener for callers.
    pub upstream: Option<SocketAddr>,
    /// Requests from other daemons, HTTP/2.
    pub peer: SocketAddr,
    /// Control messages from other daemons, `tarpc`; without it daemons do not
    /// spread configuration among themselves.
    pub control: Option<SocketAddr>,
    /// Operators, HTTP/1.1 with JSON answers.
    pub operator: SocketAddr,
}

/// The upstream beside a daemon.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// Requests that the upstream can work on at once; the platform's entry of
    /// the upstream goes before it.
    pub slots: u32,
    /// Connections that the upstream accepts.
    pub connections: u32,
}

/// Where rules and the list of VMs are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Platform {
    /// Address of the platform's configuration service.
    pub address: SocketAddr,
}

/// How a daemon stops.
#[serde_as]
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Stop {
    /// How long a graceful shutdown waits for requests in progress.
    #[serde_as(as = "DurationText")]
    pub patience: Duration,
}

/// Where counters are sent besides the operator listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct MetricsSettings {
    /// Address of a statsd server, over UDP.
    pub statsd: Option<SocketAddr>,
}

/// What is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Log {
    /// The least severe level that is written.
    pub level: LogLevel,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the daemon handles.
    Warn,
    /// Changes of state.
    Info,
    /// Details for those who work on the daemon.
    Debug,
}

/// Admission of requests to the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct AdmissionSettings {
    /// Requests that may wait for a slot at once, of all criticalities; without
    /// it, a number for each slot.
    pub queue: Option<u32>,
}

/// Idempotency tokens of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct IdempotencySettings {
    /// Latest tokens whose use is remembered; older ones are void.
    pub window: u32,
    /// Requests that may be in progress under tokens at once.
    pub running: u32,
    /// Memory for answers that are kept for resends, in bytes.
    pub answer_bytes: u64,
}

/// Bounds on what one request may take.
#[serde_as]
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: u64,
    /// Longest deadline that a request may carry.
    #[serde_as(as = "DurationText")]
    pub max_deadline: Duration,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, and as [`Settings::parse`] does.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).context(error::ReadSnafu { file: &file })?;
        Self::parse(&file, &text)
    }

    /// Parses and checks settings; `name` stands for the file in errors.
    ///
    /// # Errors
    ///
    /// Fails with every problem of the file at once: unknown and missing keys,
    /// values of the wrong type or out of range, keys that contradict one
    /// another.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        let table: toml::Table = toml::from_str(text).context(error::SyntaxSnafu { file: name })?;
        let (settings, mut problems) = reader::read(table);
        if problems.is_empty() {
            check::contradictions(&settings, &mut problems);
        }
        if problems.is_empty() {
            return Ok(settings);
        }
        error::InvalidSnafu { file: name, problems }.fail()
    }
}

/// Prints every setting in force, defaults included, as TOML.
impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = toml::to_string(self).map_err(|_| fmt::Error)?;
        f.write_str(&text)
    }
}
