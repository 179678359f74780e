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
use crate::process::catalog::ChangeBatch;
use crate::process::catalog::EntryKey;
use crate::process::catalog::Revision;
use crate::process::catalog::Topic;
use crate::process::catalog::Watermark;
use crate::process::clock::boot_time;

/// Longest time that one watch call waits for a change. It is longer than that of
/// readers, because a lost answer is made good by the reader.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// The entry to watch apart.
#[derive(Clone, Debug)]
pub(super) struct LocalKey {
    pub(super) key: EntryKey,
    /// Revision after which to begin.
    pub(super) after: Revision,
    /// Time up to which all changes of the entry are known.
    pub(super) watermark: Watermark,
}

/// Changes of the entry that is watched apart.
pub(super) struct LocalChanges {
    pub(super) changes: Vec<Change>,
    /// Earliest time at which they may have been confirmed.
    pub(super) since: Duration,
}

/// Watches one entry and passes its changes to the follower of all entries.
pub(super) struct LocalEntryFollower {
    pub(super) calls: CatalogCalls,
    /// The entry to watch; `None` while there is none or this daemon reads all.
    pub(super) key: watch::Receiver<Option<LocalKey>>,
    pub(super) changes: mpsc::Sender<LocalChanges>,
}

impl LocalEntryFollower {
    /// Watches the entry that is set; never returns while the daemon runs.
    pub(super) async fn run(mut self) {
        loop {
            let current = self.key.borrow_and_update().clone();
            let ended = match current {
                Some(local) => {
                    let mut key_rx = self.key.clone();
                    tokio::select! {
                        () = self.watch(local) => false,
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
    async fn watch(&mut self, local: LocalKey) {
        let LocalKey { key, mut after, mut watermark } = local;
        let catalog = self.calls.catalog();
        let mut must_read = false;
        loop {
            let wait = match must_read {
                true => Duration::ZERO,
                false => self.calls.watch_wait(WATCH_WAIT),
            };
            let call = match must_read {
                true => catalog.entry(&key),
                false => catalog.watch_entry(&key, after, wait),
            };
            let asked_at = boot_time();
            match self.calls.finish(Topic::Vms, wait, call).await {
                Ok(ChangeBatch { changes, revision }) => {
                    let since = match must_read {
                        true => watermark.record_read(asked_at),
                        false => watermark.record_watch(asked_at, boot_time()),
                    };
                    must_read = false;
                    after = revision;
                    let local = LocalChanges { changes, since };
                    if !local.changes.is_empty() && self.changes.send(local).await.is_err() {
                        return;
                    }
                }
                Err(err) if err.requires_read() => {
                    watermark.record_discarded(asked_at, boot_time());
                    must_read = true;
                }
                Err(_) => self.calls.back_off().await,
            }
        }
    }
}
