//! Follows a catalog: reads it completely, then watches for changes.

mod calls;
mod local_entry;
mod policy;
mod sources;
mod unused;
mod vms;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;

use self::calls::CatalogCalls;
use self::calls::ChangeSource;
use self::local_entry::LocalEntryFollower;
use self::policy::PolicyFollower;
use self::sources::LocalDaemon;
use self::sources::SourceChoice;
use self::unused::UnusedEntries;
use self::vms::VmsFollower;
use super::Catalog;
use super::Roster;
use super::Watermark;
use super::relay;
use super::relay::ReadRole;
use super::relay::RelayClient;
use super::relay::RelayState;
use super::relay::SourceCursor;
use crate::process::ServiceName;
use crate::process::Zone;
use crate::process::clock::Clock;
use crate::process::config::ActiveRules;
use crate::process::config::ConfigCounters;
use crate::process::config::ConfigHandle;
use crate::process::config::KnowledgeAges;
use crate::process::config::PeerReports;
use crate::process::config::VersionState;
use crate::process::membership::VmList;

/// Options for following a catalog.
#[derive(Debug)]
pub struct CatalogOptions {
    /// The catalog to follow.
    pub catalog: Arc<dyn Catalog>,
    /// Address of the local upstream, by which the daemon finds its own entry.
    pub upstream: SocketAddr,
    /// Service of the local upstream.
    pub service: ServiceName,
    /// Seed for the random part of retry delays.
    pub seed: u64,
    /// How the daemon takes part in relaying; `None` if it only reads the catalog
    /// itself.
    pub relay: Option<RelayOptions>,
    /// Longest time after which a withdrawn key is still accepted; see
    /// [`crate::process::settings::CustomerSettings::withdrawal`].
    pub withdrawal: Option<Duration>,
}

/// Options of a daemon that polls other daemons, or is polled, for changes.
#[derive(Debug)]
pub struct RelayOptions {
    /// Listener for polls, at the control address under which others list the daemon.
    pub listener: TcpListener,
    /// Availability zone of the daemon.
    pub zone: Zone,
}

/// Starts the tasks that follow a catalog.
///
/// # Panics
///
/// Panics if the listener has no local address; every open listener has one.
pub fn spawn(options: CatalogOptions) -> ConfigHandle {
    let CatalogOptions { catalog, upstream, service, seed, relay, withdrawal } = options;
    let ages = KnowledgeAges::default();
    let counters = Arc::new(ConfigCounters::default());
    let state = Arc::new(RelayState::new(counters.clone()));
    let (rules_tx, rules) = watch::channel::<Option<Arc<ActiveRules>>>(None);
    let (vms_tx, vms) = watch::channel(None);
    let (ready_tx, ready) = watch::channel(false);
    let (newest_reported_tx, newest_reported) = watch::channel(0);
    let (offers_tx, offers) = watch::channel(None);
    let (local_instance_tx, local_instance) = watch::channel(None);
    let (role_tx, role) = watch::channel(ReadRole::Reader);
    let (local_key_tx, local_key) = watch::channel(None);
    let (local_changes_tx, local_changes) = mpsc::channel(1);
    let calls = |stream| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        CatalogCalls::new(catalog.clone(), counters.clone(), rng)
    };
    let source = |stream| ChangeSource {
        calls: calls(stream),
        relay: RelayClient::new(counters.clone(), withdrawal),
        withdrawal,
        cursor: SourceCursor::default(),
        watermark: Watermark::default(),
        is_reader_lost: false,
        role: role.clone(),
        state: state.clone(),
    };
    let mut tasks = JoinSet::new();
    let local = relay.map(|RelayOptions { listener, zone }| {
        let control = listener.local_addr().expect("an open listener has an address");
        tasks.spawn(relay::serve(state.clone(), listener));
        LocalDaemon { control, zone, role_tx, key_tx: local_key_tx }
    });
    let policy = PolicyFollower {
        source: source(0),
        holder: VersionState::default(),
        confirmation: Arc::clone(&ages.confirmation),
        is_unreadable: false,
        rules_tx,
        newest_reported,
        offers: offers.clone(),
    };
    let roster = VmsFollower {
        source: source(1),
        roster: Roster::default(),
        unused: UnusedEntries::new(counters.clone()),
        clock: Clock::start(),
        vms_tx,
        offers,
        choice: SourceChoice { rules: rules.clone(), local_instance, upstream, service, local },
        live_here: IndexSet::default(),
        leave_times: Arc::clone(&ages.leave_times),
        known_until: Duration::ZERO,
        local_changes,
    };
    let local_entry =
        LocalEntryFollower { calls: calls(2), key: local_key, changes: local_changes_tx };
    tasks.spawn(policy.run());
    tasks.spawn(roster.run());
    tasks.spawn(local_entry.run());
    tasks.spawn(publish_readiness(rules.clone(), vms.clone(), ready_tx));
    ConfigHandle::new(
        rules,
        vms,
        ready,
        counters,
        PeerReports {
            newest_reported: newest_reported_tx,
            offers: offers_tx,
            local_instance: local_instance_tx,
        },
        ages,
        tasks,
    )
}

/// Reports the configuration as ready once there are a policy and a list of VMs.
async fn publish_readiness(
    mut rules: watch::Receiver<Option<Arc<ActiveRules>>>,
    mut vms: watch::Receiver<Option<Arc<VmList>>>,
    ready: watch::Sender<bool>,
) {
    let has_rules = rules.wait_for(Option::is_some).await.is_ok();
    let has_vms = vms.wait_for(Option::is_some).await.is_ok();
    ready.send_replace(has_rules && has_vms);
    // Keeps the receivers, and with them their channels, for as long as the daemon runs.
    std::future::pending::<()>().await;
}
