//! Builds the list of VMs from the platform's entries.

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
    /// Version of the last list built.
    version: u64,
}

impl Roster {
    /// Replaces all entries by the pages of one read.
    pub fn replace(&mut self, pages: Vec<Page>) {
        self.entries.clear();
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
        let current = self.entries.get(&key);
        if current.is_some_and(|(current, _)| *current >= revision) {
            return false;
        }
        let differs = current.is_none_or(|(_, current)| *current != entry);
        self.entries.insert(key, (revision, entry));
        differs
    }

    fn remove(&mut self, key: &EntryKey, revision: Revision) -> bool {
        let is_later = self.entries.get(key).is_some_and(|(current, _)| *current < revision);
        is_later && self.entries.shift_remove(key).is_some()
    }
}
