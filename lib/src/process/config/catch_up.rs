//! Fetches a version that a peer's request mentioned and this daemon lacks.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::sleep;

use super::document::DocumentKind;
use super::partner::UpdateFetcher;

/// Time left to the partners to deliver the version before other daemons are asked.
const PARTNER_GRACE: Duration = Duration::from_millis(300);
/// Most daemons asked for one version. A version that none of them holds may be
/// invalid, or may not exist.
const MAX_DAEMONS_ASKED: usize = 3;
/// Minimum delay between two catch-up attempts.
const MIN_CATCH_UP_INTERVAL: Duration = Duration::from_secs(1);

/// Task that asks randomly chosen daemons for updates when a peer has reported a
/// version that the partners have not delivered. It never calls the platform.
pub(crate) struct CatchUpTask {
    pub(crate) fetcher: Arc<UpdateFetcher>,
    /// Newest rules version that any peer has reported.
    pub(crate) newest_reported: watch::Receiver<u64>,
    pub(crate) rng: ChaCha8Rng,
}

impl CatchUpTask {
    /// Catches up with each newly reported version; ends when the sender is dropped.
    pub(crate) async fn run(mut self) {
        while self.newest_reported.changed().await.is_ok() {
            let number = *self.newest_reported.borrow_and_update();
            sleep(PARTNER_GRACE).await;
            for _ in 0..MAX_DAEMONS_ASKED {
                if self.holds(number) {
                    break;
                }
                self.ask_random_daemon().await;
            }
            sleep(MIN_CATCH_UP_INTERVAL).await;
        }
    }

    fn holds(&self, number: u64) -> bool {
        let known = self.fetcher.shared.known(DocumentKind::Rules);
        known.held.is_some_and(|held| held.number >= number)
    }

    async fn ask_random_daemon(&mut self) {
        let list = self.fetcher.shared.vms_tx.borrow().clone();
        let Some(list) = list.filter(|list| !list.vms.is_empty()) else { return };
        let chosen = &list.vms[self.rng.random_range(0..list.vms.len())];
        // A failed request needs no handling: the caller tries another daemon.
        if let Ok(client) = self.fetcher.connect(chosen.control).await {
            let _ = self.fetcher.request_updates(&client, Duration::ZERO).await;
        }
    }
}
