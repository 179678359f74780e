//! Watches the platform for new versions, taking turns with other daemons.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use tokio::time::sleep;

use super::PlatformClient;
use super::document::DocumentKind;
use super::shared::Shared;
use super::sync_rounds::SyncRounds;
use super::turns::TURN_DURATION;
use super::turns::Turn;
use super::turns::Turns;
use crate::process::membership::Vm;
use crate::process::membership::VmState;
use crate::process::routing::Place;

/// Minimum delay before the next call after a received version, so that a burst of
/// changes or a platform that alternates between versions causes few calls.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest delay after a failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(500);
/// Longest delay after a failed call.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Duration of a watch without a deadline; `Duration::MAX` would overflow [`Instant`].
const UNBOUNDED_WATCH: Duration = Duration::from_secs(365 * 24 * 3600);

/// Task that watches the platform.
pub(crate) struct PlatformWatcher {
    pub(crate) shared: Arc<Shared>,
    pub(crate) rounds: Arc<SyncRounds>,
    pub(crate) client: PlatformClient,
    pub(crate) here: Place,
    /// Maximum random delay before the first call of the process.
    pub(crate) start_jitter: Duration,
    pub(crate) rng: ChaCha8Rng,
}

impl PlatformWatcher {
    /// Watches the platform and rests in turns; never returns.
    pub(crate) async fn run(mut self) {
        self.read_first_list().await;
        let mut finished = self.rounds.finished();
        // The sender outlives this task, so the wait cannot fail.
        let _ = finished.wait_for(|finished| *finished).await;
        let mut turns = Turns::new(self.fork_rng());
        loop {
            let has_source = self.has_update_source();
            match turns.next(self.zone_size(), has_source) {
                Turn::Watch(time) if has_source => self.watch_for(time).await,
                Turn::Watch(time) => self.watch_until_partnered(time).await,
                Turn::Rest(time) => self.rest_for(time, &mut turns).await,
            }
        }
    }

    /// Reads the first list of VMs from the platform, unless a peer that polls this
    /// daemon delivers it earlier.
    async fn read_first_list(&mut self) {
        let mut vms = self.shared.vms_tx.subscribe();
        let spread = self.start_jitter.mul_f64(self.rng.random_range(0.0..1.0));
        let rng = self.fork_rng();
        let read = async {
            sleep(spread).await;
            self.watch(DocumentKind::Vms, rng, Instant::now() + UNBOUNDED_WATCH).await;
        };
        tokio::select! {
            _ = vms.wait_for(Option::is_some) => {}
            () = read => {}
        }
    }

    async fn watch_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        let rules_rng = self.fork_rng();
        let vms_rng = self.fork_rng();
        let rules = self.watch(DocumentKind::Rules, rules_rng, end);
        let vms = self.watch(DocumentKind::Vms, vms_rng, end);
        tokio::join!(rules, vms);
    }

    /// Watches for `time`, but only until a partner can deliver updates instead.
    async fn watch_until_partnered(&mut self, time: Duration) {
        let shared = self.shared.clone();
        let partnered = async move {
            // The senders outlive this task, so neither wait can fail.
            let _ = shared.partners.subscribe().wait_for(|p| p.iter().any(Option::is_some)).await;
            let _ = shared.rules_tx.subscribe().wait_for(Option::is_some).await;
        };
        tokio::select! {
            () = self.watch_for(time) => {}
            () = partnered => {}
        }
    }

    async fn rest_for(&self, time: Duration, turns: &mut Turns) {
        let mut vms = self.shared.vms_tx.subscribe();
        tokio::select! {
            () = sleep(time) => {}
            () = self.wait_until_all_partners_lost() => {}
            _ = vms.changed() => turns.redraw_rest(),
        }
    }

    /// Watches one document until `end`.
    async fn watch(&self, kind: DocumentKind, mut rng: ChaCha8Rng, end: Instant) {
        let mut after = self.shared.known(kind).held.map_or(0, |held| held.number);
        let mut backoff = BACKOFF_MIN;
        while Instant::now() < end {
            let wait = end.saturating_duration_since(Instant::now()).min(TURN_DURATION);
            self.shared.counters.platform_calls.add_one();
            match self.client.watch(kind, after, wait).await {
                Ok(Some(document)) => {
                    after = document.id.number;
                    self.shared.apply_published(kind, document);
                    backoff = BACKOFF_MIN;
                    sleep(MIN_CALL_INTERVAL).await;
                }
                Ok(None) => backoff = BACKOFF_MIN,
                Err(_) => {
                    self.shared.counters.platform_failures.add_one();
                    sleep(backoff.mul_f64(rng.random_range(0.5..=1.0))).await;
                    backoff = (backoff * 2).min(BACKOFF_MAX);
                }
            }
        }
    }

    /// Returns whether the daemon has rules and at least one partner that delivers
    /// updates.
    fn has_update_source(&self) -> bool {
        let has_partner = self.shared.partners.borrow().iter().any(Option::is_some);
        has_partner && self.shared.rules_tx.borrow().is_some()
    }

    /// Waits until no slot has a responding partner.
    async fn wait_until_all_partners_lost(&self) {
        let mut partners = self.shared.partners.subscribe();
        if partners.wait_for(|partners| partners.iter().all(Option::is_none)).await.is_err() {
            pending::<()>().await;
        }
    }

    fn fork_rng(&mut self) -> ChaCha8Rng {
        ChaCha8Rng::from_rng(&mut self.rng)
    }

    fn zone_size(&self) -> usize {
        let vms = self.shared.vms_tx.borrow();
        let Some(list) = vms.as_deref() else { return 1 };
        let near = |vm: &&Vm| vm.zone == self.here.zone && vm.state == VmState::Live;
        list.vms.iter().filter(near).count()
    }
}
