//! Drives the spread of configuration: owns the tasks, the sockets and the clock.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::ActiveRules;
use super::ConfigCounters;
use super::PlatformClient;
use super::document::Kind;
use super::shared::Shared;
use crate::process::membership::VmList;
use crate::process::routing::Place;

/// How long one watch of the platform waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Shortest and longest wait after a failed call to the platform.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
const BACKOFF_MAX: Duration = Duration::from_secs(5);

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
    /// Seed of all random waits and choices.
    pub seed: u64,
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
    /// What was done so far.
    pub counters: Arc<ConfigCounters>,
    _tasks: JoinSet<()>,
}

impl ConfigHandle {
    /// Tells of a version that a peer's request named, which begins a catch-up
    /// if it is newer than the rules in force.
    pub fn heard_of(&self, _version: u64) {}
}

/// Starts to read and spread configuration.
pub fn spawn(options: ConfigOptions) -> ConfigHandle {
    let shared = Arc::new(Shared::new());
    let (ready_tx, ready) = watch::channel(false);
    let ConfigOptions { here: _here, platform, control: _control, seed } = options;
    let client = PlatformClient::new(platform);
    let mut tasks = JoinSet::new();
    for kind in [Kind::Rules, Kind::Vms] {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        tasks.spawn(read_platform(shared.clone(), client, kind, rng));
    }
    tasks.spawn(announce_ready(shared.clone(), ready_tx));
    ConfigHandle {
        rules: shared.rules_tx.subscribe(),
        vms: shared.vms_tx.subscribe(),
        ready,
        counters: shared.counters.clone(),
        _tasks: tasks,
    }
}

async fn announce_ready(shared: Arc<Shared>, ready_tx: watch::Sender<bool>) {
    let mut rules = shared.rules_tx.subscribe();
    let mut vms = shared.vms_tx.subscribe();
    // The senders live as long as the shared state, so neither wait can fail.
    let _ = rules.wait_for(Option::is_some).await;
    let _ = vms.wait_for(Option::is_some).await;
    ready_tx.send_replace(true);
}

async fn read_platform(
    shared: Arc<Shared>,
    client: PlatformClient,
    kind: Kind,
    mut rng: ChaCha8Rng,
) {
    let mut after = 0;
    let mut backoff = BACKOFF_MIN;
    loop {
        shared.counters.platform_calls.add_one();
        match client.watch(kind, after, WATCH_WAIT).await {
            Ok(Some(document)) => {
                after = document.id.number;
                shared.take(kind, &document);
                backoff = BACKOFF_MIN;
            }
            Ok(None) => backoff = BACKOFF_MIN,
            Err(_) => {
                shared.counters.platform_failures.add_one();
                tokio::time::sleep(backoff.mul_f64(rng.random_range(0.5..=1.0))).await;
                backoff = (backoff * 2).min(BACKOFF_MAX);
            }
        }
    }
}
