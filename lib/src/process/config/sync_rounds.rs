//! Rounds of polling all partners, after which a daemon may serve requests.

use std::future::pending;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use super::Fault;
use super::partners::Slot;
use super::shared::Shared;

/// Longest time that a daemon waits for its partners before it serves with the
/// versions that it already holds.
const ROUND_TIMEOUT: Duration = Duration::from_secs(2);

/// The current sync round, and the slots whose partners were polled in it.
///
/// A round begins when the daemon starts and after each pause of the process,
/// because the versions in force may be out of date then.
#[derive(Debug)]
pub(crate) struct SyncRounds {
    epoch: watch::Sender<u64>,
    last_polled_epoch: watch::Sender<[u64; Slot::ALL.len()]>,
    finished: watch::Sender<bool>,
    ready: watch::Sender<bool>,
    fault: Option<Fault>,
}

impl SyncRounds {
    /// Starts the first round.
    pub(crate) fn new(fault: Option<Fault>) -> Self {
        Self {
            fault,
            epoch: watch::Sender::new(1),
            last_polled_epoch: watch::Sender::new(Default::default()),
            finished: watch::Sender::new(false),
            ready: watch::Sender::new(false),
        }
    }

    /// Begins a new round; the daemon is not ready until the round is finished.
    pub(crate) fn begin(&self) {
        self.ready.send_replace(false);
        self.finished.send_replace(false);
        self.epoch.send_modify(|epoch| *epoch += 1);
    }

    /// Subscribes to the number of the current round.
    pub(crate) fn epoch(&self) -> watch::Receiver<u64> {
        self.epoch.subscribe()
    }

    /// Subscribes to whether the round is finished: all partners were polled, or the
    /// timeout has passed.
    pub(crate) fn finished(&self) -> watch::Receiver<bool> {
        self.finished.subscribe()
    }

    /// Subscribes to whether the daemon holds the newest versions that it could
    /// obtain.
    pub(crate) fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Records that a slot's partner was polled in the given round, or that the slot
    /// has no candidate.
    pub(crate) fn mark_polled(&self, slot: Slot, epoch: u64) {
        self.last_polled_epoch.send_modify(|polled| polled[slot as usize] = epoch);
    }

    /// Returns at once, or never if the injected fault forbids polling peers.
    pub(crate) async fn wait_until_polling_allowed(&self) {
        if self.fault == Some(Fault::AskNobody) {
            pending::<()>().await;
        }
    }

    /// Runs one round after another; never returns.
    pub(crate) async fn run(&self, shared: &Shared) {
        let mut epochs = self.epoch.subscribe();
        loop {
            let epoch = *epochs.borrow_and_update();
            tokio::select! {
                () = self.run_one(shared, epoch) => {
                    // The sender is owned by `self`, so the wait cannot fail.
                    let _ = epochs.changed().await;
                }
                _ = epochs.changed() => {}
            }
            epochs.mark_changed();
        }
    }

    /// Waits for one round to finish and for the first rules, then sets the daemon
    /// ready. No wait on a channel can fail, as `self` and `shared` own the senders.
    async fn run_one(&self, shared: &Shared, epoch: u64) {
        let _ = shared.vms_tx.subscribe().wait_for(Option::is_some).await;
        let mut polled = self.last_polled_epoch.subscribe();
        let all_polled = polled.wait_for(|polled| polled.iter().all(|&last| last >= epoch));
        if self.fault != Some(Fault::AskNobody) {
            let _ = timeout(ROUND_TIMEOUT, all_polled).await;
        }
        self.finished.send_replace(true);
        let _ = shared.rules_tx.subscribe().wait_for(Option::is_some).await;
        self.ready.send_replace(true);
    }
}
