//! Runs daemons as child processes, with upstreams and a platform inside the test process.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use endivescale_testutils::headers::MARK;
use endivescale_testutils::http::Client;
use endivescale_testutils::http::full;
use endivescale_testutils::place::Place;
use endivescale_testutils::platform::Platform;
use endivescale_testutils::process::Program;
use endivescale_testutils::process::Signal;
use endivescale_testutils::process::wait_until;
use endivescale_testutils::program::ANY;
use endivescale_testutils::upstream::Upstream;
use endivescale_testutils::upstream::behaviour::Behaviour;
use endivescale_testutils::upstream::ledger::Entry;
use endivescale_testutils::upstream::ledger::State;
use http::Request;
use http_body_util::BodyExt as _;
use tempfile::TempDir;

/// Maximum duration of every wait for an event.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(60);

const PROBE_MARK: &str = "probe";

pub(crate) const RULES: &str = "\
listings GET /chain/** criticality=normal retries=3 deadline=30s wait  # asked by Bat-Erdene, help line
listings GET /** criticality=normal retries=1 deadline=30s wait  # asked by Bat-Erdene, help line
submission POST /expressions/** criticality=critical weight=10 non-idempotent retries=2 deadline=30s wait  # asked by Narantuya, review panel desk
submission GET /** criticality=normal retries=1 deadline=30s wait  # asked by Bat-Erdene, help line
";

/// Names of the services in the cluster.
pub(crate) const SERVICES: [&str; 2] = ["listings", "submission"];

/// Daemons running as child processes, with their upstreams and the platform.
pub(crate) struct TestCluster {
    pub(crate) platform: Platform,
    pub(crate) places: Vec<Place>,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) daemons: Vec<Program>,
    patience: String,
    dir: TempDir,
}

impl TestCluster {
    /// Starts two instances of each service and waits until all daemons serve.
    ///
    /// A stopping daemon waits up to `patience` for requests in progress.
    pub(crate) async fn start(patience: &str) -> Self {
        let platform = Platform::start(ANY).await.unwrap();
        platform.put_rules(None, RULES);
        let dir = TempDir::new().unwrap();
        let places: Vec<Place> = SERVICES
            .into_iter()
            .flat_map(|service| ['a', 'b'].map(|letter| Place::new(service, letter, 64, 512)))
            .collect();
        let mut upstreams = Vec::new();
        let mut daemons = Vec::new();
        for place in &places {
            let behaviour = Behaviour { daemon: Some(place.outbound), ..Behaviour::default() };
            let upstream = Upstream::start(place.upstream, place.admin, place.slots, behaviour);
            upstreams.push(upstream.await.unwrap());
            daemons.push(start_daemon(dir.path(), place, platform.addr(), patience));
        }
        let patience = patience.to_owned();
        let cluster = Self { platform, places, upstreams, daemons, patience, dir };
        cluster.publish_vms("live", |_| false);
        cluster.wait_ready().await;
        cluster
    }

    /// Kills a daemon and waits until its process has exited.
    pub(crate) async fn kill(&mut self, daemon: usize) {
        self.daemons[daemon].signal(Signal::Kill).unwrap();
        self.daemons[daemon].wait(MAX_WAIT).await.unwrap();
    }

    /// Restarts a killed daemon on the same addresses and waits until it serves.
    pub(crate) async fn restart(&mut self, daemon: usize) {
        let place = &self.places[daemon];
        let addr = self.platform.addr();
        self.daemons[daemon] = start_daemon(self.dir.path(), place, addr, &self.patience);
        self.wait_ready().await;
    }

    /// Restarts a killed daemon with its log lines of all levels going to `stdout`, and files
    /// that may grow to `file_size_limit` blocks of the shell at most.
    pub(crate) async fn restart_into(
        &mut self,
        daemon: usize,
        stdout: Stdio,
        file_size_limit: Option<u32>,
    ) {
        let place = &self.places[daemon];
        let settings = place.settings(self.platform.addr(), &self.patience);
        let path = self.dir.path().join(format!("{}.toml", place.instance));
        std::fs::write(&path, settings.replace("level = \"warn\"", "level = \"debug\"")).unwrap();
        let limit = file_size_limit.map_or_else(|| "unlimited".to_owned(), |max| max.to_string());
        let script = format!("ulimit -f {limit}; exec \"$0\" --settings \"$1\"");
        let program = env!("CARGO_BIN_EXE_endivescaled");
        let args = ["-c", &script, program, &path.display().to_string()];
        self.daemons[daemon] = Program::start_into(Path::new("sh"), &args, stdout).unwrap();
        self.wait_ready().await;
    }

    /// Publishes the VM list, with `state` for the VMs that `changed` selects and
    /// `live` for all others.
    pub(crate) fn publish_vms(&self, state: &str, changed: impl Fn(&Place) -> bool) {
        let listed = |place| Place::listed(place, if changed(place) { state } else { "live" });
        self.platform.put_vms(&self.places.iter().map(listed).collect::<Vec<_>>());
    }

    /// Waits until at least `number` requests, not counting readiness probes, are
    /// running across all upstreams.
    pub(crate) async fn wait_running(&self, number: usize) {
        wait_until("requests in progress", MAX_WAIT, async || {
            let running = |entry: &Entry| entry.state == State::Running;
            self.entries().iter().filter(|entry| running(entry)).count() >= number
        })
        .await
        .unwrap();
    }

    /// Returns the ledger entries of all upstreams, without readiness probes.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        let entries = self.upstreams.iter().flat_map(Upstream::entries);
        entries.filter(|entry| entry.mark != PROBE_MARK).collect()
    }

    async fn wait_ready(&self) {
        let client = Client::default();
        for place in &self.places {
            for service in SERVICES {
                wait_until(&place.instance, MAX_WAIT, async || {
                    probe(&client, place.caller, service).await.unwrap_or(false)
                })
                .await
                .unwrap();
            }
        }
    }
}

fn start_daemon(dir: &Path, place: &Place, platform: SocketAddr, patience: &str) -> Program {
    let path = dir.join(format!("{}.toml", place.instance));
    std::fs::write(&path, place.settings(platform, patience)).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_endivescaled"));
    Program::start(program, &["--settings", &path.display().to_string()]).unwrap()
}

async fn probe(
    client: &Client,
    addr: SocketAddr,
    service: &str,
) -> Result<bool, endivescale_testutils::error::StandInError> {
    let req = Request::get("/").header("host", service).header(MARK, PROBE_MARK);
    let (rsp, busy) = client.send(addr, req.body(full("")).unwrap()).await?;
    let succeeded = rsp.status().is_success();
    if rsp.into_body().collect().await.is_ok() {
        busy.keep();
    }
    Ok(succeeded)
}
