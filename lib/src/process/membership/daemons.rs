//! The daemons that a list of VMs tells of.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use super::Vm;
use super::VmState;
use crate::process::ServiceName;
use crate::process::Zone;
use crate::version::Policy;

/// A VM with a daemon, as far as a list tells.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedDaemon {
    /// Address at which the daemon accepts requests from other daemons.
    pub peer: SocketAddr,
    /// Address at which the daemon accepts configuration queries.
    pub control: SocketAddr,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Whether the VM stays in service, by one of its entries at least.
    pub is_live: bool,
    /// Services of the VM's entries; more than one while its address changes hands.
    services: Vec<ServiceName>,
}

impl ListedDaemon {
    /// Whether the daemon's upstream is of a service.
    pub fn serves(&self, service: &ServiceName) -> bool {
        self.services.contains(service)
    }
}

/// The daemons that a list of VMs tells of, each once.
///
/// On a foreign platform anyone may list an instance, and only those of services that the
/// policy names have a daemon beside them. See `docs/design/membership.md`.
#[derive(Debug, Default)]
pub struct Daemons(IndexMap<Addresses, ListedDaemon, FxBuildHasher>);

/// Addresses of a daemon for other daemons and for configuration queries.
type Addresses = (SocketAddr, SocketAddr);

impl Daemons {
    /// Returns the daemons beside the upstreams of the services that a policy names, or of all
    /// services without a policy.
    pub fn of<'a>(vms: impl IntoIterator<Item = &'a Vm>, policy: Option<&Policy>) -> Self {
        let mut daemons: IndexMap<Addresses, ListedDaemon, _> = IndexMap::default();
        let is_named = |vm: &&Vm| policy.is_none_or(|policy| policy.names_service(&vm.service));
        for vm in vms.into_iter().filter(is_named) {
            let is_live = vm.state == VmState::Live;
            let daemon = daemons.entry((vm.peer, vm.control)).or_insert_with(|| ListedDaemon {
                peer: vm.peer,
                control: vm.control,
                zone: vm.zone.clone(),
                is_live,
                services: Vec::with_capacity(1),
            });
            daemon.is_live |= is_live;
            if !daemon.serves(&vm.service) {
                daemon.services.push(vm.service.clone());
            }
        }
        Self(daemons)
    }

    /// Returns the daemons in the order of the list.
    pub fn iter(&self) -> impl Iterator<Item = &ListedDaemon> {
        self.0.values()
    }

    /// Returns the number of daemons.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
