//! The platform's list of VMs.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::process::InstanceId;
use crate::process::Region;
use crate::process::ServiceName;
use crate::process::Zone;

/// Whether the platform still wants a VM to serve.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM serves.
    Live,
    /// The VM is to be removed; it gets no new work.
    Leaving,
}

/// One upstream VM and the daemon beside it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Name of the instance, never given to another VM.
    pub instance: InstanceId,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Region of the availability zone.
    pub region: Region,
    /// Where the daemon takes requests of other daemons.
    pub peer: SocketAddr,
    /// Where the daemon answers questions on configuration.
    pub control: SocketAddr,
    /// What the platform wants of the VM.
    pub state: VmState,
    /// What the upstream says of itself, where the platform publishes it.
    #[serde(skip)]
    pub upstream: Option<UpstreamFacts>,
}

/// What an upstream says of itself in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamFacts {
    /// Where the upstream listens; only its own VM can reach it.
    pub address: SocketAddr,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How much longer it stays slow after its start, when this was published.
    pub cold_for: Duration,
    /// When it started, in milliseconds of the Unix epoch by its own clock.
    pub born_ms: u64,
}

/// A version of the list of VMs; it lags behind reality.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// Number by which the platform orders its lists.
    pub version: u64,
    /// Every VM that exists, live or leaving.
    pub vms: Vec<Vm>,
}
