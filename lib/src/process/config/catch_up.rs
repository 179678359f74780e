//! Catches up with a version that a peer's request named.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::sleep;

use super::document::DocumentKind;
use super::partner::UpdateFetcher;

/// How long the partners may take to bring the version themselves.
const GRACE: Duration = Duration::from_millis(300);
/// Daemons asked for one version; one that none of them has may be invalid or
/// made up.
const DAEMONS_ASKED: usize = 3;
/// Shortest time between two catch-ups.
const INTERVAL: Duration = Duration::from_secs(1);

/// The task that asks daemons at random once a newer version was heard of than
/// the partners brought; it never asks the platform.
pub(crate) struct CatchUp {
    pub(crate) fetcher: Arc<UpdateFetcher>,
    /// The newest version heard of.
    pub(crate) heard: watch::Receiver<u64>,
    pub(crate) rng: ChaCha8Rng,
}

impl CatchUp {
    /// Follows what is heard of for as long as it is polled.
    pub(crate) async fn run(mut self) {
        while self.heard.changed().await.is_ok() {
            let number = *self.heard.borrow_and_update();
            sleep(GRACE).await;
            for _ in 0..DAEMONS_ASKED {
                if self.holds(number) {
                    break;
                }
                self.ask_one().await;
            }
            sleep(INTERVAL).await;
        }
    }

    fn holds(&self, number: u64) -> bool {
        let known = self.fetcher.shared.known(DocumentKind::Rules);
        known.held.is_some_and(|held| held.number >= number)
    }

    async fn ask_one(&mut self) {
        let list = self.fetcher.shared.vms_tx.borrow().clone();
        let Some(list) = list.filter(|list| !list.vms.is_empty()) else { return };
        let chosen = &list.vms[self.rng.random_range(0..list.vms.len())];
        // A daemon that cannot be asked is no loss: another is asked next.
        if let Ok(client) = self.fetcher.connect(chosen.control).await {
            let _ = self.fetcher.request_updates(&client, Duration::ZERO).await;
        }
    }
}
