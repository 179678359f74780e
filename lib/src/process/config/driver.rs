//! Starts the tasks that obtain and distribute configuration, and exposes their state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::ActiveRules;
use super::ConfigCounters;
use super::Fault;
use super::PlatformClient;
use super::catch_up::CatchUpTask;
use super::partner::PartnerTask;
use super::partner::UpdateFetcher;
use super::partners::Slot;
use super::pause::BEAT_INTERVAL;
use super::pause::Heartbeat;
use super::platform_watcher::PlatformWatcher;
use super::server;
use super::shared::Shared;
use super::sync_rounds::SyncRounds;
use crate::process::InstanceId;
use crate::process::catalog::ConfigSnapshot;
use crate::process::catalog::LeaveTimes;
use crate::process::clock::boot_time;
use crate::process::customers::Confirmation;
use crate::process::customers::Stamp;
use crate::process::membership::VmList;
use crate::process::routing::Place;

/// Options for obtaining and distributing configuration.
#[derive(Debug)]
pub struct ConfigOptions {
    /// Instance, zone and region of this daemon.
    pub here: Place,
    /// Address of the platform's configuration service.
    pub platform: SocketAddr,
    /// Listener for requests from other daemons, at the control address that the
    /// platform lists for this daemon.
    pub control: TcpListener,
    /// Maximum random delay before the first call to the platform, so that the
    /// daemons of a restarted availability zone do not all call at the same time.
    pub start_jitter: Duration,
    /// Seed for all random delays and choices.
    pub seed: u64,
    /// Injected fault, for tests which check that they would detect it.
    pub fault: Option<Fault>,
}

impl ConfigOptions {
    /// Default of [`Self::start_jitter`].
    pub const DEFAULT_START_JITTER: Duration = Duration::from_secs(2);
}

/// The daemon's view of the configuration. Dropping it aborts the background tasks.
#[derive(Debug)]
pub struct ConfigHandle {
    /// The rules in force; `None` until the first version is accepted.
    pub rules: watch::Receiver<Option<Arc<ActiveRules>>>,
    /// The list of VMs in force; `None` until the first version is accepted.
    pub vms: watch::Receiver<Option<Arc<VmList>>>,
    /// Whether the daemon holds the newest versions that it could obtain. False at
    /// startup and after a pause; meanwhile the daemon serves no requests.
    pub ready: watch::Receiver<bool>,
    /// Control addresses of the partners that currently respond, by slot.
    pub partners: watch::Receiver<[Option<SocketAddr>; Slot::ALL.len()]>,
    /// Counters since the start of the process.
    pub counters: Arc<ConfigCounters>,
    /// Newest rules version that a peer has reported.
    newest_reported: watch::Sender<u64>,
    /// Channel to the catalog follower for configuration received from another
    /// daemon; `None` if the daemon follows no catalog.
    offers: Option<watch::Sender<Option<Arc<ConfigSnapshot>>>>,
    /// Channel to the catalog follower for the instance that the local upstream is by its own
    /// answers; `None` if the daemon follows no catalog.
    local_instance: Option<watch::Sender<Option<InstanceId>>>,
    /// How old the knowledge of the catalog is.
    ages: KnowledgeAges,
    heartbeat: Arc<Heartbeat>,
    tasks: Mutex<JoinSet<()>>,
}

/// Channels that report to the tasks that follow a catalog what requests have told.
#[derive(Debug)]
pub(crate) struct PeerReports {
    /// Newest rules version that another daemon has reported.
    pub(crate) newest_reported: watch::Sender<u64>,
    /// Configuration received from another daemon.
    pub(crate) offers: watch::Sender<Option<Arc<ConfigSnapshot>>>,
    /// Instance that the local upstream is by its own answers.
    pub(crate) local_instance: watch::Sender<Option<InstanceId>>,
}

/// What the tasks that follow a catalog record of the age of their knowledge; without a catalog
/// nothing is known of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnowledgeAges {
    /// When the rules in force were surely the newest.
    pub(crate) confirmation: Arc<Mutex<Confirmation>>,
    /// Since when instances of the local upstream have been leaving.
    pub(crate) leave_times: Arc<Mutex<LeaveTimes>>,
}

impl ConfigHandle {
    /// Creates the handle of a daemon that follows a catalog and has no partners.
    pub(crate) fn new(
        rules: watch::Receiver<Option<Arc<ActiveRules>>>,
        vms: watch::Receiver<Option<Arc<VmList>>>,
        ready: watch::Receiver<bool>,
        counters: Arc<ConfigCounters>,
        reports: PeerReports,
        ages: KnowledgeAges,
        mut tasks: JoinSet<()>,
    ) -> Self {
        let heartbeat = Arc::new(Heartbeat::new());
        let beats = Arc::clone(&heartbeat);
        tasks.spawn(async move {
            loop {
                beats.beat();
                tokio::time::sleep(BEAT_INTERVAL).await;
            }
        });
        let (_, partners) = watch::channel(Default::default());
        let PeerReports { newest_reported, offers, local_instance } = reports;
        let (offers, local_instance) = (Some(offers), Some(local_instance));
        Self {
            rules,
            vms,
            ready,
            partners,
            counters,
            newest_reported,
            offers,
            local_instance,
            ages,
            heartbeat,
            tasks: Mutex::new(tasks),
        }
    }

    /// Whether the daemon follows a catalog, still lacks the rules or the list of
    /// VMs, and so may bootstrap from another daemon.
    pub fn needs_bootstrap(&self) -> bool {
        let holds_all = self.rules.borrow().is_some() && self.vms.borrow().is_some();
        self.offers.is_some() && !holds_all
    }

    /// Passes on configuration received from another daemon. Rules and list of VMs
    /// are each used only where this daemon has none yet.
    pub fn bootstrap_from(&self, held: ConfigSnapshot) {
        if let Some(offers) = &self.offers {
            offers.send_replace(Some(Arc::new(held)));
        }
    }

    /// Reports the instance that the local upstream is by its own answers.
    pub(crate) fn report_local_instance(&self, instance: Option<InstanceId>) {
        if let Some(local_instance) = &self.local_instance {
            local_instance.send_if_modified(|known| {
                let is_news = *known != instance;
                *known = instance;
                is_news
            });
        }
    }

    /// Reports a rules version that a peer's request mentioned. Starts a catch-up
    /// if it is newer than the rules in force.
    pub fn report_version(&self, number: u64) {
        let held = self.rules.borrow().as_ref().map_or(0, |rules| rules.version());
        if number > held {
            self.newest_reported.send_if_modified(|newest| {
                let newer = number > *newest;
                *newest = number.max(*newest);
                newer
            });
        }
    }

    /// Returns the time since the rules in force were surely the newest, by
    /// [`boot_time`]; `None` if they never were.
    pub fn rules_age(&self) -> Option<Duration> {
        let version = self.rules.borrow().as_ref()?.version();
        self.ages.confirmation.lock().age(version, boot_time())
    }

    /// Returns the earliest time at which an instance of the local upstream may have left, as
    /// the age that it has now; `None` if no list has told that it left.
    pub(crate) fn time_since_leave(&self, instance: &InstanceId) -> Option<Duration> {
        let since = self.ages.leave_times.lock().since(instance)?;
        Some(boot_time().saturating_sub(since))
    }

    /// Returns what other daemons are told about the age of the rules.
    pub fn stamp(&self) -> Option<Stamp> {
        self.ages.confirmation.lock().stamp(boot_time())
    }

    /// Records what another daemon answered to a message that was sent at `asked_at`.
    pub fn hear_stamp(&self, asked_at: Duration, stamp: Stamp) {
        self.report_version(stamp.version);
        let Some(version) = self.rules.borrow().as_ref().map(|rules| rules.version()) else {
            return;
        };
        self.ages.confirmation.lock().hear(version, asked_at, stamp);
    }

    /// Ends the background tasks and closes the control listener. The configuration in
    /// force stays.
    pub async fn stop(&self) {
        let mut tasks = std::mem::take(&mut *self.tasks.lock());
        tasks.shutdown().await;
    }

    /// Returns whether the daemon may act on its configuration: it is ready, and
    /// the process was not paused since the last heartbeat.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow() && !self.heartbeat.is_paused()
    }
}

/// Starts the tasks that obtain configuration and distribute it to other daemons.
///
/// # Panics
///
/// Panics if the listener has no local address; every open listener has one.
pub fn spawn(options: ConfigOptions) -> ConfigHandle {
    let ConfigOptions { here, platform, control: listener, start_jitter, seed, fault } = options;
    let control = listener.local_addr().expect("an open listener has an address");
    let shared = Arc::new(Shared::new(fault));
    let rounds = Arc::new(SyncRounds::new(fault));
    let heartbeat = Arc::new(Heartbeat::new());
    let (newest_reported, reported_rx) = watch::channel(0);
    let mut rngs = (0..).map(|stream| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        rng
    });
    let mut next_rng = || rngs.next().expect("the iterator of RNG streams is infinite");

    let fetcher = Arc::new(UpdateFetcher::new(shared.clone(), here.clone(), control));
    let mut tasks = JoinSet::new();
    tasks.spawn(server::serve(shared.clone(), listener));
    for slot in Slot::ALL {
        let partner = PartnerTask::new(fetcher.clone(), slot, rounds.clone(), next_rng());
        tasks.spawn(partner.run());
    }
    let watcher = PlatformWatcher {
        shared: shared.clone(),
        rounds: rounds.clone(),
        client: PlatformClient::new(platform),
        here,
        start_jitter,
        rng: next_rng(),
    };
    tasks.spawn(watcher.run());
    tasks.spawn(CatchUpTask { fetcher, newest_reported: reported_rx, rng: next_rng() }.run());
    tasks.spawn(run_heartbeat(heartbeat.clone(), rounds.clone(), shared.counters.clone()));
    let ready = rounds.ready();
    tasks.spawn(run_rounds(rounds, shared.clone()));
    ConfigHandle {
        rules: shared.rules_tx.subscribe(),
        vms: shared.vms_tx.subscribe(),
        ready,
        partners: shared.partners.subscribe(),
        counters: shared.counters.clone(),
        newest_reported,
        offers: None,
        local_instance: None,
        ages: KnowledgeAges::default(),
        heartbeat,
        tasks: Mutex::new(tasks),
    }
}

async fn run_rounds(rounds: Arc<SyncRounds>, shared: Arc<Shared>) {
    rounds.run(&shared).await;
}

/// Beats the heartbeat, and begins a sync round after each pause of the process.
async fn run_heartbeat(
    heartbeat: Arc<Heartbeat>,
    rounds: Arc<SyncRounds>,
    counters: Arc<ConfigCounters>,
) {
    loop {
        // Begin the round before the beat; otherwise `ConfigHandle::is_ready` could
        // return true between the two.
        if heartbeat.is_paused() {
            counters.pauses.add_one();
            rounds.begin();
        }
        heartbeat.beat();
        tokio::time::sleep(BEAT_INTERVAL).await;
    }
}
