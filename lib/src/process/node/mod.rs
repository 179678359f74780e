//! The state that all requests of one daemon share.
//!
//! Locks are acquired in this order, and none is held across an await:
//! requests in progress, a request's own account, call ledger and tokens, the
//! issuer of idempotency tokens, the called paths, the path levels, the router, the local
//! instances, the gate, the connection pools, the running requests, the crash history, the
//! usage of customers, the coordinator of usage, the burn, the times of stops, the accepted
//! requests. Most code holds one lock at a time.

mod crash_watch;
mod customers;
mod gate;
mod lifecycle;
mod operated;
mod repeats;
mod stops;
mod token_registry;

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::sleep_until;

pub(crate) use self::crash_watch::CrashWatch;
pub(crate) use self::crash_watch::RunGuard;
pub(crate) use self::customers::Customers;
pub use self::gate::Gate;
pub use self::gate::GateReport;
pub use self::gate::Permit;
pub use self::lifecycle::AcceptedRequest;
pub use self::lifecycle::End;
pub use self::lifecycle::EndCounts;
pub use self::lifecycle::InProgress;
pub use self::lifecycle::Lifecycle;
pub use self::lifecycle::RequestHandle;
pub use self::lifecycle::Stage;
pub(crate) use self::stops::BoundedRun;
pub(crate) use self::stops::RunTimer;
pub(crate) use self::stops::Stops;
pub use self::token_registry::Answer;
pub use self::token_registry::Run;
pub use self::token_registry::RunEnd;
pub use self::token_registry::RunStart;
pub use self::token_registry::TokenRegistry;
use super::Incarnation;
use super::InstanceId;
use super::ServiceName;
use super::admission::AdmissionConfig;
use super::admission::CalledPaths;
use super::admission::KnownLimit;
use super::admission::LimitChange;
use super::admission::LimitNotice;
use super::admission::LimitPolicy;
use super::admission::PathLevels;
use super::burn::BurnTracker;
use super::catalog::ConfigSendTimes;
use super::clock::Clock;
use super::config::ActiveRules;
use super::config::ConfigHandle;
use super::log;
use super::log::Decision;
use super::log::DecisionLog;
use super::log::DrainCause;
use super::log::LimitSource;
use super::log::LostLines;
use super::log::StateChange;
use super::membership::Daemons;
use super::membership::Description;
use super::membership::LocalInstances;
use super::membership::LocalStanding;
use super::membership::VmList;
use super::membership::VmState;
use super::membership::listing_changes;
use super::metrics::Counter;
use super::metrics::Metrics;
use super::repeats::PathRoom;
use super::repeats::RepeatAccount;
use super::repeats::RepeatBound;
use super::resources::Clients;
use super::resources::ResourcePlan;
use super::resources::Senders;
use super::routing::Place;
use super::routing::Router;
use super::settings::IdempotencySettings;
use super::settings::RepeatSettings;
use super::settings::Settings;
use crate::connection::body::BodyMemory;
use crate::connection::peers::PeerPool;
use crate::connection::pipeline::ConnectionLimits;
use crate::connection::upstream::UpstreamPool;
use crate::request::dialect::Dialect;
use crate::request::dialect::UpstreamNotice;
use crate::request::idempotency::IssuerConfig;
use crate::request::parent::Parents;
use crate::version::PlanKey;

/// Key under which requests are expected to visit the same services: the called
/// service, and the rule or route that applies.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PathKey {
    /// Service that the caller requests.
    pub service: ServiceName,
    /// Rule or route that applies to the request.
    pub plan: PlanKey,
}

/// State that all requests of one daemon share.
#[derive(Debug)]
pub struct Node {
    /// Settings at the start of the daemon.
    pub settings: Settings,
    /// Random identity of this run of the daemon.
    pub incarnation: Incarnation,
    /// Address at which other daemons reach this one.
    pub peer_addr: SocketAddr,
    /// Interface to callers and the local upstream.
    pub dialect: Arc<dyn Dialect>,
    /// Time since the start.
    pub clock: Clock,
    /// Requests in progress at the local upstream.
    pub parents: Arc<Parents>,
    /// Issuer of this daemon's idempotency tokens.
    pub tokens: TokenRegistry,
    /// The daemons that the list of VMs tells of.
    daemons: Mutex<Arc<Daemons>>,
    /// Selects the instance for each call.
    pub router: Mutex<Router>,
    /// Admission to the local upstream.
    pub gate: Arc<Gate>,
    /// Limit on the repeats that reach the local upstream, if one is set.
    pub repeats: Option<Mutex<RepeatAccount>>,
    /// Instances for which the local upstream must no longer run requests.
    pub local_instances: Mutex<LocalInstances>,
    /// Wakes the tasks that wait for a change of [`Self::local_instances`].
    local_instances_changed: Notify,
    /// When this daemon learned that instances left for which the local upstream must no longer
    /// run requests.
    left_at: Mutex<IndexMap<InstanceId, Duration>>,
    /// Connections to other daemons.
    pub peers: PeerPool,
    /// Addresses of peers whose connections were closed; taken by [`Self::follow_peers`].
    ended_peers: Mutex<Option<UnboundedReceiver<SocketAddr>>>,
    /// When the configuration was last sent to daemons that have none.
    pub config_sent: Mutex<ConfigSendTimes>,
    /// Connections to the local upstream.
    pub upstream: Arc<UpstreamPool>,
    /// Requests at the local upstream, by which a crash of it is explained.
    pub(crate) crash_watch: CrashWatch,
    /// Usage of customers at this daemon, and at those that report to it.
    pub(crate) customers: Customers,
    /// Memory for the upstream's responses that are buffered.
    pub(crate) response_memory: BodyMemory,
    /// Limits the memory of responses with pipelined requests behind them, and of bodies of
    /// requests that wait for such.
    pub(crate) pipelined_memory: BodyMemory,
    /// What callers' connections hold.
    pub clients: Arc<Clients>,
    /// What requests of other daemons hold.
    pub(crate) senders: Arc<Senders>,
    /// Whether new requests are accepted, and which are in progress.
    pub lifecycle: Arc<Lifecycle>,
    /// When daemons that stop have ended, and how long the upstream runs requests.
    pub(crate) stops: Stops,
    /// Counters for operators.
    pub metrics: Metrics,
    /// Log lines about single requests, limited in number.
    pub decisions: DecisionLog,
    /// How many lost lines of the log were reported so far.
    reported_losses: Mutex<LostLines>,
    /// Admission levels of downstream services, by the path that requests take.
    pub path_levels: Mutex<PathLevels<PathKey>>,
    /// Repeats that downstream services would grant, by the path that requests take.
    pub path_room: Mutex<PathRoom<PathKey>>,
    /// Calls that the local upstream makes for the requests of each rule or route.
    pub called_paths: Mutex<CalledPaths<PlanKey, PathKey>>,
    /// Consumption of the error budgets of the service-level objectives.
    pub burn: Mutex<BurnTracker>,
    config: ConfigHandle,
}

impl Node {
    /// Creates the state of a daemon whose peer listener is at `peer_addr`.
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
        let plan = ResourcePlan::new(&settings.resources);
        let (peers, ended_peers) = PeerPool::new(plan.response_window);
        let burn = Mutex::new(BurnTracker::new(place.instance.clone(), settings.objectives));
        Arc::new(Self {
            incarnation,
            peer_addr,
            dialect,
            clock,
            parents: Parents::new(incarnation),
            tokens: TokenRegistry::new(
                peer_addr,
                incarnation,
                &issuer_config(&settings.idempotency),
            ),
            daemons: Mutex::default(),
            router: Mutex::new(Router::new(place, rand::random())),
            gate: Gate::new(&admission_config(&settings), clock),
            repeats: settings.repeats.map(|bound| Mutex::new(repeat_account(&bound))),
            local_instances: Mutex::new(LocalInstances::new(
                settings.upstream.address,
                settings.daemon.service.clone(),
            )),
            local_instances_changed: Notify::new(),
            left_at: Mutex::default(),
            peers,
            config_sent: Mutex::default(),
            ended_peers: Mutex::new(Some(ended_peers)),
            upstream,
            crash_watch: CrashWatch::new(clock),
            customers: Customers::new(rand::random()),
            response_memory: BodyMemory::new(plan.response_bytes),
            pipelined_memory: BodyMemory::new(plan.pipelined_bytes),
            clients: Clients::new(plan),
            senders: Senders::new(plan.sender_bytes, plan.request_window),
            lifecycle: Arc::default(),
            stops: Stops::default(),
            metrics,
            decisions: DecisionLog::default(),
            reported_losses: Mutex::default(),
            path_levels: Mutex::default(),
            path_room: Mutex::default(),
            called_paths: Mutex::default(),
            burn,
            config,
            settings,
        })
    }

    /// Returns the active rules.
    ///
    /// Returns `None` while the daemon cannot tell whether its version is the
    /// newest, at the start and after a pause.
    pub fn rules(&self) -> Option<Arc<ActiveRules>> {
        if !self.config.is_ready() {
            return None;
        }
        self.config.rules.borrow().clone()
    }

    /// Returns the size limits and timeouts for callers' connections.
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
                ..ConnectionLimits::UNTIL_CONFIGURED
            },
        }
    }

    /// Whether callers should send new requests to this daemon.
    pub fn accepts_requests(&self) -> bool {
        self.rules().is_some() && !self.lifecycle.is_stop_announced()
    }

    /// Returns the current list of VMs; `None` before the first one arrives.
    pub fn vms(&self) -> Option<Arc<VmList>> {
        self.config.vms.borrow().clone()
    }

    /// Returns the daemons that the list of VMs in force tells of.
    pub(crate) fn daemons(&self) -> Arc<Daemons> {
        self.daemons.lock().clone()
    }

    /// Whether the local upstream is of a service.
    pub(crate) fn serves(&self, service: &ServiceName) -> bool {
        self.settings.daemon.service == *service
    }

    /// Whether the platform lists an instance of a service.
    pub fn lists_service(&self, service: &ServiceName) -> bool {
        !self.router.lock().members().instances(service).is_empty()
    }

    /// Returns the current configuration and the channels that update it.
    pub fn config(&self) -> &ConfigHandle {
        &self.config
    }

    /// Whether the platform lists this daemon as leaving.
    ///
    /// An entry with another address belongs to an earlier VM of the same name, and one that
    /// an upstream has written says nothing of the daemon, whatever its name.
    fn is_told_to_leave(&self, list: &VmList) -> bool {
        list.vms.iter().filter(|vm| vm.names_daemon()).any(|vm| {
            vm.instance == self.settings.daemon.instance
                && vm.peer == self.peer_addr
                && vm.state == VmState::Leaving
        })
    }

    /// Returns whether the local upstream may run requests for an instance.
    pub fn local_standing(&self, instance: &InstanceId) -> LocalStanding {
        self.local_instances.lock().standing(instance)
    }

    /// Records what the local upstream says about itself in an answer to a request for
    /// `instance`.
    ///
    /// `is_late` marks an answer to another request than the one that it was received for.
    pub fn record_upstream_notice(
        &self,
        instance: &InstanceId,
        notice: &UpstreamNotice,
        is_late: bool,
    ) {
        if notice.limit == LimitNotice::Malformed {
            self.metrics.count(Counter::MalformedInput);
            let decision = Decision::RateLimitMalformed { instance };
            self.decisions.write(self.clock.now(), None, &decision);
        }
        if notice.is_leaving && self.local_instances.lock().record_leaving(instance) {
            let decision = Decision::UpstreamLeaving { instance };
            self.decisions.write(self.clock.now(), None, &decision);
            self.local_instances_have_changed();
        }
        let change = self.gate.record_limit_notice(notice.limit, is_late);
        self.log_limit_change(change, LimitSource::Upstream);
    }

    /// Adopts a limit on the rate of requests to `instance` that another daemon knows of.
    pub fn adopt_rate_limit(&self, instance: &InstanceId, known: KnownLimit) {
        if self.local_standing(instance) != LocalStanding::Current {
            return;
        }
        let change = self.gate.adopt_rate_limit(known);
        self.log_limit_change(change, LimitSource::Peer);
    }

    fn log_limit_change(&self, change: Option<LimitChange>, source: LimitSource) {
        let Some(change) = change else { return };
        self.metrics.count(Counter::RateLimitChanges);
        self.decisions.write(self.clock.now(), None, &Decision::RateLimit { change, source });
    }

    /// Counts and logs the lines of the log that were lost since the last call.
    pub(crate) fn report_lost_lines(&self) {
        let lines = log::lost_lines();
        let reported = std::mem::replace(&mut *self.reported_losses.lock(), lines);
        if lines == reported {
            return;
        }
        self.metrics.add(Counter::LogLinesDropped, lines.dropped - reported.dropped);
        self.metrics.add(Counter::LogLinesFailed, lines.failed - reported.failed);
        log::write(&StateChange::LinesLost { lines });
    }

    /// Records that another upstream uses the address of an instance.
    pub(crate) fn record_departure(&self, instance: &InstanceId) {
        self.update_local_instances(|local| Some(local.record_departure(instance)));
        self.local_instances_have_changed();
    }

    /// Records that the local upstream ran a request that only this instance may run.
    pub(crate) fn record_run(&self, instance: &InstanceId) {
        self.update_local_instances(|local| local.record_run(instance));
    }

    /// Updates what is known of the local instances, and applies what that says of the upstream.
    fn update_local_instances(
        &self,
        update: impl FnOnce(&mut LocalInstances) -> Option<Description>,
    ) {
        // Held until the description is applied, so that the last one stays in force.
        let mut local = self.local_instances.lock();
        let Some(Description { slots, is_another }) = update(&mut local) else { return };
        if let Some(slots) = slots {
            self.gate.set_slots(slots as usize);
        }
        if is_another {
            let change = self.gate.clear_rate_limit();
            self.log_limit_change(change, LimitSource::List);
        }
        self.config.report_local_instance(local.confirmed().cloned());
    }

    /// Records which local instances have left, and wakes what waits for it.
    fn local_instances_have_changed(&self) {
        let now = self.clock.now();
        let gone: IndexSet<_> = self.local_instances.lock().gone().cloned().collect();
        let mut left_at = self.left_at.lock();
        left_at.retain(|instance, _| gone.contains(instance));
        for instance in gone {
            left_at.entry(instance).or_insert(now);
        }
        drop(left_at);
        self.local_instances_changed.notify_waiters();
    }

    /// Returns when an instance left at the earliest for which the local upstream must no longer
    /// run requests; `None` if it has not left.
    ///
    /// The platform may have confirmed it before this daemon learned it. See
    /// `docs/design/membership.md`.
    pub(crate) fn left_at(&self, instance: &InstanceId) -> Option<Duration> {
        let learned_at = self.left_at.lock().get(instance).copied()?;
        let since = self.config.time_since_leave(instance);
        let confirmed_at = since.map(|since| self.clock.now().saturating_sub(since));
        Some(confirmed_at.map_or(learned_at, |at| at.min(learned_at)))
    }

    /// Waits until a time after an instance left.
    pub(crate) async fn wait_after_leave(&self, instance: &InstanceId, delay: Duration) {
        loop {
            let changed = self.local_instances_changed.notified();
            let Some(left_at) = self.left_at(instance) else {
                changed.await;
                continue;
            };
            tokio::select! {
                () = sleep_until(self.clock.instant(left_at + delay)) => return,
                // The platform may tell that the instance left earlier than it said itself.
                () = changed => {}
            }
        }
    }

    /// Applies a new list to what depends on the local upstream: its number of slots and the
    /// instances that may not receive requests.
    fn apply_local_entries(&self, list: &VmList) {
        self.update_local_instances(|local| Some(local.apply(list)));
        self.local_instances_have_changed();
    }

    /// Applies a list and the policy in force to what depends on which daemons there are.
    fn apply_daemons(&self, list: &VmList) {
        let rules = self.config.rules.borrow().clone();
        let daemons = Daemons::of(&list.vms, rules.as_ref().map(|rules| &rules.policy));
        if let Some(repeats) = &self.repeats {
            let service = &self.settings.daemon.service;
            let instances = daemons.iter().filter(|daemon| daemon.serves(service));
            repeats.lock().set_instances(instances.count());
        }
        *self.daemons.lock() = Arc::new(daemons);
    }

    fn log_listing_changes(&self, previous: &VmList, list: &VmList) {
        let now = self.clock.now();
        for (instance, listing) in listing_changes(previous, list) {
            let decision = Decision::Listed { instance, listing, list: list.version };
            self.decisions.write(now, None, &decision);
        }
    }

    /// Reports closed connections to peers to the router until the process ends.
    pub async fn follow_peers(self: Arc<Self>) {
        let Some(mut ended) = self.ended_peers.lock().take() else { return };
        while let Some(peer) = ended.recv().await {
            self.router.lock().disconnected(self.clock.now(), peer);
        }
    }

    /// Applies each new list of VMs until the source of lists is closed.
    pub async fn follow_vms(self: Arc<Self>) {
        let mut vms: watch::Receiver<_> = self.config.vms.clone();
        let mut rules: watch::Receiver<_> = self.config.rules.clone();
        let mut previous: Option<Arc<VmList>> = None;
        loop {
            let list = vms.borrow_and_update().clone();
            rules.mark_unchanged();
            if let Some(list) = list {
                if let Some(previous) = previous.replace(list.clone()) {
                    self.log_listing_changes(&previous, &list);
                }
                self.router.lock().apply(self.clock.now(), &list);
                self.apply_local_entries(&list);
                self.apply_daemons(&list);
                if self.is_told_to_leave(&list) {
                    self.lifecycle.leave(DrainCause::Platform);
                }
            }
            loop {
                tokio::select! {
                    changed = vms.changed() => match changed {
                        Ok(()) => break,
                        Err(_) => return,
                    },
                    // Another version may name other services.
                    Ok(()) = rules.changed() => {
                        if let Some(list) = &previous {
                            self.apply_daemons(list);
                        }
                    }
                }
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
        // The upstream states its number of slots and queues requests beyond it,
        // so a refusal below that number has another cause than load.
        cfg.limit = LimitPolicy::Slots;
    }
    if let Some(entries) = settings.admission.queue {
        cfg.queue_entries = entries as usize;
    }
    cfg
}

fn issuer_config(settings: &IdempotencySettings) -> IssuerConfig {
    let default = IssuerConfig::default();
    let blocks = settings.window.div_ceil(default.block_len.get());
    IssuerConfig {
        blocks_max: NonZeroU32::new(blocks).unwrap_or(default.blocks_max),
        running_max: settings.running as usize,
        answer_bytes_max: usize::try_from(settings.answer_bytes).unwrap_or(usize::MAX),
        ..default
    }
}
