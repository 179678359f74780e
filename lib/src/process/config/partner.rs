//! Asks one partner for news, and finds another when it fails.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use snafu::ResultExt as _;
use snafu::Snafu;
use tarpc::client;
use tarpc::client::RpcError;
use tarpc::tokio_serde::formats::Json;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use super::VersionId;
use super::document::DocumentKind;
use super::metered::Metered;
use super::offer::Offer;
use super::partners::Slot;
use super::partners::choose;
use super::rpc;
use super::rpc::ConfigPeerClient;
use super::rpc::Updates;
use super::rpc::WatchRequest;
use super::shared::Shared;
use super::sync_rounds::SyncRounds;
use crate::process::membership::VmList;
use crate::process::routing::Place;

/// Mean time that a question waits for news.
const MEAN_LONG_POLL: Duration = Duration::from_secs(20);
/// How much longer than the asked wait an answer may take.
const RESPONSE_MARGIN: Duration = Duration::from_secs(2);
/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time to fetch one text.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Shortest and longest wait before the next partner is tried.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Time between two tries to reach the first choice while another partner
/// stands in for it; a partition that heals is bridged that soon.
const FIRST_CHOICE_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Wait after news that could not be used, so that a peer with another
/// notion of what is valid is not asked in a tight loop.
const UNUSABLE_UPDATE_DELAY: Duration = Duration::from_millis(500);

/// A partner that cannot be asked.
#[derive(Debug, Snafu)]
pub(crate) enum PartnerError {
    #[snafu(display("cannot connect to {partner}"))]
    Connect { partner: SocketAddr, source: std::io::Error },
    #[snafu(display("{partner} does not answer"))]
    ConnectTimeout { partner: SocketAddr, source: tokio::time::error::Elapsed },
    #[snafu(display("the call failed"))]
    Call { source: RpcError },
}

/// What the tasks of all partners share.
#[derive(Debug)]
pub(crate) struct UpdateFetcher {
    pub(crate) shared: Arc<Shared>,
    here: Place,
    /// Where this daemon answers.
    control: SocketAddr,
    /// Held while a text is fetched, so that it comes from one partner only.
    fetch_lock: tokio::sync::Mutex<()>,
}

impl UpdateFetcher {
    /// Returns what the partners' tasks of a daemon share.
    pub(crate) fn new(shared: Arc<Shared>, here: Place, control: SocketAddr) -> Self {
        Self { shared, here, control, fetch_lock: tokio::sync::Mutex::default() }
    }

    /// Connects to a daemon.
    pub(crate) async fn connect(
        &self,
        partner: SocketAddr,
    ) -> Result<ConfigPeerClient, PartnerError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(partner)).await;
        let stream = stream.context(ConnectTimeoutSnafu { partner })?;
        let stream = stream.context(ConnectSnafu { partner })?;
        // A stream with delay still works.
        let _ = stream.set_nodelay(true);
        let stream = Metered::new(stream, self.shared.counters.clone());
        let transport = tarpc::serde_transport::new(rpc::frames(stream), Json::default());
        Ok(ConfigPeerClient::new(client::Config::default(), transport).spawn())
    }

    /// Asks for news and takes it.
    pub(crate) async fn request_updates(
        &self,
        client: &ConfigPeerClient,
        wait: Duration,
    ) -> Result<UpdateOutcome, PartnerError> {
        let request = WatchRequest {
            requester: self.control,
            wait_ms: wait.as_millis() as u32,
            rules: self.shared.known(DocumentKind::Rules),
            vms: self.shared.known(DocumentKind::Vms),
        };
        let cx = rpc::deadline(wait + RESPONSE_MARGIN);
        let answer = client.watch(cx, request).await.context(CallSnafu);
        let counters = &self.shared.counters;
        match &answer {
            Ok(_) => counters.peer_answers.add_one(),
            Err(_) => counters.peer_failures.add_one(),
        }
        self.apply_updates(client, answer?).await
    }

    async fn apply_updates(
        &self,
        client: &ConfigPeerClient,
        updates: Updates,
    ) -> Result<UpdateOutcome, PartnerError> {
        let Updates { rules, vms } = updates;
        let mut outcome = UpdateOutcome::NoUpdates;
        for (kind, offer) in [(DocumentKind::Vms, vms), (DocumentKind::Rules, rules)] {
            let Some(offer) = offer else { continue };
            let Some(id) = offer.id() else { return Ok(UpdateOutcome::Unusable) };
            self.apply_offer(client, kind, offer, id).await?;
            outcome = match self.shared.judge(kind, id).wanted() {
                true => return Ok(UpdateOutcome::Unusable),
                false => UpdateOutcome::Consumed,
            };
        }
        Ok(outcome)
    }

    async fn apply_offer(
        &self,
        client: &ConfigPeerClient,
        kind: DocumentKind,
        offer: Offer,
        id: VersionId,
    ) -> Result<(), PartnerError> {
        let wanted = || self.shared.judge(kind, id).wanted();
        if !wanted() || self.shared.apply_offer(kind, offer) {
            return Ok(());
        }
        let _fetch_guard = self.fetch_lock.lock().await;
        if !wanted() {
            return Ok(());
        }
        let bases = self.shared.bases(kind);
        if self.fetch_text(client, kind, bases).await? {
            return Ok(());
        }
        self.fetch_text(client, kind, Vec::new()).await?;
        Ok(())
    }

    async fn fetch_text(
        &self,
        client: &ConfigPeerClient,
        kind: DocumentKind,
        bases: Vec<VersionId>,
    ) -> Result<bool, PartnerError> {
        let cx = rpc::deadline(FETCH_TIMEOUT);
        let offer = client.fetch(cx, kind, bases).await.context(CallSnafu)?;
        if matches!(offer, Some(Offer::Text(..))) {
            self.shared.counters.whole_texts.add_one();
        }
        Ok(offer.is_some_and(|offer| self.shared.apply_offer(kind, offer)))
    }
}

/// What came of a question.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UpdateOutcome {
    /// The wait ended without news.
    NoUpdates,
    /// The news was taken, or another partner was quicker with it.
    Consumed,
    /// The news could not be used.
    Unusable,
}

/// The task that keeps one slot filled.
pub(crate) struct PartnerTask {
    pub(crate) fetcher: Arc<UpdateFetcher>,
    pub(crate) slot: Slot,
    pub(crate) rounds: Arc<SyncRounds>,
    pub(crate) rng: ChaCha8Rng,
    attempt: usize,
    backoff: Duration,
    vms: watch::Receiver<Option<Arc<VmList>>>,
}

impl PartnerTask {
    /// Returns the task of a slot that has no partner yet.
    pub(crate) fn new(
        fetcher: Arc<UpdateFetcher>,
        slot: Slot,
        rounds: Arc<SyncRounds>,
        rng: ChaCha8Rng,
    ) -> Self {
        let vms = fetcher.shared.vms_tx.subscribe();
        Self { fetcher, slot, rounds, rng, attempt: 0, backoff: BACKOFF_MIN, vms }
    }

    /// Asks partners for as long as it is polled.
    pub(crate) async fn run(mut self) {
        self.rounds.wait_until_polling_allowed().await;
        loop {
            let Some(partner) = self.choose() else {
                self.wait_for_candidate().await;
                continue;
            };
            let reassigned = self.poll_partner(partner).await.is_ok();
            self.set_partner(None);
            if reassigned {
                continue;
            }
            self.attempt += 1;
            sleep(self.backoff.mul_f64(self.rng.random_range(0.5..=1.0))).await;
            self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
        }
    }

    /// Waits until there may be a candidate.
    async fn wait_for_candidate(&mut self) {
        let mut last_requester = self.fetcher.shared.last_requester.subscribe();
        let listed = self.vms.borrow().is_some();
        let mut epoch = self.rounds.epoch();
        if listed {
            self.rounds.mark_polled(self.slot, *epoch.borrow_and_update());
        }
        // The senders outlive this task, so no wait can fail.
        tokio::select! {
            _ = self.vms.changed() => {}
            _ = last_requester.changed(), if !listed => {}
            _ = epoch.changed() => {}
        }
    }

    /// Returns the partner that the slot should have: by the list, or before
    /// there is one the daemon that last asked this one.
    fn choose(&mut self) -> Option<SocketAddr> {
        let list = self.vms.borrow_and_update();
        match list.as_deref() {
            Some(list) => {
                let vm = choose(&self.fetcher.here, list, self.slot, self.attempt)?;
                Some(vm.control)
            }
            None if self.slot == Slot::Ring => *self.fetcher.shared.last_requester.borrow(),
            None => None,
        }
    }

    /// Returns the partner that the slot has if nothing fails.
    fn first_choice(&self) -> Option<SocketAddr> {
        let list = self.vms.borrow();
        choose(&self.fetcher.here, list.as_deref()?, self.slot, 0).map(|vm| vm.control)
    }

    /// Asks a partner until it fails, or until another is the right one for the slot.
    async fn poll_partner(&mut self, partner: SocketAddr) -> Result<(), PartnerError> {
        let fetcher = self.fetcher.clone();
        let client = fetcher.connect(partner).await?;
        let interval = FIRST_CHOICE_PROBE_INTERVAL.mul_f64(self.rng.random_range(0.75..1.25));
        let first_choice = self.first_choice().filter(|&first| first != partner);
        let first_choice_back = until_reachable(&fetcher, first_choice, interval);
        tokio::pin!(first_choice_back);
        let mut epoch = self.rounds.epoch();
        let mut synced_epoch = None;
        loop {
            let current = *epoch.borrow_and_update();
            let wait = match synced_epoch == Some(current) {
                true => MEAN_LONG_POLL.mul_f64(self.rng.random_range(0.75..1.25)),
                false => Duration::ZERO,
            };
            let answer = fetcher.request_updates(&client, wait);
            tokio::pin!(answer);
            let answered = loop {
                tokio::select! {
                    answered = &mut answer => break Some(answered?),
                    _ = epoch.changed() => break None,
                    _ = self.vms.changed() => {
                        if self.choose() != Some(partner) {
                            return Ok(());
                        }
                    }
                    () = &mut first_choice_back => {
                        self.attempt = 0;
                        return Ok(());
                    }
                }
            };
            let Some(answered) = answered else { continue };
            self.backoff = BACKOFF_MIN;
            self.set_partner(Some(partner));
            self.rounds.mark_polled(self.slot, current);
            synced_epoch = Some(current);
            if answered == UpdateOutcome::Unusable {
                sleep(UNUSABLE_UPDATE_DELAY).await;
            }
        }
    }

    fn set_partner(&self, partner: Option<SocketAddr>) {
        let slot = self.slot as usize;
        self.fetcher.shared.partners.send_if_modified(|partners| {
            let changed = partners[slot] != partner;
            partners[slot] = partner;
            changed
        });
    }
}

/// Waits until a daemon answers; for ever if there is none to wait for.
async fn until_reachable(fetcher: &UpdateFetcher, daemon: Option<SocketAddr>, interval: Duration) {
    let Some(daemon) = daemon else { return pending().await };
    loop {
        sleep(interval).await;
        let Ok(client) = fetcher.connect(daemon).await else { continue };
        if fetcher.request_updates(&client, Duration::ZERO).await.is_ok() {
            return;
        }
    }
}
