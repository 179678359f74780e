//! The upstreams that the platform's entries name.

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use super::Change;
use super::Entry;
use super::EntryKey;
use super::Page;
use super::Revision;
use crate::process::membership::Vm;
use crate::process::membership::VmList;

/// The entries last heard of.
///
/// Each key is taken at its own revision, since the pages of one reading are no
/// snapshot and a change may be heard of twice.
#[derive(Debug, Default)]
pub struct Roster {
    entries: IndexMap<EntryKey, (Revision, Entry), FxBuildHasher>,
    /// Number of the last list made.
    number: u64,
}

impl Roster {
    /// Takes in all pages of one reading, in place of what was held.
    pub fn replace(&mut self, pages: Vec<Page>) {
        self.entries.clear();
        for (key, revision, entry) in pages.into_iter().flat_map(|page| page.entries) {
            self.write(key, revision, entry);
        }
    }

    /// Takes in a change; returns whether the list may differ.
    pub fn change(&mut self, change: Change) -> bool {
        match change {
            Change::Policy(_) => false,
            Change::Written(key, revision, entry) => self.write(key, revision, entry),
            Change::Removed(key, revision) => self.remove(&key, revision),
        }
    }

    /// Returns the list that the entries make, numbered after the one before.
    pub fn list(&mut self) -> VmList {
        self.number += 1;
        let vms = self.entries.values().filter_map(|(_, entry)| match entry {
            Entry::Listed(vm) => Some(vm),
            Entry::Unusable(_) => None,
        });
        VmList { version: self.number, vms: vms.cloned().collect() }
    }

    /// Numbers another daemon's list after the ones made here.
    pub fn renumber(&mut self, list: VmList) -> VmList {
        self.number += 1;
        VmList { version: self.number, ..list }
    }

    /// Returns the upstreams that the entries name.
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.entries.values().filter_map(|(_, entry)| match entry {
            Entry::Listed(vm) => Some(vm),
            Entry::Unusable(_) => None,
        })
    }

    fn write(&mut self, key: EntryKey, revision: Revision, entry: Entry) -> bool {
        let held = self.entries.get(&key);
        if held.is_some_and(|(held, _)| *held >= revision) {
            return false;
        }
        let differs = held.is_none_or(|(_, held)| *held != entry);
        self.entries.insert(key, (revision, entry));
        differs
    }

    fn remove(&mut self, key: &EntryKey, revision: Revision) -> bool {
        let is_later = self.entries.get(key).is_some_and(|(held, _)| *held < revision);
        is_later && self.entries.shift_remove(key).is_some()
    }
}
