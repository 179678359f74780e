//! What changes from one list of VMs to the next.

use std::fmt;

use rustc_hash::FxHashMap;

use super::Vm;
use super::VmList;
use super::VmState;
use crate::process::InstanceId;

/// Whether the platform's list offers an instance for new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listing {
    /// The instance may receive requests.
    Live,
    /// The instance is being removed.
    Leaving,
    /// The list does not name the instance.
    Unlisted,
}

impl fmt::Display for Listing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Unlisted => "unlisted",
        })
    }
}

impl Listing {
    fn of(vm: &Vm) -> Self {
        match vm.state {
            VmState::Live => Self::Live,
            VmState::Leaving => Self::Leaving,
        }
    }
}

/// Returns the instances whose listing differs between two lists, with the new listing.
pub fn listing_changes<'a>(old: &'a VmList, new: &'a VmList) -> Vec<(&'a InstanceId, Listing)> {
    let mut before: FxHashMap<&InstanceId, Listing> =
        old.vms.iter().map(|vm| (&vm.instance, Listing::of(vm))).collect();
    let mut changes = Vec::new();
    for vm in &new.vms {
        let listing = Listing::of(vm);
        if before.remove(&vm.instance) != Some(listing) {
            changes.push((&vm.instance, listing));
        }
    }
    changes.extend(before.into_keys().map(|instance| (instance, Listing::Unlisted)));
    changes
}
