//! Polls one partner for updates, and selects another when it fails.

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

/// Mean time that a watch request waits for an update.
const MEAN_LONG_POLL: Duration = Duration::from_secs(20);
/// Time allowed for a response beyond the requested wait.
const RESPONSE_MARGIN: Duration = Duration::from_secs(2);
/// Timeout for connecting to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for fetching one text.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Shortest delay before the next candidate is tried.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Longest delay before the next candidate is tried.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Mean time between attempts to reach the first choice while another partner
/// substitutes for it. It determines how long the two sides of a healed network
/// partition stay unconnected.
const FIRST_CHOICE_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Delay after an unusable update, so that a peer which considers other versions
/// valid is not polled in a tight loop.
const UNUSABLE_UPDATE_DELAY: Duration = Duration::from_millis(500);

/// Failure of a call to a partner.
#[derive(Debug, Snafu)]
pub(crate) enum PartnerError {
    #[snafu(display("cannot connect to {partner}"))]
    Connect { partner: SocketAddr, source: std::io::Error },
    #[snafu(display("timed out connecting to {partner}"))]
    ConnectTimeout { partner: SocketAddr, source: tokio::time::error::Elapsed },
    #[snafu(display("remote procedure call failed"))]
    Call { source: RpcError },
}

/// Client of the other daemons: requests updates and applies them. Shared by all
/// tasks of a daemon that call its peers.
#[derive(Debug)]
pub(crate) struct UpdateFetcher {
    pub(crate) shared: Arc<Shared>,
    here: Place,
    /// Control address of this daemon.
    control: SocketAddr,
    /// Locked while a text is fetched, so that two partners do not send the same one.
    fetch_lock: tokio::sync::Mutex<()>,
}

impl UpdateFetcher {
    /// Creates the client of the daemon at `here`, with the control address `control`.
    pub(crate) fn new(shared: Arc<Shared>, here: Place, control: SocketAddr) -> Self {
        Self { shared, here, control, fetch_lock: tokio::sync::Mutex::default() }
    }

    /// Connects to the control address of a daemon.
    pub(crate) async fn connect(
        &self,
        partner: SocketAddr,
    ) -> Result<ConfigPeerClient, PartnerError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(partner)).await;
        let stream = stream.context(ConnectTimeoutSnafu { partner })?;
        let stream = stream.context(ConnectSnafu { partner })?;
        // Best effort: the connection also works with Nagle's algorithm.
        let _ = stream.set_nodelay(true);
        let stream = Metered::new(stream, self.shared.counters.clone());
        let transport = tarpc::serde_transport::new(rpc::framed(stream), Json::default());
        Ok(ConfigPeerClient::new(client::Config::default(), transport).spawn())
    }

    /// Requests updates, waits up to `wait` for one, and applies what is received.
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
        let cx = rpc::context_with_timeout(wait + RESPONSE_MARGIN);
        let response = client.watch(cx, request).await.context(CallSnafu);
        let counters = &self.shared.counters;
        match &response {
            Ok(_) => counters.peer_answers.add_one(),
            Err(_) => counters.peer_failures.add_one(),
        }
        self.apply_updates(client, response?).await
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
        let cx = rpc::context_with_timeout(FETCH_TIMEOUT);
        let offer = client.fetch(cx, kind, bases).await.context(CallSnafu)?;
        if matches!(offer, Some(Offer::Text(..))) {
            self.shared.counters.whole_texts.add_one();
        }
        Ok(offer.is_some_and(|offer| self.shared.apply_offer(kind, offer)))
    }
}

/// Outcome of a request for updates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UpdateOutcome {
    /// The wait ended without an update.
    NoUpdates,
    /// The updates were applied, or had already been received from another peer.
    Consumed,
    /// An update was malformed, or could not be applied and is still wanted.
    Unusable,
}

/// Task that keeps one partner slot filled and polls the partner.
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
    /// Creates the task of a slot that has no partner yet.
    pub(crate) fn new(
        fetcher: Arc<UpdateFetcher>,
        slot: Slot,
        rounds: Arc<SyncRounds>,
        rng: ChaCha8Rng,
    ) -> Self {
        let vms = fetcher.shared.vms_tx.subscribe();
        Self { fetcher, slot, rounds, rng, attempt: 0, backoff: BACKOFF_MIN, vms }
    }

    /// Selects and polls partners; never returns.
    pub(crate) async fn run(mut self) {
        self.rounds.wait_until_polling_allowed().await;
        loop {
            let Some(partner) = self.current_choice() else {
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

    /// Waits for a change after which there may be a candidate for the slot.
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

    /// Returns the partner that the slot should have now, according to the list of
    /// VMs. Without a list, the ring slot gets the daemon that last sent a request
    /// to this one.
    fn current_choice(&mut self) -> Option<SocketAddr> {
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

    /// Returns the partner that the slot should have if no attempt had failed.
    fn first_choice(&self) -> Option<SocketAddr> {
        let list = self.vms.borrow();
        choose(&self.fetcher.here, list.as_deref()?, self.slot, 0).map(|vm| vm.control)
    }

    /// Polls a partner until a call fails, or returns `Ok` when the slot should have
    /// another partner.
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
            let request = fetcher.request_updates(&client, wait);
            tokio::pin!(request);
            let outcome = loop {
                tokio::select! {
                    outcome = &mut request => break Some(outcome?),
                    _ = epoch.changed() => break None,
                    _ = self.vms.changed() => {
                        if self.current_choice() != Some(partner) {
                            return Ok(());
                        }
                    }
                    () = &mut first_choice_back => {
                        self.attempt = 0;
                        return Ok(());
                    }
                }
            };
            let Some(outcome) = outcome else { continue };
            self.backoff = BACKOFF_MIN;
            self.set_partner(Some(partner));
            self.rounds.mark_polled(self.slot, current);
            synced_epoch = Some(current);
            if outcome == UpdateOutcome::Unusable {
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

/// Probes a daemon until it answers; waits forever if `daemon` is `None`.
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
