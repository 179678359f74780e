//! Watches the entry of the local upstream apart from all others.
//!
//! This daemon is the only way to its upstream. When the upstream leaves, the daemon
//! must refuse new work within seconds, also while its reader is cut off from the
//! catalog. A follower therefore reads this one entry itself.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;

use super::calls::CatalogCalls;
use crate::process::catalog::Change;
use crate::process::catalog::EntryKey;
use crate::process::catalog::Revision;
use crate::process::catalog::Topic;

/// Longest time that one watch call waits for a change. It is longer than that of
/// readers, because a lost answer is made good by the reader.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// The entry to watch, and the revision after which to begin.
pub(super) type LocalKey = (EntryKey, Revision);

/// Watches one entry and passes its changes to the follower of all entries.
pub(super) struct LocalEntryFollower {
    pub(super) calls: CatalogCalls,
    /// The entry to watch; `None` while there is none or this daemon reads all.
    pub(super) key: watch::Receiver<Option<LocalKey>>,
    pub(super) changes: mpsc::Sender<Vec<Change>>,
}

impl LocalEntryFollower {
    /// Watches the entry that is set; never returns while the daemon runs.
    pub(super) async fn run(mut self) {
        loop {
            let current = self.key.borrow_and_update().clone();
            let ended = match current {
                Some((key, after)) => {
                    let mut key_rx = self.key.clone();
                    tokio::select! {
                        () = self.watch(&key, after) => false,
                        changed = key_rx.changed() => changed.is_err(),
                    }
                }
                None => self.key.changed().await.is_err(),
            };
            if ended {
                return;
            }
        }
    }

    /// Watches an entry until the receiver of its changes is gone.
    async fn watch(&mut self, key: &EntryKey, mut after: Revision) {
        let catalog = self.calls.catalog();
        let mut must_read = false;
        loop {
            let wait = match must_read {
                true => Duration::ZERO,
                false => self.calls.watch_wait(WATCH_WAIT),
            };
            let call = match must_read {
                true => catalog.entry(key),
                false => catalog.watch_entry(key, after, wait),
            };
            match self.calls.finish(Topic::Vms, wait, call).await {
                Ok(batch) => {
                    must_read = false;
                    after = batch.revision;
                    if !batch.changes.is_empty() && self.changes.send(batch.changes).await.is_err()
                    {
                        return;
                    }
                }
                Err(err) if err.requires_read() => must_read = true,
                Err(_) => self.calls.back_off().await,
            }
        }
    }
}
