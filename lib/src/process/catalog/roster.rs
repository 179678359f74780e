//! Builds the list of VMs from the platform's entries.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use super::Change;
use super::Entry;
use super::EntryKey;
use super::Page;
use super::Revision;
use crate::process::membership::Vm;
use crate::process::membership::VmList;

/// The latest known entries of a catalog.
///
/// Each entry has its own revision, since the pages of one read are not an atomic
/// snapshot and a change may arrive twice.
#[derive(Debug, Default)]
pub struct Roster {
    entries: IndexMap<EntryKey, (Revision, Entry), FxBuildHasher>,
    /// Removed entries whose removal may be known before earlier changes, because the
    /// local upstream's entry is watched apart.
    removed: IndexMap<EntryKey, Revision, FxBuildHasher>,
    /// Version of the last list built.
    version: u64,
}

impl Roster {
    /// Replaces all entries by the pages of one read.
    pub fn replace(&mut self, pages: Vec<Page>) {
        self.entries.clear();
        self.removed.clear();
        for (key, revision, entry) in pages.into_iter().flat_map(|page| page.entries) {
            self.write(key, revision, entry);
        }
    }

    /// Applies a change; returns whether the list may differ.
    pub fn apply(&mut self, change: Change) -> bool {
        match change {
            Change::Policy(_) => false,
            Change::Written(key, revision, entry) => self.write(key, revision, entry),
            Change::Removed(key, revision) => self.remove(&key, revision),
        }
    }

    /// Forgets removals up to a revision, up to which all changes were applied.
    pub fn forget_removals(&mut self, complete: Revision) {
        self.removed.retain(|_, at| *at > complete);
    }

    /// Returns the key of the entry whose upstream listens on an address. Of several,
    /// it is the one that started last.
    pub fn key_at(&self, upstream: SocketAddr) -> Option<EntryKey> {
        let at_address = self.entries.iter().filter_map(|(key, (_, entry))| match entry {
            Entry::Listed(vm) => {
                vm.upstream.filter(|facts| facts.address == upstream).map(|facts| (facts, key))
            }
            Entry::Unusable(_) => None,
        });
        at_address.max_by_key(|(facts, _)| facts.start_ms).map(|(_, key)| key.clone())
    }

    /// Builds the list of VMs, with a version one higher than the last.
    pub fn build_list(&mut self) -> VmList {
        self.version += 1;
        let vms = self.entries.values().filter_map(|(_, entry)| match entry {
            Entry::Listed(vm) => Some(vm),
            Entry::Unusable(_) => None,
        });
        VmList { version: self.version, vms: vms.cloned().collect() }
    }

    /// Gives another daemon's list a version one higher than the last list here.
    pub fn renumber(&mut self, list: VmList) -> VmList {
        self.version += 1;
        VmList { version: self.version, ..list }
    }

    /// Returns the VMs of all usable entries.
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.entries.values().filter_map(|(_, entry)| match entry {
            Entry::Listed(vm) => Some(vm),
            Entry::Unusable(_) => None,
        })
    }

    fn write(&mut self, key: EntryKey, revision: Revision, entry: Entry) -> bool {
        if self.removed.get(&key).is_some_and(|removed| *removed >= revision) {
            return false;
        }
        let current = self.entries.get(&key);
        if current.is_some_and(|(current, _)| *current >= revision) {
            return false;
        }
        let differs = current.is_none_or(|(_, current)| *current != entry);
        self.entries.insert(key, (revision, entry));
        differs
    }

    fn remove(&mut self, key: &EntryKey, revision: Revision) -> bool {
        if self.entries.get(key).is_some_and(|(current, _)| *current >= revision) {
            return false;
        }
        self.removed.insert(key.clone(), revision);
        self.entries.shift_remove(key).is_some()
    }
}
