//! The platform's list of VMs.

use std::net::SocketAddr;

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
}

/// A version of the list of VMs; it lags behind reality.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// Number by which the platform orders its lists.
    pub version: u64,
    /// Every VM that exists, live or leaving.
    pub vms: Vec<Vm>,
}
