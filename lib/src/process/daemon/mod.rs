//! The daemon: its listeners, its background tasks and its graceful stop.

mod stop;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderName;
use http::Request;
use http::Response;
use http::StatusCode;
use snafu::OptionExt as _;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tower::ServiceBuilder;
use tower::service_fn;

pub use self::stop::LAST_LINES_TIME;
use crate::connection::body;
use crate::connection::body::RelayBody;
use crate::connection::listener;
use crate::connection::listener::BindError;
use crate::connection::listener::ListenerOptions;
use crate::connection::listener::OnMalformed;
use crate::connection::listener::Protocol;
use crate::connection::pipeline::ConnectionCx;
use crate::connection::pipeline::Discards;
use crate::connection::pipeline::OnCut;
use crate::connection::strip::OnStripped;
use crate::connection::strip::StripLayer;
use crate::process::catalog;
use crate::process::catalog::Catalog;
use crate::process::catalog::CatalogOptions;
use crate::process::catalog::RelayOptions;
use crate::process::config;
use crate::process::config::ConfigHandle;
use crate::process::config::ConfigOptions;
use crate::process::log;
use crate::process::log::Decision;
use crate::process::log::StateChange;
use crate::process::metrics::Counter;
use crate::process::metrics::Metrics;
use crate::process::metrics::StatsdError;
use crate::process::node::Node;
use crate::process::resources::CutCause;
use crate::process::routing::Place;
use crate::process::settings::Settings;
use crate::process::settings::SettingsChange;
use crate::process::status;
use crate::request;
use crate::request::dialect::Dialect;
use crate::request::dialect::NativeDialect;
use crate::request::serve;

/// Interval between two checks for a pause of the process.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest gap between two checks that counts as a pause.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Headers of this project that are accepted from the local upstream; others are
/// removed.
static UPSTREAM_HEADERS: [HeaderName; 3] = [request::CONTEXT, request::TOKEN, request::DEADLINE_MS];

/// Factor by which a head may exceed the limit of the settings and is still refused with a reason.
const HEAD_SLACK: usize = 4;
/// Longest head of an operator's request or of a readiness check, in bytes.
const INTERNAL_HEAD_BYTES: usize = 16 * 1024;

/// Interval at which counters are sent to statsd.
const METRICS_INTERVAL: Duration = Duration::from_secs(10);

/// Error that prevents a daemon from starting.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener's address cannot be bound.
    #[snafu(display("cannot start the {listener} listener"))]
    Bind {
        /// Key of the listener in the settings.
        listener: &'static str,
        /// Why the address cannot be bound.
        source: BindError,
    },
    /// The control listener is missing, which is required unless a catalog
    /// supplies the configuration.
    #[snafu(display("listen.control is not set, but is required without an adapter"))]
    NoControl,
    /// The statsd client cannot be created.
    #[snafu(display("cannot send counters to statsd"))]
    Metrics {
        /// Why the client cannot be created.
        source: StatsdError,
    },
}

/// Addresses that a running daemon listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address for requests of outside callers.
    pub caller: SocketAddr,
    /// Address for the local upstream's own calls.
    pub upstream: SocketAddr,
    /// Address for requests of other daemons.
    pub peer: SocketAddr,
    /// Address for control messages of other daemons.
    pub control: Option<SocketAddr>,
    /// Address for requests of operators.
    pub operator: SocketAddr,
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// The settings as last loaded; the node keeps those from the start.
    settings: Settings,
    node: Arc<Node>,
    addresses: Addresses,
    /// Stops the listener for outside callers.
    stop_callers: CancellationToken,
    /// Stops the listener for other daemons.
    stop_peers: CancellationToken,
    /// Stops the listeners that are needed until no request is in progress: for
    /// the local upstream, operators and readiness checks.
    stop_internal: CancellationToken,
    callers: JoinSet<()>,
    peers: JoinSet<()>,
    internal: JoinSet<()>,
    background: JoinSet<()>,
}

/// Interfaces of a daemon to its environment: this project's own by default, or
/// those of a foreign platform.
#[derive(Debug)]
pub struct Interfaces {
    /// Interface to callers and the local upstream.
    pub dialect: Arc<dyn Dialect>,
    /// Source of the configuration that the platform publishes; if `None`, the
    /// daemon uses this project's own configuration service.
    pub catalog: Option<Arc<dyn Catalog>>,
}

impl Default for Interfaces {
    fn default() -> Self {
        Self { dialect: Arc::new(NativeDialect), catalog: None }
    }
}

struct Listeners {
    caller: TcpListener,
    upstream: Option<TcpListener>,
    peer: TcpListener,
    control: Option<TcpListener>,
    operator: TcpListener,
    ready: Option<TcpListener>,
}

impl Daemon {
    /// Opens the listeners and starts to serve, with the default interfaces.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, the control listener is missing or
    /// the statsd client cannot be created.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        Self::start_with(settings, Interfaces::default()).await
    }

    /// Opens the listeners and starts to serve, with the given interfaces.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, the control listener is missing
    /// without a catalog, or the statsd client cannot be created.
    pub async fn start_with(
        settings: Settings,
        interfaces: Interfaces,
    ) -> Result<Self, StartError> {
        let metrics = Metrics::new(settings.metrics.statsd).context(MetricsSnafu)?;
        let mut listeners = Listeners::bind(&settings).await?;
        let addresses = listeners.addresses();
        let config = follow_config(&settings, interfaces.catalog, listeners.control.take())?;
        let node = Node::new(settings, addresses.peer, interfaces.dialect, metrics, config);
        let mut daemon = Self {
            settings: node.settings.clone(),
            node,
            addresses,
            stop_callers: CancellationToken::new(),
            stop_peers: CancellationToken::new(),
            stop_internal: CancellationToken::new(),
            callers: JoinSet::new(),
            peers: JoinSet::new(),
            internal: JoinSet::new(),
            background: JoinSet::new(),
        };
        daemon.log_cut_clients();
        daemon.serve_callers(listeners.caller);
        daemon.serve_peers(listeners.peer);
        if let Some(upstream) = listeners.upstream {
            daemon.serve_upstream(upstream);
        }
        daemon.serve_operators(listeners.operator);
        if let Some(ready) = listeners.ready {
            daemon.serve_ready(ready);
        }
        daemon.spawn_background();
        log::write(&StateChange::Started {
            instance: daemon.node.settings.daemon.instance.clone(),
            incarnation: daemon.node.incarnation,
        });
        Ok(daemon)
    }

    /// Returns the state that all requests share.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Returns the addresses that the daemon listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Applies reloaded settings, as far as they take effect without a restart.
    pub fn reload(&mut self, settings: &Settings) {
        let change = SettingsChange::between(&self.settings, settings);
        if change.is_empty() {
            return;
        }
        log::set_level(settings.log.level);
        if let (Some(repeats), Some(bound)) = (&self.node.repeats, &settings.repeats) {
            repeats.lock().set_bound(bound.ratio, bound.slack);
        }
        self.settings = settings.clone();
        log::write(&StateChange::SettingsReloaded { change });
    }

    fn serve_callers(&mut self, listener: TcpListener) {
        let node = Arc::clone(&self.node);
        let service = ServiceBuilder::new()
            .layer(StripLayer::new(self.node.dialect.caller_headers(), self.count_stripped()))
            .service(service_fn(move |req| serve::serve_caller(Arc::clone(&node), req)));
        let stop = self.stop_callers.clone();
        let on_malformed = self.count_malformed();
        let plan = *self.node.clients.plan();
        if self.node.settings.adapter.is_some() {
            let node = Arc::clone(&self.node);
            let limits = Arc::new(move || node.connection_limits());
            let (on_cut, discards) = (self.log_cut_responses(), Discards::new());
            let memory = self.node.pipelined_memory.clone();
            let clients = Arc::clone(&self.node.clients);
            let stall_timeout = self.node.settings.limits.stall_timeout;
            let cx = ConnectionCx {
                limits,
                on_malformed,
                on_cut,
                memory,
                discards,
                clients,
                stall_timeout,
                stop,
            };
            self.callers.spawn(listener::serve_pipelined(listener, service, cx));
            return;
        }
        let options = self.listener_options(Protocol::Http1, plan.client_connections / 2);
        self.callers.spawn(listener::serve(listener, options, service, stop, on_malformed));
    }

    fn serve_peers(&mut self, listener: TcpListener) {
        let node = Arc::clone(&self.node);
        let service = service_fn(move |req| serve::serve_peer(Arc::clone(&node), req));
        let stop = self.stop_peers.clone();
        let malformed = self.count_malformed();
        let options =
            self.listener_options(Protocol::Http2, self.node.clients.plan().peer_connections);
        self.peers.spawn(listener::serve(listener, options, service, stop, malformed));
    }

    fn serve_upstream(&mut self, listener: TcpListener) {
        let node = Arc::clone(&self.node);
        let service = ServiceBuilder::new()
            .layer(StripLayer::new(&UPSTREAM_HEADERS, self.count_stripped()))
            .service(service_fn(move |req| serve::serve_upstream(Arc::clone(&node), req)));
        let stop = self.stop_internal.clone();
        let malformed = self.count_malformed();
        let connections = self.node.clients.plan().client_connections / 2;
        let options = self.listener_options(Protocol::Http1, connections);
        self.internal.spawn(listener::serve(listener, options, service, stop, malformed));
    }

    fn serve_operators(&mut self, listener: TcpListener) {
        let node = Arc::clone(&self.node);
        let service = service_fn(move |req: Request<RelayBody>| {
            let rsp = status::serve(&*node, &req);
            async move { Ok::<_, Infallible>(rsp) }
        });
        let stop = self.stop_internal.clone();
        let malformed = self.count_malformed();
        let options = self.internal_listener_options();
        self.internal.spawn(listener::serve(listener, options, service, stop, malformed));
    }

    /// Serves the platform's readiness checks, which fail while the daemon
    /// accepts no requests.
    fn serve_ready(&mut self, listener: TcpListener) {
        let node = Arc::clone(&self.node);
        let service = service_fn(move |_: Request<RelayBody>| {
            let mut rsp = Response::new(body::empty());
            if !node.accepts_requests() {
                *rsp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            async move { Ok::<_, Infallible>(rsp) }
        });
        let stop = self.stop_internal.clone();
        let malformed = self.count_malformed();
        let options = self.internal_listener_options();
        self.internal.spawn(listener::serve(listener, options, service, stop, malformed));
    }

    /// Returns the options of a listener for requests to upstreams.
    fn listener_options(&self, protocol: Protocol, max_connections: usize) -> ListenerOptions {
        let max_head_bytes = HEAD_SLACK * self.node.settings.limits.head_bytes as usize;
        let window = self.node.clients.plan().request_window;
        ListenerOptions { protocol, max_connections, max_head_bytes, window }
    }

    /// Returns the options of the listeners of operators and readiness checks.
    fn internal_listener_options(&self) -> ListenerOptions {
        let max_connections = self.node.clients.plan().internal_connections;
        let max_head_bytes = INTERNAL_HEAD_BYTES;
        ListenerOptions { protocol: Protocol::Http1, max_connections, max_head_bytes, window: 0 }
    }

    fn count_malformed(&self) -> OnMalformed {
        let node = Arc::clone(&self.node);
        Arc::new(move || node.metrics.count(Counter::MalformedInput))
    }

    /// Reports the connections of callers that are ended.
    fn log_cut_clients(&self) {
        let node = Arc::downgrade(&self.node);
        self.node.clients.report_to(Box::new(move |cut, cause| {
            let Some(node) = node.upgrade() else { return };
            node.metrics.count(match cause {
                CutCause::Memory => Counter::ClientsCutForMemory,
                CutCause::Connections => Counter::ClientsCutForConnections,
                CutCause::Stalled => Counter::ClientsCutStalled,
            });
            let decision = Decision::ClientCut { cut, cause };
            node.decisions.write(node.clock.now(), None, &decision);
        }));
    }

    fn log_cut_responses(&self) -> OnCut {
        let node = Arc::clone(&self.node);
        Arc::new(move |reason, behind| {
            let decision = Decision::ResponseCut { reason, behind };
            node.decisions.write(node.clock.now(), None, &decision);
        })
    }

    fn count_stripped(&self) -> OnStripped {
        let node = Arc::clone(&self.node);
        Arc::new(move || node.metrics.count(Counter::StrippedHeaders))
    }

    fn spawn_background(&mut self) {
        self.background.spawn(Arc::clone(&self.node.gate).run_timer());
        self.background.spawn(Arc::clone(&self.node).follow_vms());
        self.background.spawn(Arc::clone(&self.node).follow_peers());
        self.background.spawn(serve::gossip_crashes(Arc::clone(&self.node)));
        self.background.spawn(serve::report_usage(Arc::clone(&self.node)));
        self.background.spawn(flush_metrics(Arc::clone(&self.node)));
        self.background.spawn(watch_pauses(Arc::clone(&self.node)));
    }
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Self, StartError> {
        let listen = &settings.listen;
        let ready = settings.adapter.as_ref().map(|adapter| adapter.ready);
        Ok(Self {
            caller: bind("caller", listen.caller).await?,
            upstream: bind_if_set("upstream", listen.upstream).await?,
            peer: bind("peer", listen.peer).await?,
            control: bind_if_set("control", listen.control).await?,
            operator: bind("operator", listen.operator).await?,
            ready: bind_if_set("ready", ready).await?,
        })
    }

    fn addresses(&self) -> Addresses {
        let local = |listener: &TcpListener| {
            listener.local_addr().expect("a bound listener has a local address")
        };
        Addresses {
            caller: local(&self.caller),
            upstream: local(self.upstream.as_ref().unwrap_or(&self.caller)),
            peer: local(&self.peer),
            control: self.control.as_ref().map(local),
            operator: local(&self.operator),
        }
    }
}

async fn bind(listener: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    listener::bind(address).await.context(BindSnafu { listener })
}

async fn bind_if_set(
    listener: &'static str,
    address: Option<SocketAddr>,
) -> Result<Option<TcpListener>, StartError> {
    match address {
        Some(address) => bind(listener, address).await.map(Some),
        None => Ok(None),
    }
}

/// Starts to follow the configuration: from the catalog if there is one, else
/// from this project's configuration service and other daemons.
fn follow_config(
    settings: &Settings,
    catalog: Option<Arc<dyn Catalog>>,
    control: Option<TcpListener>,
) -> Result<ConfigHandle, StartError> {
    let seed = rand::random();
    if let Some(catalog) = catalog {
        let relay =
            control.map(|listener| RelayOptions { listener, zone: settings.daemon.zone.clone() });
        return Ok(catalog::spawn(CatalogOptions {
            catalog,
            upstream: settings.upstream.address,
            service: settings.daemon.service.clone(),
            seed,
            relay,
            withdrawal: settings.customers.withdrawal,
        }));
    }
    let control = control.context(NoControlSnafu)?;
    Ok(config::spawn(ConfigOptions {
        here: Place {
            instance: settings.daemon.instance.clone(),
            zone: settings.daemon.zone.clone(),
            region: settings.daemon.region.clone(),
        },
        platform: settings.platform.address,
        control,
        start_jitter: ConfigOptions::DEFAULT_START_JITTER,
        seed,
        fault: None,
    }))
}

/// Periodically sends counters to statsd and logs how many lines were left out or lost.
async fn flush_metrics(node: Arc<Node>) {
    loop {
        tokio::time::sleep(METRICS_INTERVAL).await;
        node.metrics.flush();
        node.decisions.flush(node.clock.now());
        node.log_repeats();
        node.report_lost_lines();
    }
}

/// Detects pauses of the process, after which observations of other daemons are
/// out of date.
async fn watch_pauses(node: Arc<Node>) {
    let mut last = Instant::now();
    loop {
        tokio::time::sleep(PAUSE_CHECK_INTERVAL).await;
        let gap = last.elapsed();
        last = Instant::now();
        if gap >= PAUSE_THRESHOLD {
            log::write(&StateChange::PauseNoticed { gap });
            node.metrics.count(Counter::Pauses);
            node.router.lock().mark_stale(node.clock.now());
        }
    }
}
