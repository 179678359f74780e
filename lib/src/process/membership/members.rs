//! The instances that the platform lists, and their health as observed by calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;

use super::Observation;
use super::Vm;
use super::VmList;
use super::VmState;
use super::health_record::HealthRecord;
use super::leaving_notices::LeavingNotices;
use crate::process::InstanceId;
use crate::process::ServiceName;
use crate::process::admission::KnownLimit;
use crate::process::admission::Level;

/// Whether an instance may receive requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// The instance receives regular requests.
    Working {
        /// Part of its full share of the traffic; below 1 while the instance
        /// warms up.
        share: f64,
    },
    /// The instance is suspected or leaving; single requests are sent as probes.
    Probed {
        /// When the next probe may be sent.
        at: Duration,
    },
    /// The platform is removing the instance or no longer lists it, its upstream has said
    /// that it leaves, or another upstream uses its address.
    Gone,
}

/// Whether two entries of one instance describe the same start of its upstream at the same
/// address. What was observed at another address says nothing of the instance.
fn is_same_start(left: &Vm, right: &Vm) -> bool {
    start_ms(left) == start_ms(right) && left.peer == right.peer
}

fn start_ms(vm: &Vm) -> Option<u64> {
    vm.upstream.map(|facts| facts.start_ms)
}

/// The listed instances, and the health of those that this daemon calls.
///
/// A listed instance need not exist any more; whether it receives requests
/// depends on the results of earlier calls to it. Memory use beyond the list
/// grows with the number of instances called, not with the size of the fleet.
#[derive(Debug, Default)]
pub struct Membership {
    version: Option<u64>,
    services: IndexMap<ServiceName, Vec<Arc<Vm>>>,
    by_name: IndexMap<InstanceId, Arc<Vm>>,
    records: IndexMap<InstanceId, HealthRecord>,
    notices: LeavingNotices,
}

impl Membership {
    /// Returns a membership without any instance.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the list if the given one is newer; returns whether it was.
    ///
    /// Except for the first list, an instance that is new or whose upstream has
    /// restarted begins a warm-up.
    pub fn apply(&mut self, now: Duration, list: &VmList) -> bool {
        if self.version.is_some_and(|current| current >= list.version) {
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
                self.records.insert(vm.instance.clone(), HealthRecord::new(Some(now), vm.upstream));
            }
            self.by_name.insert(vm.instance.clone(), vm);
        }
        let listed = &self.by_name;
        self.notices.apply_starts(|instance| listed.get(instance).and_then(|vm| start_ms(vm)));
        self.records.retain(|instance, _| listed.contains_key(instance));
        true
    }

    /// Records an observation of a listed instance.
    pub fn observe(
        &mut self,
        now: Duration,
        instance: &InstanceId,
        observation: Observation,
        rng: &mut impl Rng,
    ) {
        let Some(vm) = self.by_name.get(instance) else { return };
        if observation == Observation::UpstreamLeaving {
            self.notices.record(instance, start_ms(vm));
        }
        self.record_mut(instance).observe(now, observation, rng);
    }

    /// Records that a request was sent to an instance as a probe.
    pub fn probe_sent(&mut self, now: Duration, instance: &InstanceId, rng: &mut impl Rng) {
        if self.by_name.contains_key(instance) {
            self.record_mut(instance).probe_sent(now, rng);
        }
    }

    /// Marks all observations as out of date, as they are after a pause of the process.
    pub fn mark_stale(&mut self, now: Duration) {
        for record in self.records.values_mut() {
            record.mark_stale(now);
        }
    }

    /// Returns whether an instance may receive requests.
    pub fn health(&self, now: Duration, instance: &InstanceId) -> Health {
        match self.by_name.get(instance) {
            Some(vm) if vm.state == VmState::Live => {}
            _ => return Health::Gone,
        }
        if self.notices.contains(instance) {
            return Health::Gone;
        }
        let Some(record) = self.records.get(instance) else {
            return Health::Working { share: 1.0 };
        };
        if record.is_gone() {
            return Health::Gone;
        }
        match record.probe_at() {
            Some(at) => Health::Probed { at },
            None => Health::Working { share: record.share(now) },
        }
    }

    /// Returns the last admission level that an instance reported, unless the
    /// report has expired.
    pub fn level(&self, now: Duration, instance: &InstanceId) -> Option<Level> {
        self.records.get(instance)?.level(now)
    }

    /// Records the limit on the rate of requests that an instance's owner reported, if any.
    pub fn record_rate_limit(
        &mut self,
        now: Duration,
        instance: &InstanceId,
        limit: Option<KnownLimit>,
    ) {
        let is_listed = self.by_name.contains_key(instance);
        if is_listed && (limit.is_some() || self.records.contains_key(instance)) {
            self.record_mut(instance).record_rate_limit(now, limit);
        }
    }

    /// Returns the limit on the rate of requests that an instance's owner reported last.
    pub fn rate_limit(&self, now: Duration, instance: &InstanceId) -> Option<KnownLimit> {
        self.records.get(instance)?.rate_limit(now)
    }

    /// Returns the admission level of the instance of a service that admits the
    /// most; `None` if no instance has a current report.
    pub fn service_level(&self, now: Duration, service: &ServiceName) -> Option<Level> {
        self.instances(service).iter().filter_map(|vm| self.level(now, &vm.instance)).max()
    }

    /// Returns the version of the current list.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the list's entry of an instance.
    pub fn vm(&self, instance: &InstanceId) -> Option<&Arc<Vm>> {
        self.by_name.get(instance)
    }

    /// Returns the list's entries of a service, including instances that are leaving.
    pub fn instances(&self, service: &ServiceName) -> &[Arc<Vm>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the observed instances whose daemon has the address `peer`.
    pub fn at_peer(&self, peer: SocketAddr) -> Vec<InstanceId> {
        let is_at_peer = |id: &&InstanceId| self.by_name.get(*id).is_some_and(|vm| vm.peer == peer);
        self.records.keys().filter(is_at_peer).cloned().collect()
    }

    /// Returns whether this daemon has a health record of an instance.
    pub fn has_health_record(&self, instance: &InstanceId) -> bool {
        self.records.contains_key(instance)
    }

    /// Returns the number of instances with a health record.
    pub fn health_record_count(&self) -> usize {
        self.records.len()
    }

    fn record_mut(&mut self, instance: &InstanceId) -> &mut HealthRecord {
        if !self.records.contains_key(instance) {
            let facts = self.by_name.get(instance).and_then(|vm| vm.upstream);
            self.records.insert(instance.clone(), HealthRecord::new(None, facts));
        }
        &mut self.records[instance]
    }
}
