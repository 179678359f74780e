//! The platform's list of VMs.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::process::InstanceId;
use crate::process::Region;
use crate::process::ServiceName;
use crate::process::Zone;

/// Whether the platform keeps a VM in service or is removing it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM is being removed and receives no new requests.
    Leaving,
}

/// The list's entry of one VM, which runs an upstream and its daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Name of the instance; never reused for another VM.
    pub instance: InstanceId,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Region of the availability zone.
    pub region: Region,
    /// Address at which the daemon accepts requests from other daemons.
    pub peer: SocketAddr,
    /// Address at which the daemon accepts configuration queries.
    pub control: SocketAddr,
    /// Whether the VM stays in service.
    pub state: VmState,
    /// What the upstream states about itself, if the platform publishes it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamFacts>,
}

impl Vm {
    /// Whether the entry has the name of the VM and its daemon; otherwise the upstream has
    /// written it for itself. See `docs/design/membership.md`.
    pub fn names_daemon(&self) -> bool {
        self.upstream.is_none()
    }

    /// Returns what the upstream states about itself if it is of a service and has an address.
    pub(crate) fn upstream_at(
        &self,
        address: SocketAddr,
        service: &ServiceName,
    ) -> Option<UpstreamFacts> {
        self.upstream.filter(|facts| facts.address == address && self.service == *service)
    }
}

/// What an upstream states about itself in the platform's list.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamFacts {
    /// Address that the upstream listens on; reachable from its own VM only.
    pub address: SocketAddr,
    /// Number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Time that the upstream's warm-up still took when the entry was published.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub warmup_left: Duration,
    /// Start time of the upstream by its own clock, in milliseconds since the
    /// Unix epoch.
    pub start_ms: u64,
}

/// A version of the platform's list of VMs, which lags behind the actual state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// Version number; a newer list has a higher one.
    pub version: u64,
    /// All VMs of the fleet, live or leaving.
    pub vms: Vec<Vm>,
}
