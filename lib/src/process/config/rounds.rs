//! Rounds of asking every partner, after which a daemon may serve.

use std::future::pending;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use super::Fault;
use super::partners::Slot;
use super::shared::Shared;

/// Longest time that a daemon waits for its partners before it serves with what
/// it holds.
const ROUND_PATIENCE: Duration = Duration::from_secs(2);

/// The round under way, and which slots have been asked in it.
///
/// A round begins when the daemon starts and after each pause, when all that it
/// holds may be out of date.
#[derive(Debug)]
pub(crate) struct Rounds {
    epoch: watch::Sender<u64>,
    done: watch::Sender<[u64; Slot::ALL.len()]>,
    over: watch::Sender<bool>,
    ready: watch::Sender<bool>,
    fault: Option<Fault>,
}

impl Rounds {
    /// Returns the first round.
    pub(crate) fn new(fault: Option<Fault>) -> Self {
        Self {
            fault,
            epoch: watch::Sender::new(1),
            done: watch::Sender::new(Default::default()),
            over: watch::Sender::new(false),
            ready: watch::Sender::new(false),
        }
    }

    /// Begins another round; until it is over the daemon is not ready.
    pub(crate) fn begin(&self) {
        self.ready.send_replace(false);
        self.over.send_replace(false);
        self.epoch.send_modify(|epoch| *epoch += 1);
    }

    /// Returns the number of the round under way.
    pub(crate) fn epoch(&self) -> watch::Receiver<u64> {
        self.epoch.subscribe()
    }

    /// Returns whether the round is over: the partners answered, or had their time.
    pub(crate) fn over(&self) -> watch::Receiver<bool> {
        self.over.subscribe()
    }

    /// Returns whether the daemon holds the newest versions it could hear of.
    pub(crate) fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Notes that a slot's partner was asked in a round, or that it has none.
    pub(crate) fn done(&self, slot: Slot, epoch: u64) {
        self.done.send_modify(|done| done[slot as usize] = epoch);
    }

    /// Waits until peers may be asked: at once, or never by a deliberate defect.
    pub(crate) async fn may_ask(&self) {
        if self.fault == Some(Fault::AskNobody) {
            pending::<()>().await;
        }
    }

    /// Follows the rounds for as long as it is polled.
    pub(crate) async fn run(&self, shared: &Shared) {
        let mut epochs = self.epoch.subscribe();
        loop {
            let epoch = *epochs.borrow_and_update();
            tokio::select! {
                () = self.follow(shared, epoch) => {
                    // The sender is owned by `self`, so the wait cannot fail.
                    let _ = epochs.changed().await;
                }
                _ = epochs.changed() => {}
            }
            epochs.mark_changed();
        }
    }

    /// Sees one round to its end; no wait on a channel can fail, as `self` and
    /// `shared` own the senders.
    async fn follow(&self, shared: &Shared, epoch: u64) {
        let _ = shared.vms_tx.subscribe().wait_for(Option::is_some).await;
        let mut done = self.done.subscribe();
        let all_asked = done.wait_for(|done| done.iter().all(|&asked| asked >= epoch));
        if self.fault != Some(Fault::AskNobody) {
            let _ = timeout(ROUND_PATIENCE, all_asked).await;
        }
        self.over.send_replace(true);
        let _ = shared.rules_tx.subscribe().wait_for(Option::is_some).await;
        self.ready.send_replace(true);
    }
}
