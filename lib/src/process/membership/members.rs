//! The platform's list and what was seen on the wire, put together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;

use super::Observation;
use super::Vm;
use super::VmList;
use super::VmState;
use super::standing::Standing;
use crate::process::InstanceId;
use crate::process::ServiceName;
use crate::process::admission::Level;

/// Whether an instance may get work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// It works and takes this share of ordinary work, up to 1.
    Working {
        /// Below 1 while the instance is cold.
        share: f64,
    },
    /// It does not work as far as was seen; one request may go there as a probe at this time.
    Probed {
        /// When the next probe may go out.
        at: Duration,
    },
    /// The platform removes it or no longer lists it.
    Gone,
}

/// Whether two entries of one name speak of the same start of the upstream.
fn is_same_start(left: &Vm, right: &Vm) -> bool {
    left.upstream.map(|facts| facts.born_ms) == right.upstream.map(|facts| facts.born_ms)
}

/// Every instance that may exist, and what was seen of those that this daemon calls.
///
/// The list only says who may exist: whether an instance gets work follows from
/// what calls to it met with. Memory beyond the list grows with the instances
/// called, not with the fleet.
#[derive(Debug, Default)]
pub struct Membership {
    version: Option<u64>,
    services: IndexMap<ServiceName, Vec<Arc<Vm>>>,
    by_name: IndexMap<InstanceId, Arc<Vm>>,
    standings: IndexMap<InstanceId, Standing>,
}

impl Membership {
    /// Returns a membership that knows of no instance yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a list of the platform, unless a newer one is held; returns
    /// whether it was taken.
    ///
    /// An instance that appears after the first list is cold.
    pub fn apply(&mut self, now: Duration, list: &VmList) -> bool {
        if self.version.is_some_and(|held| held >= list.version) {
            return false;
        }
        let first = self.version.replace(list.version).is_none();
        let old = std::mem::take(&mut self.by_name);
        self.services.clear();
        for vm in &list.vms {
            let vm = Arc::new(vm.clone());
            self.services.entry(vm.service.clone()).or_default().push(vm.clone());
            let known = old.get(&vm.instance).is_some_and(|known| is_same_start(known, &vm));
            if !first && !known {
                self.standings.insert(vm.instance.clone(), Standing::new(Some(now), vm.upstream));
            }
            self.by_name.insert(vm.instance.clone(), vm);
        }
        let listed = &self.by_name;
        self.standings.retain(|instance, _| listed.contains_key(instance));
        true
    }

    /// Takes in what was seen of an instance by a call.
    pub fn observe(
        &mut self,
        now: Duration,
        instance: &InstanceId,
        seen: Observation,
        rng: &mut impl Rng,
    ) {
        if self.by_name.contains_key(instance) {
            self.standing_mut(instance).observe(now, seen, rng);
        }
    }

    /// Notes that one request goes to an instance as a probe.
    pub fn probe_sent(&mut self, now: Duration, instance: &InstanceId, rng: &mut impl Rng) {
        if self.by_name.contains_key(instance) {
            self.standing_mut(instance).probe_sent(now, rng);
        }
    }

    /// Treats everything seen as out of date, as after a pause of the process.
    pub fn outdate(&mut self, now: Duration) {
        for standing in self.standings.values_mut() {
            standing.outdate(now);
        }
    }

    /// Returns whether an instance may get work.
    pub fn health(&self, now: Duration, instance: &InstanceId) -> Health {
        match self.by_name.get(instance) {
            Some(vm) if vm.state == VmState::Live => {}
            _ => return Health::Gone,
        }
        let Some(standing) = self.standings.get(instance) else {
            return Health::Working { share: 1.0 };
        };
        if standing.is_gone() {
            return Health::Gone;
        }
        match standing.probe_at() {
            Some(at) => Health::Probed { at },
            None => Health::Working { share: standing.share(now) },
        }
    }

    /// Returns the admission level that an instance told lately.
    pub fn level(&self, now: Duration, instance: &InstanceId) -> Option<Level> {
        self.standings.get(instance)?.level(now)
    }

    /// Returns the most open level that the instances of a service told lately;
    /// `None` if none of them told one.
    pub fn service_level(&self, now: Duration, service: &ServiceName) -> Option<Level> {
        self.instances(service).iter().filter_map(|vm| self.level(now, &vm.instance)).max()
    }

    /// Returns the version of the list in force.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the listed instance of a name.
    pub fn vm(&self, instance: &InstanceId) -> Option<&Arc<Vm>> {
        self.by_name.get(instance)
    }

    /// Returns the listed instances of a service, the leaving ones included.
    pub fn instances(&self, service: &ServiceName) -> &[Arc<Vm>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the instances of which something was seen whose daemon is at an address.
    pub fn at_peer(&self, peer: SocketAddr) -> Vec<InstanceId> {
        let is_there = |id: &&InstanceId| self.by_name.get(*id).is_some_and(|vm| vm.peer == peer);
        self.standings.keys().filter(is_there).cloned().collect()
    }

    /// Returns whether something was seen of an instance.
    pub fn has_seen(&self, instance: &InstanceId) -> bool {
        self.standings.contains_key(instance)
    }

    /// Returns how many instances something was seen of.
    pub fn seen(&self) -> usize {
        self.standings.len()
    }

    fn standing_mut(&mut self, instance: &InstanceId) -> &mut Standing {
        if !self.standings.contains_key(instance) {
            let facts = self.by_name.get(instance).and_then(|vm| vm.upstream);
            self.standings.insert(instance.clone(), Standing::new(None, facts));
        }
        &mut self.standings[instance]
    }
}
