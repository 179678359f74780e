//! Builds the list of VMs from the platform's entries.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;
use rustc_hash::FxHashMap;

use super::CatalogError;
use super::Change;
use super::Entry;
use super::EntryKey;
use super::Page;
use super::Revision;
use super::outage::Belief;
use super::outage::Outage;
use crate::process::InstanceId;
use crate::process::ServiceName;
use crate::process::config::ActiveRules;
use crate::process::membership::Vm;
use crate::process::membership::VmList;
use crate::process::membership::VmState;
use crate::version::Policy;

/// Time for which an entry that a new era lacks is still believed. Instances write their
/// entries again within two seconds.
const UNCONFIRMED_LIFETIME: Duration = Duration::from_secs(4);
/// Time for which a removal is remembered, and for which an older copy's entry of the
/// removed instance is not believed afterwards. The copy is some seconds old, and the lease
/// of an instance that is gone runs out in it within 5 s.
const REMOVAL_LIFETIME: Duration = Duration::from_secs(10);

/// The latest known entries of a catalog.
///
/// Each entry has its own revision, since the pages of one read are not an atomic
/// snapshot and a change may arrive twice.
///
/// If the catalog comes back from an older copy, the entries follow it, with three
/// exceptions, each for a limited time: an instance that has said it is leaving is not
/// live again because the copy says so; a removed one does not return with the copy; one
/// that the copy lacks is kept until it had time to write its entry again. See
/// `docs/design/eras.md`.
///
/// Live entries that lapsed in an outage of the catalog are kept for the same reason. See
/// `docs/design/membership.md`.
#[derive(Debug, Default)]
pub struct Roster {
    entries: IndexMap<EntryKey, Known, FxBuildHasher>,
    /// Removed entries whose removal may be known before earlier changes, because the
    /// local upstream's entry is watched apart.
    removed: IndexMap<EntryKey, Revision, FxBuildHasher>,
    /// Instances whose entries were removed lately.
    departed: IndexMap<EntryKey, DepartedInstance, FxBuildHasher>,
    /// Newest era of which entries are known.
    era: u64,
    /// The outage of the catalog that is not over.
    outage: Option<Outage>,
    /// What is believed after the last outage.
    belief: Option<Belief>,
    /// The rules in force, which name the services that instances may be of.
    rules: Option<Arc<ActiveRules>>,
    /// Version of the last list built.
    version: u64,
}

/// One entry, and how long it is believed.
#[derive(Debug)]
struct Known {
    revision: Revision,
    entry: Entry,
    /// When this daemon was told that the entry was written.
    told_at: Duration,
    /// When the entry is removed, unless it is written before.
    expires_at: Option<Duration>,
    /// The catalog's return from the outage in which the entry lapsed, if it has.
    lapsed_by: Option<Duration>,
}

impl Known {
    fn vm(&self) -> Option<&Vm> {
        match &self.entry {
            Entry::Listed(vm) => Some(vm),
            Entry::Unusable(_) => None,
        }
    }

    fn live(&self) -> Option<&Vm> {
        self.vm().filter(|vm| vm.state == VmState::Live)
    }

    fn upstream(&self) -> Option<SocketAddr> {
        self.vm()?.upstream.map(|facts| facts.address)
    }
}

/// An instance whose entry was removed.
#[derive(Debug)]
struct DepartedInstance {
    /// Start of the instance's upstream, in milliseconds since the Unix epoch.
    start_ms: Option<u64>,
    /// When the removal is forgotten.
    forget_at: Duration,
    /// The entry that an older copy has, used if it is still there at `forget_at`.
    in_copy: Option<(Revision, Entry)>,
}

/// Why an entry names no instance to use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnusedReason<'a> {
    /// It cannot be read, or lacks what an entry must hold.
    Unusable(&'a str),
    /// The version in force does not name its service; a later one may.
    UnnamedService(&'a ServiceName),
}

impl fmt::Display for UnusedReason<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unusable(reason) => f.write_str(reason),
            Self::UnnamedService(service) => {
                write!(f, "the version in force does not name the service '{service}'")
            }
        }
    }
}

/// Whether an entry was read from an older copy or may have been written since.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Origin {
    Copy,
    Writer,
}

fn start_ms(entry: &Entry) -> Option<u64> {
    match entry {
        Entry::Listed(vm) => vm.upstream.map(|facts| facts.start_ms),
        Entry::Unusable(_) => None,
    }
}

/// Whether an entry tells of an earlier start of an instance than another one known.
fn is_earlier_start(entry: &Entry, known: &Entry) -> bool {
    matches!((start_ms(entry), start_ms(known)), (Some(start), Some(known)) if start < known)
}

/// Whether two entries describe the same start of an instance, as far as they say so.
fn is_same_start(left: &Entry, right: &Entry) -> bool {
    start_ms(left).is_some() && start_ms(left) == start_ms(right)
}

impl Roster {
    /// Sets the rules in force, which name the services that instances may be of.
    pub fn set_rules(&mut self, rules: Option<Arc<ActiveRules>>) {
        self.rules = rules;
    }

    /// Returns the policy in force, if there is one.
    pub fn policy(&self) -> Option<&Policy> {
        self.rules.as_ref().map(|rules| &rules.policy)
    }

    fn is_named(&self, service: &ServiceName) -> bool {
        self.policy().is_none_or(|policy| policy.names_service(service))
    }

    /// Replaces all entries by the pages of one read.
    pub fn replace(&mut self, now: Duration, pages: Vec<Page>) {
        let era = pages.first().map_or(self.era, |page| page.revision.era);
        let is_first_read = self.entries.is_empty() && self.departed.is_empty();
        if era > self.era && !is_first_read {
            let entries = pages.into_iter().flat_map(|page| page.entries);
            let changes = entries.map(|(key, at, entry)| Change::Written(key, at, entry));
            self.begin_era(now, era, changes.collect());
            return;
        }
        self.era = era;
        let before = std::mem::take(&mut self.entries);
        self.removed.clear();
        for (key, revision, entry) in pages.into_iter().flat_map(|page| page.entries) {
            let unchanged = before.get(&key).filter(|known| known.revision == revision);
            let told_at = unchanged.map_or(now, |known| known.told_at);
            self.write(told_at, key, revision, entry, Origin::Writer);
        }
        for (key, known) in before {
            if self.entries.contains_key(&key) {
                continue;
            }
            self.entries.insert(key.clone(), known);
            if !self.lapse(now, &key) {
                self.entries.pop();
            }
        }
    }

    /// Records that a call that was sent to the catalog at a time has failed now.
    pub fn record_failure(&mut self, sent_at: Duration, now: Duration, err: &CatalogError) {
        self.outage = Outage::with_failure(self.outage, sent_at, now, err);
    }

    /// Records that the catalog has answered, before its answer is applied.
    pub fn record_answer(&mut self, now: Duration) {
        let Some(outage) = self.outage.take() else { return };
        // Another writer's entries have no leases that lapse.
        let known = self.entries.values().filter_map(Known::live);
        let known = known.filter(|vm| self.is_named(&vm.service)).count();
        if let Some(belief) = outage.end(now, known) {
            self.belief = Some(belief);
        }
    }

    /// Applies the changes that make up all that a later era has, and returns whether the
    /// list may differ.
    pub fn begin_era(&mut self, now: Duration, era: u64, changes: Vec<Change>) -> bool {
        self.era = era;
        self.removed.clear();
        let mut differs = false;
        for change in changes {
            differs |= match change {
                Change::Written(key, revision, entry) => {
                    self.write(now, key, revision, entry, Origin::Copy)
                }
                change => self.apply(now, change),
            };
        }
        for departed in self.departed.values_mut() {
            departed.in_copy.take_if(|(at, _)| at.era < era);
        }
        let expires_at = self.unconfirmed_until(now);
        for known in self.entries.values_mut() {
            // A later drill leaves the bound of an entry that lapsed in an outage as it is.
            if known.revision.era < era && known.lapsed_by.is_none() {
                known.expires_at = Some(expires_at);
            }
        }
        differs
    }

    /// Applies a change; returns whether the list may differ.
    pub fn apply(&mut self, now: Duration, change: Change) -> bool {
        match change {
            Change::Policy(_) => false,
            Change::Written(key, revision, entry) => {
                // The entry of the local upstream may be read in an era before the others.
                let origin = match revision.era > self.era {
                    true => Origin::Copy,
                    false => Origin::Writer,
                };
                self.write(now, key, revision, entry, origin)
            }
            Change::Removed(key, revision) => self.remove(now, &key, revision),
        }
    }

    /// Returns when [`Self::expire`] is due.
    pub fn next_expiry(&self) -> Option<Duration> {
        let entries = self.entries.values().filter_map(|known| known.expires_at);
        let departed = self.departed.values().filter(|departed| departed.in_copy.is_some());
        entries.chain(departed.map(|departed| departed.forget_at)).min()
    }

    /// Ends the beliefs whose time is over; returns whether the list may differ.
    pub fn expire(&mut self, now: Duration) -> bool {
        let taken = self.addresses_taken();
        let is_over = |known: &Known| {
            let taken_at = || known.upstream().and_then(|address| taken.get(&address).copied());
            // What stood beside the entry before it lapsed has not taken its place.
            let is_replaced = |back_at| taken_at().is_some_and(|at| at >= back_at);
            known.expires_at.is_some_and(|at| at <= now) || known.lapsed_by.is_some_and(is_replaced)
        };
        let unconfirmed = self.entries.iter().filter(|(_, known)| is_over(known));
        let unconfirmed: Vec<EntryKey> = unconfirmed.map(|(key, _)| key.clone()).collect();
        let mut differs = !unconfirmed.is_empty();
        for key in unconfirmed {
            self.depart(now, &key);
        }
        let over: Vec<EntryKey> = self
            .departed
            .iter()
            .filter(|(_, departed)| departed.forget_at <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in over {
            let departed = self.departed.swap_remove(&key);
            if let Some((revision, entry)) = departed.and_then(|departed| departed.in_copy) {
                differs |= self.write(now, key, revision, entry, Origin::Writer);
            }
        }
        differs
    }

    /// Forgets removals up to a revision, up to which all changes were applied.
    pub fn forget_removals(&mut self, complete: Revision) {
        self.removed.retain(|_, at| *at > complete);
    }

    /// Returns the key of the entry of an upstream of a service at an address. Of several, it is
    /// the one of `confirmed`, or else the one that started last.
    pub fn key_at(
        &self,
        upstream: SocketAddr,
        service: &ServiceName,
        confirmed: Option<&InstanceId>,
    ) -> Option<EntryKey> {
        let at_address = self.entries.iter().filter_map(|(key, known)| {
            let vm = known.vm()?;
            let facts = vm.upstream_at(upstream, service)?;
            Some(((Some(&vm.instance) == confirmed, facts.start_ms), key))
        });
        at_address.max_by_key(|(rank, _)| *rank).map(|(_, key)| key.clone())
    }

    /// Builds the list of VMs, with a version one higher than the last.
    pub fn build_list(&mut self) -> VmList {
        self.version += 1;
        VmList { version: self.version, vms: self.vms().cloned().collect() }
    }

    /// Gives another daemon's list a version one higher than the last list here.
    pub fn renumber(&mut self, list: VmList) -> VmList {
        self.version += 1;
        VmList { version: self.version, ..list }
    }

    /// Returns the entries that name no instance to use, with their revisions: those that are
    /// unusable, and those of services that the policy does not name.
    pub fn unused(&self) -> impl Iterator<Item = (&EntryKey, Revision, UnusedReason<'_>)> {
        self.entries.iter().filter_map(|(key, known)| {
            let reason = match &known.entry {
                Entry::Unusable(reason) => UnusedReason::Unusable(reason),
                Entry::Listed(vm) if !self.is_named(&vm.service) => {
                    UnusedReason::UnnamedService(&vm.service)
                }
                Entry::Listed(_) => return None,
            };
            Some((key, known.revision, reason))
        })
    }

    /// Returns the VMs of all usable entries.
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.entries.values().filter_map(Known::vm)
    }

    fn write(
        &mut self,
        now: Duration,
        key: EntryKey,
        revision: Revision,
        entry: Entry,
        origin: Origin,
    ) -> bool {
        if self.removed.get(&key).is_some_and(|removed| *removed >= revision) {
            return false;
        }
        let current = self.entries.get(&key);
        if current.is_some_and(|current| current.revision >= revision) {
            return false;
        }
        let departed = self.departed.get_mut(&key);
        if let Some(DepartedInstance { in_copy: Some((in_copy, _)), .. }) = &departed
            && *in_copy >= revision
        {
            return false;
        }
        if origin == Origin::Copy
            && let Some(departed) = departed
            && let Some(start) = start_ms(&entry)
            && departed.start_ms.is_some_and(|departed| start <= departed)
        {
            departed.in_copy = Some((revision, entry));
            departed.forget_at = now + REMOVAL_LIFETIME;
            return false;
        }
        // The copy lacks this start, which has up to `UNCONFIRMED_LIFETIME` to write again.
        if origin == Origin::Copy
            && current.is_some_and(|current| is_earlier_start(&entry, &current.entry))
        {
            return false;
        }
        self.departed.swap_remove(&key);
        let entry = match current {
            Some(current) if origin == Origin::Copy => keep_leaving(&current.entry, entry),
            Some(_) | None => entry,
        };
        let differs = current.is_none_or(|current| current.entry != entry);
        let known = Known { revision, entry, told_at: now, expires_at: None, lapsed_by: None };
        self.entries.insert(key, known);
        differs
    }

    fn remove(&mut self, now: Duration, key: &EntryKey, revision: Revision) -> bool {
        let expires_at = self.unconfirmed_until(now);
        let current = self.entries.get_mut(key);
        if current.as_ref().is_some_and(|current| current.revision >= revision) {
            return false;
        }
        self.removed.insert(key.clone(), revision);
        if let Some(departed) = self.departed.get_mut(key) {
            departed.in_copy = None;
        }
        let Some(current) = current else { return false };
        // The copy may lack an instance that has not written its entry again.
        if current.revision.era < revision.era {
            current.expires_at.get_or_insert(expires_at);
            return false;
        }
        if self.lapse(now, key) {
            return false;
        }
        self.depart(now, key);
        true
    }

    /// Returns until when an entry is believed that a new era lacks.
    fn unconfirmed_until(&self, now: Duration) -> Duration {
        let belief = self.belief.filter(|belief| belief.holds(now));
        let bound = now + UNCONFIRMED_LIFETIME;
        belief.map_or(bound, |belief| bound.min(belief.drill_until()))
    }

    /// Keeps a missing entry for a while if it may have lapsed in an outage of the catalog;
    /// returns whether it did.
    fn lapse(&mut self, now: Duration, key: &EntryKey) -> bool {
        let Some(known) = self.entries.get_mut(key) else { return false };
        if known.lapsed_by.is_some() {
            return true;
        }
        let Some(belief) = self.belief.as_mut().filter(|belief| belief.holds(now)) else {
            return false;
        };
        if known.live().is_none() || known.told_at >= belief.back_at {
            return false;
        }
        let is_longer = belief.count_lapse();
        known.lapsed_by = Some(belief.back_at);
        known.expires_at = Some(belief.until());
        if is_longer {
            let lapsed = self.entries.values_mut();
            for known in lapsed.filter(|known| known.lapsed_by == Some(belief.back_at)) {
                known.expires_at = Some(belief.until());
            }
        }
        true
    }

    /// Returns the addresses of the entries that have not lapsed, and when this daemon was last
    /// told that one was written; empty if no entry has lapsed.
    fn addresses_taken(&self) -> FxHashMap<SocketAddr, Duration> {
        let mut taken: FxHashMap<SocketAddr, Duration> = FxHashMap::default();
        if self.entries.values().all(|known| known.lapsed_by.is_none()) {
            return taken;
        }
        for known in self.entries.values().filter(|known| known.lapsed_by.is_none()) {
            let is_named = known.vm().is_some_and(|vm| self.is_named(&vm.service));
            if let Some(address) = known.upstream().filter(|_| is_named) {
                let told_at = taken.entry(address).or_default();
                *told_at = known.told_at.max(*told_at);
            }
        }
        taken
    }

    /// Removes an entry and remembers its instance as departed.
    fn depart(&mut self, now: Duration, key: &EntryKey) {
        self.departed.retain(|_, departed| departed.forget_at > now || departed.in_copy.is_some());
        let Some(known) = self.entries.shift_remove(key) else { return };
        let departed = DepartedInstance {
            start_ms: start_ms(&known.entry),
            forget_at: now + REMOVAL_LIFETIME,
            in_copy: None,
        };
        self.departed.insert(key.clone(), departed);
    }
}

/// Returns an older copy's entry, as leaving if the instance is known to leave.
fn keep_leaving(known: &Entry, copy: Entry) -> Entry {
    let is_leaving = matches!(known, Entry::Listed(vm) if vm.state == VmState::Leaving);
    match copy {
        Entry::Listed(vm) if is_leaving && is_same_start(known, &Entry::Listed(vm.clone())) => {
            Entry::Listed(Vm { state: VmState::Leaving, ..vm })
        }
        copy => copy,
    }
}
