//! Instances for which the local upstream must no longer run requests.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::Vm;
use super::VmList;
use super::VmState;
use super::leaving_notices::LeavingNotices;
use crate::process::InstanceId;

/// Most instances that are remembered as gone from the list. Others of this address
/// ended long ago, and nobody sends to them.
const UNLISTED_MAX: usize = 16;

/// Whether the local upstream may run requests for an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LocalStanding {
    /// Nothing speaks against it.
    Current,
    /// The instance is listed as leaving, or its upstream has said that it leaves.
    Leaving,
    /// The instance was listed and no longer is. The list may have lost it by mistake.
    Unlisted,
    /// Another upstream uses the instance's address.
    Departed,
}

/// What is known of the instances that use or have used the local upstream's address.
///
/// Other daemons' lists may be older than the local one. This daemon is the only way to
/// its upstream, so it refuses requests for an instance that may not receive any,
/// whatever their senders know.
#[derive(Debug)]
pub struct LocalInstances {
    /// Address of the local upstream.
    upstream: SocketAddr,
    /// The departed instances, with the start time that the list gave for their
    /// upstreams when the departure was recorded, in milliseconds since the Unix
    /// epoch.
    departed: IndexMap<InstanceId, Option<u64>>,
    /// The listed instances, with the start times of their upstreams.
    listed: IndexMap<InstanceId, Option<u64>>,
    /// The instances that the last list names at the local upstream's address.
    local: IndexMap<InstanceId, VmState>,
    /// Instances that an earlier list named at the address and the last one does not name.
    unlisted: IndexMap<InstanceId, ()>,
    /// Instances whose upstream has said that it is leaving.
    notices: LeavingNotices,
    /// The instance that a list named last at the address, with the start time of its
    /// upstream.
    latest: Option<(InstanceId, Option<u64>)>,
}

impl LocalInstances {
    /// Creates a table without instances for the upstream at an address.
    pub fn new(upstream: SocketAddr) -> Self {
        Self {
            upstream,
            departed: IndexMap::new(),
            listed: IndexMap::new(),
            local: IndexMap::new(),
            unlisted: IndexMap::new(),
            notices: LeavingNotices::default(),
            latest: None,
        }
    }

    /// Records that an instance has left the local upstream's address.
    pub fn record_departure(&mut self, instance: &InstanceId) {
        let start_ms = self.listed.get(instance).copied().flatten();
        self.departed.insert(instance.clone(), start_ms);
    }

    /// Records that an instance's upstream has said that it is leaving; returns whether that
    /// is news.
    pub fn record_leaving(&mut self, instance: &InstanceId) -> bool {
        let start_ms = self.listed.get(instance).copied().flatten();
        self.notices.record(instance, start_ms)
    }

    /// Returns whether an instance's upstream has said that it is leaving.
    pub fn has_said_leaving(&self, instance: &InstanceId) -> bool {
        self.notices.contains(instance)
    }

    /// Returns whether the local upstream may run requests for an instance.
    ///
    /// An instance that no list has named yet may have started just now.
    pub fn standing(&self, instance: &InstanceId) -> LocalStanding {
        if self.departed.contains_key(instance) {
            return LocalStanding::Departed;
        }
        if self.has_said_leaving(instance) {
            return LocalStanding::Leaving;
        }
        match self.local.get(instance) {
            Some(VmState::Leaving) => LocalStanding::Leaving,
            None if self.unlisted.contains_key(instance) => LocalStanding::Unlisted,
            Some(VmState::Live) | None => LocalStanding::Current,
        }
    }

    /// Returns the instances for which the local upstream must no longer run requests.
    pub fn gone(&self) -> impl Iterator<Item = &InstanceId> {
        let listed = self.local.keys().chain(self.unlisted.keys());
        let known = listed.chain(self.departed.keys()).chain(self.notices.instances());
        known.filter(|instance| self.standing(instance) != LocalStanding::Current)
    }

    /// Applies a new list; returns whether it names another upstream at the address, or
    /// another start of it, than the lists before.
    ///
    /// Removes the departed instances that the list no longer names, and those whose
    /// upstream has another start time in it, since they may be back.
    pub fn apply(&mut self, list: &VmList) -> bool {
        self.listed = list.vms.iter().map(|vm| (vm.instance.clone(), start_ms(vm))).collect();
        let listed = &self.listed;
        self.departed.retain(|instance, start_ms| listed.get(instance) == Some(start_ms));
        self.notices.apply_starts(|instance| listed.get(instance).copied().flatten());
        let local: IndexMap<_, _> =
            self.local_vms(list).map(|vm| (vm.instance.clone(), vm.state)).collect();
        let before = std::mem::replace(&mut self.local, local);
        self.unlisted.extend(before.into_keys().map(|instance| (instance, ())));
        let listed = &self.listed;
        self.unlisted.retain(|instance, ()| !listed.contains_key(instance));
        let excess = self.unlisted.len().saturating_sub(UNLISTED_MAX);
        self.unlisted.drain(..excess);
        let latest = self.local_vms(list).max_by_key(|vm| start_ms(vm));
        let Some(latest) = latest.map(|vm| (vm.instance.clone(), start_ms(vm))) else {
            return false;
        };
        self.latest.replace(latest.clone()).is_some_and(|before| before != latest)
    }

    /// Returns the VMs of a list whose upstream has the local upstream's address.
    fn local_vms<'a>(&self, list: &'a VmList) -> impl Iterator<Item = &'a Vm> {
        let address = self.upstream;
        let is_local = move |vm: &&Vm| vm.upstream.is_some_and(|facts| facts.address == address);
        list.vms.iter().filter(is_local)
    }
}

fn start_ms(vm: &Vm) -> Option<u64> {
    vm.upstream.map(|facts| facts.start_ms)
}
