//! Instances that the platform still lists at an address that another upstream uses.

use indexmap::IndexMap;

use super::VmList;
use crate::process::InstanceId;

/// Instances that are known to have left the local upstream's address.
///
/// The platform's list lags behind. Until it is updated, requests for these
/// instances are refused before they reach the upstream that now uses the
/// address.
#[derive(Debug, Default)]
pub struct Departed {
    /// The departed instances, with the start time that the list gave for their
    /// upstreams when the departure was recorded, in milliseconds since the Unix
    /// epoch.
    departed: IndexMap<InstanceId, Option<u64>>,
    /// The listed instances, with the start times of their upstreams.
    listed: IndexMap<InstanceId, Option<u64>>,
}

impl Departed {
    /// Records that an instance has left the local upstream's address.
    pub fn insert(&mut self, instance: &InstanceId) {
        let start_ms = self.listed.get(instance).copied().flatten();
        self.departed.insert(instance.clone(), start_ms);
    }

    /// Whether an instance is known to have left the local upstream's address.
    pub fn contains(&self, instance: &InstanceId) -> bool {
        self.departed.contains_key(instance)
    }

    /// Applies a new list.
    ///
    /// Removes the instances that the list no longer names, and those whose
    /// upstream has another start time in it, since they may be back.
    pub fn apply(&mut self, list: &VmList) {
        let start_ms = |vm: &super::Vm| vm.upstream.map(|facts| facts.start_ms);
        self.listed = list.vms.iter().map(|vm| (vm.instance.clone(), start_ms(vm))).collect();
        let listed = &self.listed;
        self.departed.retain(|instance, start_ms| listed.get(instance) == Some(start_ms));
    }
}
