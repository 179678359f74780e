//! Instances for which the local upstream must no longer run requests.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::Vm;
use super::VmList;
use super::VmState;
use super::leaving_notices::LeavingNotices;
use crate::process::InstanceId;
use crate::process::ServiceName;

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
///
/// Anyone may list an instance at the address. Which entry is the upstream's follows from its
/// answers, see `docs/design/membership.md`.
#[derive(Debug)]
pub struct LocalInstances {
    /// Address of the local upstream.
    upstream: SocketAddr,
    /// Service of the local upstream.
    service: ServiceName,
    /// The departed instances, with the start time that the list gave for their
    /// upstreams when the departure was recorded, in milliseconds since the Unix
    /// epoch.
    departed: IndexMap<InstanceId, Option<u64>>,
    /// The listed instances, with the start times of their upstreams.
    listed: IndexMap<InstanceId, Option<u64>>,
    /// The entries of the last list that have the local upstream's address and service.
    local: IndexMap<InstanceId, LocalEntry>,
    /// Instances that an earlier list named at the address and the last one does not name.
    unlisted: IndexMap<InstanceId, ()>,
    /// Instances whose upstream has said that it is leaving.
    notices: LeavingNotices,
    /// The instance that the upstream was when it last ran a request.
    confirmed: Option<InstanceId>,
    /// The instance whose entry describes the upstream, with its start time.
    described: Option<(InstanceId, u64)>,
}

/// What a list says of an instance at the local upstream's address.
#[derive(Clone, Copy, Debug)]
struct LocalEntry {
    state: VmState,
    start_ms: u64,
    slots: u32,
}

/// What a change of what is known says about the local upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Description {
    /// Number of requests that the upstream processes concurrently; `None` if no entry
    /// describes it.
    pub slots: Option<u32>,
    /// Whether it is another upstream, or another start of it, than the one described before.
    pub is_another: bool,
}

impl LocalInstances {
    /// Creates a table without instances for the upstream of a service at an address.
    pub fn new(upstream: SocketAddr, service: ServiceName) -> Self {
        Self {
            upstream,
            service,
            departed: IndexMap::new(),
            listed: IndexMap::new(),
            local: IndexMap::new(),
            unlisted: IndexMap::new(),
            notices: LeavingNotices::default(),
            confirmed: None,
            described: None,
        }
    }

    /// Records that an instance has left the local upstream's address, or never had it.
    pub fn record_departure(&mut self, instance: &InstanceId) -> Description {
        let start_ms = self.listed.get(instance).copied().flatten();
        self.departed.insert(instance.clone(), start_ms);
        self.confirmed.take_if(|confirmed| confirmed == instance);
        self.describe()
    }

    /// Records that the upstream ran a request that only this instance may run; returns what
    /// that changes.
    pub fn record_run(&mut self, instance: &InstanceId) -> Option<Description> {
        // The answer of an instance that has left meanwhile may arrive late.
        if self.confirmed.as_ref() == Some(instance) || self.departed.contains_key(instance) {
            return None;
        }
        self.confirmed = Some(instance.clone());
        Some(self.describe())
    }

    /// Returns the instance that the upstream was when it last ran a request.
    pub fn confirmed(&self) -> Option<&InstanceId> {
        self.confirmed.as_ref()
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
        match self.local.get(instance).map(|entry| entry.state) {
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

    /// Applies a new list; returns how it describes the upstream.
    ///
    /// Removes the departed instances that the list no longer names, and those whose
    /// upstream has another start time in it, since they may be back.
    pub fn apply(&mut self, list: &VmList) -> Description {
        self.listed = list.vms.iter().map(|vm| (vm.instance.clone(), start_ms(vm))).collect();
        let listed = &self.listed;
        self.departed.retain(|instance, start_ms| listed.get(instance) == Some(start_ms));
        self.notices.apply_starts(|instance| listed.get(instance).copied().flatten());
        let local = list.vms.iter().filter_map(|vm| Some((vm.instance.clone(), self.local(vm)?)));
        let local = local.collect();
        let before = std::mem::replace(&mut self.local, local);
        self.unlisted.extend(before.into_keys().map(|instance| (instance, ())));
        let listed = &self.listed;
        self.unlisted.retain(|instance, ()| !listed.contains_key(instance));
        let excess = self.unlisted.len().saturating_sub(UNLISTED_MAX);
        self.unlisted.drain(..excess);
        self.describe()
    }

    /// Returns what an entry says of the local upstream, if it is of an instance at its address.
    fn local(&self, vm: &Vm) -> Option<LocalEntry> {
        let facts = vm.upstream_at(self.upstream, &self.service)?;
        Some(LocalEntry { state: vm.state, start_ms: facts.start_ms, slots: facts.slots })
    }

    /// Selects the entry that describes the upstream.
    fn describe(&mut self) -> Description {
        let confirmed = self.confirmed.as_ref().and_then(|id| self.local.get_key_value(id));
        // An upstream that has just started has answered nothing yet.
        let latest = || {
            let rank = |id, entry: &LocalEntry| (!self.departed.contains_key(id), entry.start_ms);
            self.local.iter().max_by_key(|(id, entry)| rank(*id, entry))
        };
        let Some((instance, entry)) = confirmed.or_else(latest) else {
            return Description { slots: None, is_another: false };
        };
        let slots = Some(entry.slots);
        let described = (instance.clone(), entry.start_ms);
        let before = self.described.replace(described.clone());
        Description { slots, is_another: before.is_some_and(|before| before != described) }
    }
}

fn start_ms(vm: &Vm) -> Option<u64> {
    vm.upstream.map(|facts| facts.start_ms)
}
