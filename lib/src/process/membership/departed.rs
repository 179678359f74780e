//! Instances that the platform still lists at an address that is no longer theirs.

use indexmap::IndexMap;

use super::VmList;
use crate::process::InstanceId;

/// Instances that were found to be gone from the local upstream's address.
///
/// The list lags behind; until it has caught up, requests meant for them are
/// refused before they reach the upstream that holds the address now.
#[derive(Debug, Default)]
pub struct Departed {
    /// Start of the upstream that the list named when it was found gone, in
    /// milliseconds of the Unix epoch.
    born: IndexMap<InstanceId, Option<u64>>,
    listed: IndexMap<InstanceId, Option<u64>>,
}

impl Departed {
    /// Notes that an instance is gone.
    pub fn note(&mut self, instance: &InstanceId) {
        let born = self.listed.get(instance).copied().flatten();
        self.born.insert(instance.clone(), born);
    }

    /// Whether an instance is known to be gone.
    pub fn has(&self, instance: &InstanceId) -> bool {
        self.born.contains_key(instance)
    }

    /// Takes in a list: an instance that it no longer names is forgotten, and
    /// one that started anew may be back.
    pub fn heed(&mut self, list: &VmList) {
        let born = |vm: &super::Vm| vm.upstream.map(|facts| facts.born_ms);
        self.listed = list.vms.iter().map(|vm| (vm.instance.clone(), born(vm))).collect();
        let listed = &self.listed;
        self.born.retain(|instance, born| listed.get(instance) == Some(born));
    }
}
