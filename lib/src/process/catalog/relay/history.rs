//! Changes that a reader keeps for the daemons that poll it.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::process::catalog::CatalogError;
use crate::process::catalog::Change;
use crate::process::catalog::Entry;
use crate::process::catalog::EntryKey;
use crate::process::catalog::Published;
use crate::process::catalog::Revision;

/// Most changes that are kept. A follower that missed more reads the catalog again.
const CHANGES_MAX: usize = 4096;

/// One change as it is passed between daemons.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RelayedChange {
    /// A version of the policy, as published.
    #[serde(rename = "p")]
    Policy(Revision, Arc<str>),
    /// An entry was created or updated.
    #[serde(rename = "w")]
    Written(EntryKey, Revision, Entry),
    /// An entry was removed.
    #[serde(rename = "d")]
    Removed(EntryKey, Revision),
}

impl RelayedChange {
    /// Returns the change in the form in which daemons pass it on; `None` if it is a
    /// version that cannot be parsed, which nobody uses.
    pub fn of(change: &Change, revision: Revision) -> Option<Self> {
        match change {
            Change::Policy(Ok(published)) => Some(Self::Policy(revision, published.text.clone())),
            Change::Policy(Err(_)) => None,
            Change::Written(key, at, entry) => Some(Self::Written(key.clone(), *at, entry.clone())),
            Change::Removed(key, at) => Some(Self::Removed(key.clone(), *at)),
        }
    }

    /// Returns the change as the follower applies it; `read_policy` parses a version.
    pub fn into_change(
        self,
        read_policy: impl FnOnce(&str) -> Result<Published, CatalogError>,
    ) -> Change {
        match self {
            Self::Policy(_, text) => Change::Policy(read_policy(&text)),
            Self::Written(key, at, entry) => Change::Written(key, at, entry),
            Self::Removed(key, at) => Change::Removed(key, at),
        }
    }

    fn revision(&self) -> Revision {
        match self {
            Self::Policy(at, _) | Self::Written(_, at, _) | Self::Removed(_, at) => *at,
        }
    }
}

/// What a reader knows of the time after a revision.
#[derive(Clone, Debug, PartialEq)]
pub enum Since {
    /// All changes after the asked revision, up to the returned one.
    Changes(Vec<RelayedChange>, Revision),
    /// Some of the changes are not kept.
    Discarded,
    /// The asker knows of a later era than the history.
    Behind,
}

/// The latest changes of one topic, complete between two revisions.
#[derive(Debug, Default)]
pub struct History {
    /// Changes after this revision are kept.
    start: Revision,
    /// Revision up to which the changes are complete.
    end: Revision,
    changes: VecDeque<RelayedChange>,
    /// How many changes at the front make up all that there was at `start`, if they are
    /// kept. They serve followers of earlier eras.
    snapshot_len: usize,
}

impl History {
    /// Begins anew at a revision: what led to it is unknown.
    pub fn restart(&mut self, at: Revision) {
        self.changes.clear();
        self.snapshot_len = 0;
        self.start = at;
        self.end = at;
    }

    /// Begins anew with changes that make up all that there is at a revision, so that
    /// they serve a follower of any earlier revision.
    pub fn replace(&mut self, changes: Vec<RelayedChange>, at: Revision) {
        self.restart(Revision::default());
        self.extend(Revision::default(), changes, at);
    }

    /// Begins a new era with changes that make up all that there is at a revision.
    ///
    /// A follower of an earlier era needs all of them. One of the same era that is not as
    /// far must not get them, because they do not tell what was removed meanwhile.
    pub fn begin_era(&mut self, changes: Vec<RelayedChange>, at: Revision) {
        self.restart(at);
        self.snapshot_len = changes.len();
        self.changes.extend(changes);
    }

    /// Appends all changes after one revision up to another.
    ///
    /// If the daemon got some changes from another reader meanwhile, these are
    /// missing, and the history begins anew.
    pub fn extend(&mut self, after: Revision, changes: Vec<RelayedChange>, up_to: Revision) {
        if after > self.end {
            self.restart(after);
        }
        for change in changes {
            if change.revision() <= self.end {
                continue;
            }
            // A new version of the policy replaces all earlier ones.
            if matches!(change, RelayedChange::Policy(..)) {
                self.changes.retain(|kept| !matches!(kept, RelayedChange::Policy(..)));
            }
            self.changes.push_back(change);
        }
        while self.changes.len() > CHANGES_MAX.max(self.snapshot_len) {
            let Some(dropped) = self.changes.pop_front() else { break };
            self.start = self.start.max(dropped.revision());
            self.snapshot_len = 0;
        }
        self.end = self.end.max(up_to);
    }

    /// Returns the era that the history tells of.
    pub fn era(&self) -> u64 {
        self.end.era
    }

    /// Returns the changes after a revision.
    ///
    /// A follower that is ahead, because it polled another reader before, gets no
    /// changes and keeps its revision.
    pub fn since(&self, after: Revision) -> Since {
        if after.era > self.end.era {
            return Since::Behind;
        }
        let needs_snapshot = after.era < self.start.era;
        if after < self.start && !(needs_snapshot && self.snapshot_len > 0) {
            return Since::Discarded;
        }
        let newer = self.changes.iter().filter(|change| change.revision() > after);
        Since::Changes(newer.cloned().collect(), self.end.max(after))
    }
}
