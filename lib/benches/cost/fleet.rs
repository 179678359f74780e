//! Two daemons, the upstream of one of them and a platform, as processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use endivescale_testutils::error::StandInError;
use endivescale_testutils::http::Client;
use endivescale_testutils::http::full;
use endivescale_testutils::place::Place;
use endivescale_testutils::platform::ListedVm;
use endivescale_testutils::process::Program;
use endivescale_testutils::process::free_addrs;
use endivescale_testutils::process::wait_until;
use endivescale_testutils::program;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt as _;

/// Longest time that a process may take to become ready.
const READY_CAP: Duration = Duration::from_secs(30);

/// Clock ticks a second that the system counts processor time in.
const TICKS_PER_SECOND: f64 = 100.0;

/// Size of a page of memory, in KiB.
const PAGE_KIB: f64 = 4.0;

/// Rules that are in force at the start.
pub(crate) const RULES: &str = "\
listings GET /wait/** criticality=deferrable weight=1 retries=0 deadline=60s wait  # asked by the bench
listings GET /** criticality=normal weight=2 retries=1 deadline=5s  # asked by the bench
listings POST /** criticality=critical weight=10 non-idempotent retries=1 deadline=5s  # asked by the bench
";

/// The processes; dropping it ends them.
pub(crate) struct Fleet {
    pub(crate) entry: Place,
    pub(crate) owner: Place,
    pub(crate) platform: SocketAddr,
    pub(crate) client: Client,
    daemons: [Program; 2],
    upstream: Program,
    _platform: Program,
    _dir: tempfile::TempDir,
}

/// One of the measured processes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Process {
    Entry,
    Owner,
    Upstream,
}

impl Fleet {
    /// Starts everything and waits until the path answers.
    pub(crate) async fn start() -> Result<Self, StandInError> {
        let dir = tempfile::TempDir::new().expect("a temporary folder can be made");
        let entry = Place::new("archive", 'a', 40, 320);
        let owner = Place::new("listings", 'b', 40, 320);
        let platform = free_addrs(1)[0];
        let rules = dir.path().join("rules").display().to_string();
        program::write(&rules, RULES)?;
        let args = ["--listen", &platform.to_string(), "--rules", &rules];
        let platform_program = Program::start(&built("standin-platform"), &args)?;
        let upstream = start_upstream(&owner)?;
        let client = Client::default();
        wait_until("platform", READY_CAP, async || {
            client.fetch(platform, "GET", "/admin/calls", "").await.is_ok()
        })
        .await?;
        let listed: Vec<ListedVm> = [&entry, &owner].map(|place| place.listed("live")).into();
        publish(&client, platform, &listed).await?;
        let daemon = |place: &Place| -> Result<Program, StandInError> {
            let path = dir.path().join(format!("{}.toml", place.instance)).display().to_string();
            program::write(&path, &place.settings(platform, "1s"))?;
            Program::start(&built("endivescaled"), &["--settings", &path])
        };
        let daemons = [daemon(&entry)?, daemon(&owner)?];
        let fleet = Self {
            entry,
            owner,
            platform,
            client,
            daemons,
            upstream,
            _platform: platform_program,
            _dir: dir,
        };
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn wait_ready(&self) -> Result<(), StandInError> {
        wait_until("path", READY_CAP, async || {
            let answered = self.call(self.entry.caller, "GET", "/calls", None).await;
            answered.is_ok_and(|(status, _)| status.is_success())
        })
        .await
    }

    /// Sends one request and reads its whole answer.
    pub(crate) async fn call(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        token: Option<&http::HeaderValue>,
    ) -> Result<(StatusCode, HeaderMap), StandInError> {
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "listings")
            .header("x-mark", "bench")
            .header("x-answer-bytes", "512");
        if let Some(token) = token {
            req = req.header("endivescale-token", token);
        }
        let req = req.body(full("")).expect("the request is well formed");
        let (rsp, busy) = self.client.send(addr, req).await?;
        let (parts, body) = rsp.into_parts();
        let whole = body.collect().await;
        if whole.is_ok() {
            busy.keep();
        }
        Ok((parts.status, parts.headers))
    }

    /// Changes what the upstream does.
    pub(crate) async fn set_service_ms(&self, service_ms: u64) -> Result<(), StandInError> {
        let body = format!("{{\"service_ms\":{service_ms}}}");
        let admin = self.owner.admin;
        self.client.fetch(admin, "PUT", "/admin/behaviour", body).await.map(drop)
    }

    /// Publishes rules and waits until the entry has them in force.
    pub(crate) async fn put_rules(&self, rules: String) -> Result<(), StandInError> {
        let last = rules.lines().last().unwrap_or_default().to_owned();
        self.client.fetch(self.platform, "PUT", "/admin/rules", rules).await?;
        wait_until("rules", READY_CAP, async || {
            let fetched = self.client.fetch(self.entry.operator, "GET", "/rules", "").await;
            let marker = last.split_whitespace().nth(2).unwrap_or_default().to_owned();
            fetched.is_ok_and(|(_, body)| String::from_utf8_lossy(&body).contains(&marker))
        })
        .await
    }

    /// Returns the processor time that a process has used, in seconds.
    pub(crate) fn processor_seconds(&self, process: Process) -> f64 {
        let text = proc_file(self.pid(process), "stat");
        let after_name = text.rsplit(')').next().unwrap_or_default();
        let fields: Vec<f64> =
            after_name.split_whitespace().filter_map(|field| field.parse().ok()).collect();
        // The state is no number, so user and system time are the 11th and 12th.
        (fields[10] + fields[11]) / TICKS_PER_SECOND
    }

    /// Returns the resident memory of a process, in KiB.
    pub(crate) fn resident_kib(&self, process: Process) -> f64 {
        let text = proc_file(self.pid(process), "statm");
        let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
        pages.unwrap_or_default() * PAGE_KIB
    }

    fn pid(&self, process: Process) -> u32 {
        match process {
            Process::Entry => self.daemons[0].id(),
            Process::Owner => self.daemons[1].id(),
            Process::Upstream => self.upstream.id(),
        }
    }
}

fn proc_file(pid: u32, name: &str) -> String {
    std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default()
}

async fn publish(
    client: &Client,
    platform: SocketAddr,
    listed: &[ListedVm],
) -> Result<(), StandInError> {
    let body = program::print(&listed)?;
    client.fetch(platform, "PUT", "/admin/vms", body).await.map(drop)
}

fn start_upstream(place: &Place) -> Result<Program, StandInError> {
    let (listen, admin) = (place.upstream.to_string(), place.admin.to_string());
    let args = [
        "--listen",
        &listen,
        "--admin",
        &admin,
        "--slots",
        "40",
        "--behaviour",
        "{\"service_ms\":0}",
    ];
    Program::start(&built("standin-upstream"), &args)
}

/// Returns a program that the workspace has built in this profile.
fn built(name: &str) -> PathBuf {
    let this = std::env::current_exe().unwrap_or_default();
    let folder = this.parent().and_then(|deps| deps.parent()).map(PathBuf::from);
    folder.unwrap_or_default().join(name)
}
