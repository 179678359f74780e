//! The shared tables of one daemon.
//!
//! Locks are taken in this order, and none is held across an await:
//! requests in progress, a request's own account, call ledger and tokens, the
//! home of idempotency tokens, the path levels, the router, the gate, the
//! connection pools, the burn. Most code holds one at a time.

mod gate;
mod home;
mod lifecycle;
mod operated;

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;

pub use self::gate::Gate;
pub use self::gate::Permit;
pub use self::home::Answer;
pub use self::home::Home;
pub use self::home::Run;
pub use self::home::RunEnd;
pub use self::home::Start;
pub use self::lifecycle::InProgress;
pub use self::lifecycle::Lifecycle;
use super::Incarnation;
use super::ServiceName;
use super::admission::AdmissionConfig;
use super::admission::LimitPolicy;
use super::admission::PathLevels;
use super::burn::Burn;
use super::catalog::Taught;
use super::clock::Clock;
use super::config::ActiveRules;
use super::config::ConfigHandle;
use super::log::DecisionLog;
use super::log::DrainCause;
use super::membership::Departed;
use super::membership::VmList;
use super::membership::VmState;
use super::metrics::Metrics;
use super::repeats::RepeatAccount;
use super::repeats::RepeatBound;
use super::routing::Place;
use super::routing::Router;
use super::settings::IdempotencySettings;
use super::settings::RepeatSettings;
use super::settings::Settings;
use crate::connection::peers::PeerPool;
use crate::connection::pipeline::ConnectionLimits;
use crate::connection::upstream::UpstreamPool;
use crate::request::dialect::Dialect;
use crate::request::idempotency::IssuerConfig;
use crate::request::parent::Parents;
use crate::version::PlanKey;

/// What makes two callers' requests visit the same services: the service and
/// the rule or route that serves them.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PathKey {
    /// Service that the caller asks.
    pub service: ServiceName,
    /// The rule or route.
    pub plan: PlanKey,
}

/// Everything that the requests of one daemon share.
#[derive(Debug)]
pub struct Node {
    /// What the daemon was started with.
    pub settings: Settings,
    /// Identity of this run.
    pub incarnation: Incarnation,
    /// Where other daemons reach this one.
    pub peer_addr: SocketAddr,
    /// How callers and the local upstream speak.
    pub dialect: Arc<dyn Dialect>,
    /// Time since the start.
    pub clock: Clock,
    /// Requests in progress at the local upstream.
    pub parents: Arc<Parents>,
    /// Idempotency tokens issued here.
    pub home: Home,
    /// Choice of instances.
    pub router: Mutex<Router>,
    /// The way to the local upstream.
    pub gate: Arc<Gate>,
    /// Repeats that may reach the local upstream, if that is bounded.
    pub repeats: Option<Mutex<RepeatAccount>>,
    /// Instances known to be no longer at the local upstream's address.
    pub departed: Mutex<Departed>,
    /// Connections to other daemons.
    pub peers: PeerPool,
    /// Addresses of peers whose connections have ended, until they are followed.
    ended_peers: Mutex<Option<UnboundedReceiver<SocketAddr>>>,
    /// When daemons without a configuration were last told of it.
    pub taught: Mutex<Taught>,
    /// Connections to the local upstream.
    pub upstream: Arc<UpstreamPool>,
    /// Whether new work is taken.
    pub lifecycle: Arc<Lifecycle>,
    /// Counters for operators.
    pub metrics: Metrics,
    /// Lines on single requests.
    pub decisions: DecisionLog,
    /// Admission levels of the hops below, by the path that callers' requests take.
    pub path_levels: Mutex<PathLevels<PathKey>>,
    /// Service-level burn.
    pub burn: Mutex<Burn>,
    config: ConfigHandle,
}

impl Node {
    /// Creates the tables of a daemon whose peer listener is at `peer_addr`.
    pub fn new(
        settings: Settings,
        peer_addr: SocketAddr,
        dialect: Arc<dyn Dialect>,
        metrics: Metrics,
        config: ConfigHandle,
    ) -> Arc<Self> {
        let incarnation = Incarnation(rand::random());
        let clock = Clock::start();
        let place = Place {
            instance: settings.daemon.instance.clone(),
            zone: settings.daemon.zone.clone(),
            region: settings.daemon.region.clone(),
        };
        let connections = settings.upstream.connections as usize;
        let upstream = UpstreamPool::new(settings.upstream.address, connections);
        let (peers, ended_peers) = PeerPool::new();
        let burn = Mutex::new(Burn::new(place.instance.clone(), settings.objectives));
        Arc::new(Self {
            incarnation,
            peer_addr,
            dialect,
            clock,
            parents: Parents::new(incarnation),
            home: Home::new(peer_addr, incarnation, &issuer_config(&settings.idempotency)),
            router: Mutex::new(Router::new(place, rand::random())),
            gate: Gate::new(&admission_config(&settings), clock),
            repeats: settings.repeats.map(|bound| Mutex::new(repeat_account(&bound))),
            departed: Mutex::default(),
            peers,
            taught: Mutex::default(),
            ended_peers: Mutex::new(Some(ended_peers)),
            upstream,
            lifecycle: Arc::default(),
            metrics,
            decisions: DecisionLog::default(),
            path_levels: Mutex::default(),
            burn,
            config,
            settings,
        })
    }

    /// Returns the rules in force.
    ///
    /// There are none while the daemon does not know whether it holds the
    /// newest version, at the start and after a pause.
    pub fn rules(&self) -> Option<Arc<ActiveRules>> {
        if !self.config.is_ready() {
            return None;
        }
        self.config.rules.borrow().clone()
    }

    /// Returns what the requests of callers may take.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let rules = self.config.rules.borrow();
        match rules.as_ref().and_then(|rules| rules.policy.limits()) {
            Some(limits) => ConnectionLimits {
                head_bytes: limits.head_bytes,
                body_bytes: limits.body_bytes,
                head_timeout: limits.head_timeout,
                idle_timeout: limits.idle_timeout,
            },
            None => ConnectionLimits {
                head_bytes: self.settings.limits.head_bytes as usize,
                ..ConnectionLimits::UNTOLD
            },
        }
    }

    /// Whether new requests of callers should come here.
    pub fn takes_requests(&self) -> bool {
        self.rules().is_some() && !self.lifecycle.is_announced()
    }

    /// Returns the list of VMs in force; `None` before the first is heard of.
    pub fn vms(&self) -> Option<Arc<VmList>> {
        self.config.vms.borrow().clone()
    }

    /// Whether the platform lists an instance of a service.
    pub fn knows(&self, service: &ServiceName) -> bool {
        !self.router.lock().members().instances(service).is_empty()
    }

    /// Returns the configuration in force and its sources.
    pub fn config(&self) -> &ConfigHandle {
        &self.config
    }

    /// Whether the platform wants this VM to leave.
    ///
    /// An entry with another address belongs to a VM that had the name before.
    fn is_listed_as_leaving(&self, list: &VmList) -> bool {
        list.vms.iter().any(|vm| {
            vm.instance == self.settings.daemon.instance
                && vm.peer == self.peer_addr
                && vm.state == VmState::Leaving
        })
    }

    /// Takes in what the local upstream says of itself in the list.
    ///
    /// Of several entries with its address, the youngest speaks of it: the
    /// address may have belonged to another upstream before.
    fn heed_own_entry(&self, list: &VmList) {
        let address = self.settings.upstream.address;
        let facts = list.vms.iter().filter_map(|vm| vm.upstream);
        let own = facts.filter(|facts| facts.address == address);
        if let Some(own) = own.max_by_key(|facts| facts.born_ms) {
            self.gate.set_slots(own.slots as usize);
        }
        self.departed.lock().heed(list);
        if let Some(repeats) = &self.repeats {
            let service = &self.settings.daemon.service;
            let instances = list.vms.iter().filter(|vm| vm.service == *service);
            repeats.lock().set_instances(instances.count());
        }
    }

    /// Tells the router of connections to peers that ended, for as long as the
    /// process runs.
    pub async fn follow_peers(self: Arc<Self>) {
        let Some(mut ended) = self.ended_peers.lock().take() else { return };
        while let Some(peer) = ended.recv().await {
            self.router.lock().disconnected(self.clock.now(), peer);
        }
    }

    /// Hands each new list of VMs to the router, for as long as lists come.
    pub async fn follow_vms(self: Arc<Self>) {
        let mut vms: watch::Receiver<_> = self.config.vms.clone();
        loop {
            let list = vms.borrow_and_update().clone();
            if let Some(list) = list {
                self.router.lock().apply(self.clock.now(), &list);
                self.heed_own_entry(&list);
                if self.is_listed_as_leaving(&list) {
                    self.lifecycle.leave(DrainCause::Platform);
                }
            }
            if vms.changed().await.is_err() {
                return;
            }
        }
    }
}

fn repeat_account(bound: &RepeatSettings) -> RepeatAccount {
    let RepeatSettings { ratio, slack, window, first_start } = *bound;
    RepeatAccount::new(RepeatBound { ratio, slack, window, first_start })
}

fn admission_config(settings: &Settings) -> AdmissionConfig {
    let mut cfg = AdmissionConfig::new(settings.upstream.slots as usize);
    if settings.adapter.is_some() {
        // The upstream states its own slots and queues what exceeds them, so a
        // refusal below them has another reason than load.
        cfg.limit = LimitPolicy::Slots;
    }
    if let Some(entries) = settings.admission.queue {
        cfg.queue_entries = entries as usize;
    }
    cfg
}

fn issuer_config(settings: &IdempotencySettings) -> IssuerConfig {
    let usual = IssuerConfig::default();
    let blocks = settings.window.div_ceil(usual.block_len.get());
    IssuerConfig {
        blocks_max: NonZeroU32::new(blocks).unwrap_or(usual.blocks_max),
        running_max: settings.running as usize,
        answer_bytes_max: usize::try_from(settings.answer_bytes).unwrap_or(usize::MAX),
        ..usual
    }
}
