//! Selects the partners of a daemon: the peers that it polls for updates.
//!
//! See `docs/design/configuration.md`.

use std::cmp::Reverse;

use crate::process::membership::Vm;
use crate::process::membership::VmList;
use crate::process::membership::VmState;
use crate::process::routing::Place;
use crate::process::routing::rendezvous;

/// Role of one of a daemon's partners; each slot holds at most one partner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Slot {
    /// The successor on a hash ring of the availability zone, so that every daemon
    /// is polled by at least one other.
    Ring,
    /// Another daemon of the availability zone, so that updates need few hops.
    Near,
    /// A daemon of another availability zone, so that updates cross zones and the
    /// daemons of a restarted zone obtain the configuration again.
    Far,
}

impl Slot {
    /// All slots of a daemon.
    pub const ALL: [Self; 3] = [Self::Ring, Self::Near, Self::Far];
}

/// Selects the partner for a slot after `attempt` failed attempts; `None` if there
/// is no candidate.
///
/// Every daemon selects its own partners by hashing, without a coordinator, and a
/// change of the list of VMs reassigns few of them.
pub fn choose<'a>(here: &Place, list: &'a VmList, slot: Slot, attempt: usize) -> Option<&'a Vm> {
    let others = |vm: &&Vm| vm.instance != here.instance && vm.state == VmState::Live;
    let others = list.vms.iter().filter(others);
    let (mut near, far): (Vec<&Vm>, Vec<&Vm>) = others.partition(|vm| vm.zone == here.zone);
    let own = here.instance.as_str();
    match slot {
        Slot::Ring => nth_successor(own, near, attempt),
        Slot::Near => {
            let successor = nth_successor(own, near.clone(), 0);
            near.retain(|vm| Some(vm.instance.as_str()) != successor.map(|s| s.instance.as_str()));
            nth_by_rendezvous(own, near, attempt)
        }
        Slot::Far => nth_by_rendezvous(own, far, attempt),
    }
}

fn nth_successor<'a>(own: &str, candidates: Vec<&'a Vm>, nth: usize) -> Option<&'a Vm> {
    let start = ring_position(own);
    let distance = |vm: &&Vm| ring_position(vm.instance.as_str()).wrapping_sub(start);
    nth_by_key(candidates, nth, distance)
}

fn nth_by_rendezvous<'a>(own: &str, candidates: Vec<&'a Vm>, nth: usize) -> Option<&'a Vm> {
    let weight = |vm: &&Vm| Reverse(rendezvous(own, vm.instance.as_str()));
    nth_by_key(candidates, nth, weight)
}

fn nth_by_key<'a, K: Ord>(
    mut candidates: Vec<&'a Vm>,
    nth: usize,
    key: impl FnMut(&&'a Vm) -> K,
) -> Option<&'a Vm> {
    let nth = nth.checked_rem(candidates.len())?;
    let (_, chosen, _) = candidates.select_nth_unstable_by_key(nth, key);
    Some(*chosen)
}

fn ring_position(instance: &str) -> u64 {
    rendezvous("", instance)
}
