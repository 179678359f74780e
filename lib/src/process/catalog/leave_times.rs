//! Records since when instances have been leaving, as far as the catalog tells.

use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;

use crate::process::InstanceId;

/// Most instances that are remembered. Those that used one address long ago get no requests.
const INSTANCES_MAX: usize = 16;

/// How a daemon learned of a change in the catalog.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LearnedBy {
    /// A read of all entries.
    Read,
    /// The catalog answered a call that waits for changes of all entries.
    Watch,
    /// The catalog answered a call that waits for changes of the local upstream's entry.
    LocalEntry,
    /// Another daemon, which reads the catalog, told it.
    Reader,
    /// The time is over for which an entry was believed that the catalog no longer had.
    Expiry,
}

impl fmt::Display for LearnedBy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Read => "read",
            Self::Watch => "watch",
            Self::LocalEntry => "local-entry",
            Self::Reader => "reader",
            Self::Expiry => "expiry",
        })
    }
}

/// When changes were confirmed at the earliest that a daemon has just learned, and how it did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct News {
    /// Earliest time of the catalog's confirmation, by [`crate::process::clock::boot_time`];
    /// zero if nothing is known of it.
    pub since: Duration,
    /// How the daemon learned of the changes.
    pub by: LearnedBy,
}

/// The earliest times at which instances of the local upstream's address may have left, by
/// [`crate::process::clock::boot_time`].
#[derive(Debug, Default)]
pub struct LeaveTimes {
    since: IndexMap<InstanceId, Duration>,
}

impl LeaveTimes {
    /// Records that an instance is listed as leaving, or is no longer listed.
    pub fn record(&mut self, instance: &InstanceId, since: Duration) {
        self.since.insert(instance.clone(), since);
        let excess = self.since.len().saturating_sub(INSTANCES_MAX);
        self.since.drain(..excess);
    }

    /// Records that an instance is listed as live.
    pub fn forget(&mut self, instance: &InstanceId) {
        self.since.shift_remove(instance);
    }

    /// Returns the earliest time at which an instance may have left; `None` if no list has told
    /// that it left.
    pub fn since(&self, instance: &InstanceId) -> Option<Duration> {
        self.since.get(instance).copied()
    }
}
