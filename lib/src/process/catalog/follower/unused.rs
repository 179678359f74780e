//! Reports the entries that name no instance to use.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use crate::process::catalog::EntryKey;
use crate::process::catalog::Revision;
use crate::process::catalog::Roster;
use crate::process::config::ConfigCounters;
use crate::process::log;
use crate::process::log::StateChange;

/// Most lines in one [`LINES_WINDOW`]; another writer may write at any rate.
const LINES_MAX: u32 = 64;
const LINES_WINDOW: Duration = Duration::from_secs(60);

/// The entries that name no instance to use, as far as they were reported.
pub(super) struct UnusedEntries {
    counters: Arc<ConfigCounters>,
    reported: IndexMap<EntryKey, Revision, FxBuildHasher>,
    window_began_at: Duration,
    lines: u32,
}

impl UnusedEntries {
    /// Creates a record of no entry.
    pub(super) fn new(counters: Arc<ConfigCounters>) -> Self {
        let reported = IndexMap::default();
        Self { counters, reported, window_began_at: Duration::ZERO, lines: 0 }
    }

    /// Counts and logs the entries that were written since they were last reported.
    pub(super) fn report(&mut self, now: Duration, roster: &Roster) {
        if now.saturating_sub(self.window_began_at) >= LINES_WINDOW {
            (self.window_began_at, self.lines) = (now, 0);
        }
        let mut unused = IndexMap::default();
        for (key, revision, reason) in roster.unused() {
            if self.reported.get(key) != Some(&revision) {
                self.counters.entries_unused.add_one();
                self.lines += 1;
                if self.lines <= LINES_MAX {
                    let reason = reason.to_string();
                    log::write(&StateChange::EntryUnusable { key: key.clone(), reason });
                }
            }
            unused.insert(key.clone(), revision);
        }
        self.reported = unused;
    }
}
