//! Subset of a service's instances that one daemon calls.

use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::sync::Arc;

use siphasher::sip::SipHasher13;

use super::Place;
use crate::process::InstanceId;
use crate::process::membership::Vm;

/// Maximum number of instances of one service that a daemon calls in one tier.
const TIER_INSTANCES_MAX: usize = 8;

/// Returns the rendezvous hashing weight of a chooser and a candidate, which is the same
/// on every daemon.
pub fn rendezvous(chooser: &str, candidate: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    chooser.hash(&mut hasher);
    candidate.hash(&mut hasher);
    hasher.finish()
}

/// Instances of a service that one daemon calls, by distance, the nearest tier first.
///
/// Each daemon selects its instances by rendezvous hashing. A change of the list
/// therefore moves only the changed instances, and every instance is called by about the
/// same number of daemons.
#[derive(Debug, Default)]
pub(crate) struct Subset {
    /// Distance and instances of each tier: 0 in the own zone, 1 in the own region, 2 beyond.
    pub(crate) tiers: Vec<(usize, Vec<InstanceId>)>,
}

impl Subset {
    /// Selects the instances that a daemon calls among those listed.
    pub(crate) fn choose(here: &Place, vms: &[Arc<Vm>]) -> Self {
        let mut tiers: [Vec<&Vm>; 3] = Default::default();
        for vm in vms {
            tiers[distance(here, vm)].push(vm);
        }
        let tiers = tiers.into_iter().enumerate().filter(|(_, tier)| !tier.is_empty());
        Self {
            tiers: tiers.map(|(distance, tier)| (distance, highest_ranked(here, tier))).collect(),
        }
    }
}

fn distance(here: &Place, vm: &Vm) -> usize {
    match vm {
        vm if vm.zone == here.zone => 0,
        vm if vm.region == here.region => 1,
        _ => 2,
    }
}

fn highest_ranked(here: &Place, mut tier: Vec<&Vm>) -> Vec<InstanceId> {
    let chooser = here.instance.as_str();
    tier.sort_by_key(|vm| std::cmp::Reverse(rendezvous(chooser, vm.instance.as_str())));
    tier.truncate(TIER_INSTANCES_MAX);
    tier.iter().map(|vm| vm.instance.clone()).collect()
}
