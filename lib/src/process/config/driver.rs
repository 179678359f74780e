//! Drives the spread of configuration: owns the tasks, the sockets and the clock.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::ActiveRules;
use super::ConfigCounters;
use super::Fault;
use super::PlatformClient;
use super::catch_up::CatchUp;
use super::partner::PartnerTask;
use super::partner::UpdateFetcher;
use super::partners::Slot;
use super::pause::BEAT_INTERVAL;
use super::pause::Heartbeat;
use super::platform_watcher::PlatformWatcher;
use super::server;
use super::shared::Shared;
use super::sync_rounds::SyncRounds;
use crate::process::catalog::Held;
use crate::process::membership::VmList;
use crate::process::routing::Place;

/// What the spread of configuration needs to know of its daemon.
#[derive(Debug)]
pub struct ConfigOptions {
    /// Where the daemon runs.
    pub here: Place,
    /// Where the platform answers.
    pub platform: SocketAddr,
    /// Where other daemons ask this one; its address is the one that the
    /// platform lists.
    pub control: TcpListener,
    /// Longest random wait before the first call to the platform, so that the
    /// daemons of a restarted availability zone do not call at once.
    pub start_spread: Duration,
    /// Seed of all random waits and choices.
    pub seed: u64,
    /// A deliberate defect, for the tests that must see it.
    pub fault: Option<Fault>,
}

impl ConfigOptions {
    /// Default of [`Self::start_spread`].
    pub const START_SPREAD: Duration = Duration::from_secs(2);
}

/// The daemon's view of the configuration; the tasks end when it is dropped.
#[derive(Debug)]
pub struct ConfigHandle {
    /// The rules in force; `None` until some version was heard of.
    pub rules: watch::Receiver<Option<Arc<ActiveRules>>>,
    /// The newest list of VMs.
    pub vms: watch::Receiver<Option<Arc<VmList>>>,
    /// Whether the daemon holds the newest versions that it could hear of: it
    /// serves nothing while this is false, at the start and after a pause.
    pub ready: watch::Receiver<bool>,
    /// The daemons that answer this one, by slot.
    pub partners: watch::Receiver<[Option<SocketAddr>; Slot::ALL.len()]>,
    /// What was done so far.
    pub counters: Arc<ConfigCounters>,
    heard: watch::Sender<u64>,
    /// Where a daemon that follows a catalog takes what others hold.
    offers: Option<watch::Sender<Option<Arc<Held>>>>,
    heartbeat: Arc<Heartbeat>,
    _tasks: JoinSet<()>,
}

/// Ways by which a daemon that follows a catalog is told of other daemons' versions.
#[derive(Debug)]
pub(crate) struct Told {
    /// The newest version that another daemon named.
    pub(crate) heard: watch::Sender<u64>,
    /// What another daemon holds.
    pub(crate) offers: watch::Sender<Option<Arc<Held>>>,
}

impl ConfigHandle {
    /// Returns the view of a daemon that reads a catalog and has no partners.
    pub(crate) fn new(
        rules: watch::Receiver<Option<Arc<ActiveRules>>>,
        vms: watch::Receiver<Option<Arc<VmList>>>,
        ready: watch::Receiver<bool>,
        counters: Arc<ConfigCounters>,
        told: Told,
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
        let Told { heard, offers } = told;
        let offers = Some(offers);
        Self { rules, vms, ready, partners, counters, heard, offers, heartbeat, _tasks: tasks }
    }

    /// Whether the daemon holds nothing yet and may learn from another.
    pub fn is_bare(&self) -> bool {
        let holds_all = self.rules.borrow().is_some() && self.vms.borrow().is_some();
        self.offers.is_some() && !holds_all
    }

    /// Takes what another daemon holds, which is used if nothing is held yet.
    pub fn learn(&self, held: Held) {
        if let Some(offers) = &self.offers {
            offers.send_replace(Some(Arc::new(held)));
        }
    }

    /// Tells of a version that a peer's request named, which begins a catch-up
    /// if it is newer than the rules in force.
    pub fn heard_of(&self, number: u64) {
        let held = self.rules.borrow().as_ref().map_or(0, |rules| rules.version());
        if number > held {
            self.heard.send_if_modified(|heard| {
                let newer = number > *heard;
                *heard = number.max(*heard);
                newer
            });
        }
    }

    /// Returns whether what the daemon holds may be acted on: it is ready, and
    /// was not paused since.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow() && !self.heartbeat.is_paused()
    }
}

/// Starts to read and spread configuration.
///
/// # Panics
///
/// Panics if the listener has no address, which an open one always has.
pub fn spawn(options: ConfigOptions) -> ConfigHandle {
    let ConfigOptions { here, platform, control: listener, start_spread, seed, fault } = options;
    let control = listener.local_addr().expect("an open listener has an address");
    let shared = Arc::new(Shared::new(fault));
    let rounds = Arc::new(SyncRounds::new(fault));
    let heartbeat = Arc::new(Heartbeat::new());
    let (heard, heard_rx) = watch::channel(0);
    let mut rngs = (0..).map(|stream| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        rng
    });
    let mut next_rng = || rngs.next().expect("the streams never end");

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
        start_spread,
        rng: next_rng(),
    };
    tasks.spawn(watcher.run());
    tasks.spawn(CatchUp { fetcher, heard: heard_rx, rng: next_rng() }.run());
    tasks.spawn(beat(heartbeat.clone(), rounds.clone(), shared.counters.clone()));
    let ready = rounds.ready();
    tasks.spawn(run_rounds(rounds, shared.clone()));
    ConfigHandle {
        rules: shared.rules_tx.subscribe(),
        vms: shared.vms_tx.subscribe(),
        ready,
        partners: shared.partners.subscribe(),
        counters: shared.counters.clone(),
        heard,
        offers: None,
        heartbeat,
        _tasks: tasks,
    }
}

async fn run_rounds(rounds: Arc<SyncRounds>, shared: Arc<Shared>) {
    rounds.run(&shared).await;
}

/// Begins a round whenever the process was paused.
async fn beat(heartbeat: Arc<Heartbeat>, rounds: Arc<SyncRounds>, counters: Arc<ConfigCounters>) {
    loop {
        // The round begins before the beat, so that the daemon is not taken for
        // ready in between.
        if heartbeat.is_paused() {
            counters.pauses.add_one();
            rounds.begin();
        }
        heartbeat.beat();
        tokio::time::sleep(BEAT_INTERVAL).await;
    }
}
