//! Settings of one daemon, read at start and on reload; see `docs/settings.md`.

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

/// The settings of one daemon, defaults included.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Settings {
    /// Name, service and location of this daemon.
    pub daemon: Daemon,
    /// Addresses that the daemon listens on.
    pub listen: Listen,
    /// The daemon's local upstream.
    pub upstream: Upstream,
    /// The platform's configuration service, which the rules and the list of VMs are
    /// read from.
    pub platform: Platform,
    /// Graceful shutdown of the daemon.
    pub stop: Stop,
    /// Destination of the counters.
    pub metrics: MetricsSettings,
    /// Log level.
    pub log: Log,
    /// Admission of requests to the upstream.
    pub admission: AdmissionSettings,
    /// Idempotency tokens of this daemon.
    pub idempotency: IdempotencySettings,
    /// Limits for single requests.
    pub limits: Limits,
    /// Size of the VM, which bounds what clients can make the daemon hold.
    pub resources: ResourceSettings,
    /// Service level objectives: how many requests of each criticality may fail.
    pub objectives: Objectives,
    /// Bound on the repeats that reach the upstreams of the service; `None` for no
    /// bound.
    pub repeats: Option<RepeatSettings>,
    /// Customers that the rules name.
    pub customers: CustomerSettings,
    /// Adapter to a foreign platform, if the daemon runs on one.
    pub adapter: Option<Adapter>,
}

/// How keys of customers are withdrawn.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct CustomerSettings {
    /// Longest time after which a withdrawn key is still accepted, at any daemon. A daemon that
    /// cannot tell refuses requests with keys; `None` if such requests are served.
    #[serde_as(as = "Option<DurationText>")]
    pub withdrawal: Option<Duration>,
}

/// Bound on the repeats that reach all upstreams of a service together. A repeat is a
/// request that has reached an upstream before.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RepeatSettings {
    /// Repeats allowed per request that arrives for the first time.
    pub ratio: f64,
    /// Repeats allowed in addition to [`RepeatSettings::ratio`].
    pub slack: f64,
    /// Time window over which requests and repeats are counted.
    #[serde_as(as = "DurationText")]
    pub window: Duration,
    /// Whether this is the first start of the daemon. Otherwise an earlier process may
    /// have used up [`RepeatSettings::slack`], which then does not apply until the
    /// daemon has run for [`RepeatSettings::window`].
    pub first_start: bool,
}

/// Settings of the adapter to a foreign platform.
///
/// With an adapter, the daemon reads routes and entries from the platform's store in
/// place of rules and the list of VMs, callers and upstreams use the platform's
/// protocol, and the local upstream's calls arrive at the listener for callers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Adapter {
    /// Kind of the platform.
    pub platform: AdapterKind,
    /// Address of the listener for the platform's readiness checks.
    pub ready: SocketAddr,
    /// Region of each availability zone.
    pub zones: IndexMap<Zone, Region>,
}

/// A foreign platform that the daemon has an adapter for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdapterKind {
    /// A platform with a read-only metadata store.
    Store,
}

/// Name, service and location of a daemon.
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
    /// Address for requests from outside callers (HTTP/1.1).
    pub caller: SocketAddr,
    /// Address for the local upstream's calls (HTTP/1.1). If it is not set, these calls
    /// arrive at the listener for callers.
    pub upstream: Option<SocketAddr>,
    /// Address for requests from other daemons (HTTP/2).
    pub peer: SocketAddr,
    /// Address for control messages from other daemons (`tarpc`). If it is not set, the
    /// daemon neither relays configuration nor gets it by relays.
    pub control: Option<SocketAddr>,
    /// Address for the operator API (JSON over HTTP/1.1).
    pub operator: SocketAddr,
}

/// The local upstream of a daemon.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// Requests that the upstream can process concurrently. A number in the platform's
    /// entry of the upstream takes precedence.
    pub slots: u32,
    /// Concurrent connections that the upstream accepts.
    pub connections: u32,
}

/// The platform's configuration service, which the rules and the list of VMs are read
/// from.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Platform {
    /// Address of the platform's configuration service.
    pub address: SocketAddr,
}

/// Graceful shutdown of a daemon.
#[serde_as]
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Stop {
    /// Longest time that a graceful shutdown waits for requests in progress before it
    /// aborts them.
    #[serde_as(as = "DurationText")]
    pub patience: Duration,
}

/// Destination of the counters, in addition to the operator API.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct MetricsSettings {
    /// Address of a statsd server, which counters are sent to over UDP.
    pub statsd: Option<SocketAddr>,
}

/// Logging of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Log {
    /// Least severe level of the lines that are written.
    pub level: LogLevel,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that require an operator.
    Error,
    /// Failures that the daemon handles by itself.
    Warn,
    /// Changes of the daemon's state, and decisions on requests.
    Info,
    /// Details for developers of the daemon.
    Debug,
}

/// Admission of requests to the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct AdmissionSettings {
    /// Maximum number of requests that wait for a slot, over all criticalities. The
    /// default is proportional to the number of slots.
    pub queue: Option<u32>,
}

/// Idempotency tokens that a daemon issues.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct IdempotencySettings {
    /// Number of the latest tokens whose use is remembered; older tokens are rejected
    /// as expired.
    pub window: u32,
    /// Maximum number of concurrent requests with a token.
    pub running: u32,
    /// Memory for the responses that are kept to answer resent requests, in bytes.
    pub answer_bytes: u64,
}

/// Limits for single requests.
#[serde_as]
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: u64,
    /// Longest deadline of a request; longer ones are shortened to it.
    #[serde_as(as = "DurationText")]
    pub max_deadline: Duration,
    /// Longest time for which 64 KiB of a body may be on their way from or to a caller.
    #[serde_as(as = "DurationText")]
    pub stall_timeout: Duration,
}

/// Memory and descriptors that the daemon may use; see `docs/design/client-resources.md`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct ResourceSettings {
    /// Memory of the VM for this process, in units of 10^6 bytes.
    pub memory_mb: u64,
    /// Descriptors that this process may have open.
    pub descriptors: u32,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or for the reasons that [`Settings::parse`]
    /// lists.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).context(error::ReadSnafu { file: &file })?;
        Self::parse(&file, &text)
    }

    /// Parses and checks settings; `name` is the file name given in errors.
    ///
    /// # Errors
    ///
    /// Fails if `text` is not valid TOML. Otherwise fails with a list of problems:
    /// unknown and missing keys, values of the wrong type or out of range and, if there
    /// are none of these, keys that contradict one another.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        let table: toml::Table = toml::from_str(text).context(error::SyntaxSnafu { file: name })?;
        let (settings, mut problems) = reader::read(table);
        if problems.is_empty() {
            check::check_settings(&settings, &mut problems);
        }
        if problems.is_empty() {
            return Ok(settings);
        }
        error::InvalidSnafu { file: name, problems }.fail()
    }
}

/// Formats all settings as TOML, defaults included.
impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = toml::to_string(self).map_err(|_| fmt::Error)?;
        f.write_str(&text)
    }
}
