//! Runs the configuration component of several daemons in one process, with
//! real sockets and a fake platform.

use std::net::SocketAddr;
use std::time::Duration;

use endivescale::process::config::ConfigHandle;
use endivescale::process::config::ConfigOptions;
use endivescale::process::config::Fault;
use endivescale::process::config::spawn;
use endivescale::process::routing::Place;
use endivescale_testutils::platform::ListedVm;
use endivescale_testutils::platform::Platform;
use tokio::net::TcpListener;

/// Timeout for conditions that must come true; much longer than they take.
pub(crate) const CAP: Duration = Duration::from_secs(60);

/// Configuration component of one daemon; its `handle` is `None` while it is down.
pub(crate) struct Node {
    pub(crate) place: Place,
    pub(crate) control: SocketAddr,
    pub(crate) handle: Option<ConfigHandle>,
    fault: Option<Fault>,
}

impl Node {
    /// Returns the version and text of the rules in force.
    pub(crate) fn rules(&self) -> Option<(u64, String)> {
        let rules = self.handle.as_ref()?.rules.borrow().clone()?;
        Some((rules.version(), rules.text.to_string()))
    }

    /// Returns the version of the rules in force, or 0 if there are none.
    pub(crate) fn version(&self) -> u64 {
        self.rules().map_or(0, |(version, _)| version)
    }

    /// Returns whether the node is up and may act on its configuration.
    pub(crate) fn is_ready(&self) -> bool {
        self.handle.as_ref().is_some_and(ConfigHandle::is_ready)
    }

    /// Returns the value of the named counter, or 0 if there is none.
    pub(crate) fn count(&self, name: &str) -> u64 {
        let counters = self.handle.as_ref().map(|handle| handle.counters.snapshot());
        let found = counters.and_then(|counters| counters.into_iter().find(|(n, _)| *n == name));
        found.map_or(0, |(_, count)| count)
    }

    /// Stops the node without notifying its peers.
    pub(crate) fn kill(&mut self) {
        self.handle = None;
    }

    /// Restarts the node at the same address with empty state.
    pub(crate) async fn restart(&mut self, platform: SocketAddr, seed: u64) {
        let listener = loop {
            // The killed node's tasks hold the port until they end.
            match TcpListener::bind(self.control).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        };
        self.handle = Some(start_config(&self.place, platform, listener, seed, self.fault));
    }
}

fn start_config(
    place: &Place,
    platform: SocketAddr,
    control: TcpListener,
    seed: u64,
    fault: Option<Fault>,
) -> ConfigHandle {
    spawn(ConfigOptions {
        here: place.clone(),
        platform,
        control,
        start_jitter: Duration::ZERO,
        seed,
        fault,
    })
}

/// Binds a listener for each of `count` nodes in three availability zones.
pub(crate) async fn listeners(count: usize) -> Vec<(Place, TcpListener)> {
    let mut listeners = Vec::new();
    for n in 0..count {
        let zone = ["x1", "x2", "y1"][n % 3];
        let instance = format!("svc-{zone}-{n}").as_str().into();
        let place = Place { instance, zone: zone.into(), region: zone[..1].into() };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        listeners.push((place, listener));
    }
    listeners
}

/// Returns the entry of a daemon in the platform's VM list.
pub(crate) fn listed(place: &Place, control: SocketAddr) -> ListedVm {
    ListedVm {
        instance: place.instance.to_string(),
        service: "svc".to_owned(),
        zone: place.zone.to_string(),
        region: place.region.to_string(),
        peer: control,
        control,
        state: "live".to_owned(),
    }
}

/// Starts `count` nodes, assigned to the platforms round-robin, and publishes
/// the VM list on every platform.
pub(crate) async fn fleet(
    count: usize,
    platforms: &[&Platform],
    fault: Option<Fault>,
) -> Vec<Node> {
    let listeners = listeners(count).await;
    let address = |listener: &TcpListener| listener.local_addr().expect("it is bound");
    let vms: Vec<_> =
        listeners.iter().map(|(place, listener)| listed(place, address(listener))).collect();
    for platform in platforms {
        platform.put_vms(&vms);
    }
    start_all(listeners, platforms, fault)
}

/// Starts a node on each listener, assigned to the platforms round-robin.
pub(crate) fn start_all(
    listeners: Vec<(Place, TcpListener)>,
    platforms: &[&Platform],
    fault: Option<Fault>,
) -> Vec<Node> {
    let nodes = listeners.into_iter().enumerate().map(|(n, (place, listener))| {
        let platform = platforms[n % platforms.len()].addr();
        let control = listener.local_addr().expect("it is bound");
        let handle = Some(start_config(&place, platform, listener, n as u64, fault));
        Node { place, control, handle, fault }
    });
    nodes.collect()
}

/// Waits until a condition holds, and panics after [`CAP`].
pub(crate) async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + CAP;
    while !condition() {
        assert!(tokio::time::Instant::now() < deadline, "never came true: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns whether a condition comes true within `patience`.
pub(crate) async fn is_true_within(patience: Duration, condition: impl Fn() -> bool) -> bool {
    let deadline = tokio::time::Instant::now() + patience;
    while !condition() && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    condition()
}

/// Starts a fake platform on a free port.
pub(crate) async fn platform() -> Platform {
    let address = "127.0.0.1:0".parse().expect("an address");
    Platform::start(address).await.expect("a free port")
}

/// Returns the text of a rule set whose comment contains `mark`.
pub(crate) fn rules(mark: &str) -> String {
    format!(
        "submission POST /expressions/** criticality=critical weight=10 non-idempotent \
         retries=2 deadline=2s no-wait  # asked by {mark}, review panel desk\n"
    )
}
