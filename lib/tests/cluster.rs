//! Daemons in this process beside stand-ins, for the tests of the whole path.

use std::net::SocketAddr;
use std::time::Duration;

use endivescale::process::daemon::Daemon;
use endivescale::process::settings::Settings;
use endivescale_testutils::error::StandInError;
use endivescale_testutils::headers::MARK;
use endivescale_testutils::http::Client;
use endivescale_testutils::http::full;
use endivescale_testutils::place::Place;
use endivescale_testutils::platform::ListedVm;
use endivescale_testutils::platform::Platform;
use endivescale_testutils::process::wait_until;
use endivescale_testutils::program::ANY;
use endivescale_testutils::upstream::Upstream;
use endivescale_testutils::upstream::behaviour::Behaviour;
use endivescale_testutils::upstream::behaviour::OwnCall;
use endivescale_testutils::upstream::ledger::Entry;
use endivescale_testutils::upstream::ledger::State;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::request;
use http_body_util::BodyExt;

/// Cap of every wait for an event.
pub(crate) const CAP: Duration = Duration::from_secs(30);

const PROBE: &str = "probe";

/// Rules of the services that the tests of the whole path use.
pub(crate) const RULES: &str = "\
submission POST /expressions/** criticality=critical weight=10 non-idempotent retries=2 deadline=20s wait  # asked by Narantuya, review panel desk
listings,submission,archive,matching GET /** criticality=normal retries=1 deadline=20s wait  # asked by Bat-Erdene, help line
matching POST /match/** criticality=critical idempotent retries=2 deadline=20s wait  # asked by Narantuya, review panel desk
";

/// One daemon with its upstream.
pub(crate) struct Instance {
    pub(crate) place: Place,
    pub(crate) upstream: Upstream,
    pub(crate) daemon: Option<Daemon>,
}

/// Daemons, their upstreams and the platform.
pub(crate) struct Cluster {
    pub(crate) platform: Platform,
    pub(crate) instances: Vec<Instance>,
}

/// An answer read to its end, or to where it broke off.
#[derive(Debug)]
pub(crate) struct Read {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) whole: bool,
    pub(crate) body: Vec<u8>,
}

impl Cluster {
    /// Starts `number` instances of each service and waits until all serve.
    pub(crate) async fn start(services: &[&str], number: usize, slots: usize) -> Self {
        let platform = Platform::start(ANY).await.unwrap();
        platform.put_rules(None, &rules_for(services));
        let mut instances = Vec::new();
        for service in services {
            for letter in ('a'..).take(number) {
                let place = Place::new(service, letter, slots, slots * 8);
                instances.push(Instance::start(place, platform.addr()).await);
            }
        }
        let cluster = Self { platform, instances };
        cluster.list("live", |_| false);
        cluster.wait_ready(services).await;
        cluster
    }

    /// Publishes the list of VMs; those that `changed` picks get `state`.
    pub(crate) fn list(&self, state: &str, changed: impl Fn(&Place) -> bool) {
        let places = self.instances.iter().map(|instance| &instance.place);
        let vms: Vec<ListedVm> =
            places.map(|place| place.listed(if changed(place) { state } else { "live" })).collect();
        self.platform.put_vms(&vms);
    }

    /// Addresses for outside callers.
    pub(crate) fn entries(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.place.caller).collect()
    }

    /// Upstreams of a service.
    pub(crate) fn upstreams<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        let served = self.instances.iter().filter(move |it| it.place.service == service);
        served.map(|instance| &instance.upstream)
    }

    /// Ledger entries of all upstreams, once none of them is running.
    pub(crate) async fn ended_entries(&self) -> Vec<Entry> {
        wait_until("end of all work", CAP, async || {
            self.entries_so_far().iter().all(|entry| entry.state != State::Running)
        })
        .await
        .unwrap();
        self.entries_so_far()
    }

    /// Ledger entries of all upstreams, without the probes.
    pub(crate) fn entries_so_far(&self) -> Vec<Entry> {
        let entries = self.instances.iter().flat_map(|instance| instance.upstream.entries());
        entries.filter(|entry| entry.mark != PROBE).collect()
    }

    async fn wait_ready(&self, services: &[&str]) {
        let client = Client::default();
        for entry in self.entries() {
            for service in services {
                wait_until(service, CAP, async || {
                    let req = Request::get("/").header("host", *service).header(MARK, PROBE);
                    ask(&client, entry, req).await.is_ok_and(|read| read.status.is_success())
                })
                .await
                .unwrap();
            }
        }
    }
}

impl Instance {
    async fn start(place: Place, platform: SocketAddr) -> Self {
        let behaviour = Behaviour { daemon: Some(place.outbound), ..Behaviour::default() };
        let upstream =
            Upstream::start(place.upstream, place.admin, place.slots, behaviour).await.unwrap();
        let settings = Settings::parse("test.toml", &place.settings(platform, "60s")).unwrap();
        let daemon = Daemon::start(settings).await.unwrap();
        Self { place, upstream, daemon: Some(daemon) }
    }
}

/// A call that an upstream makes for every request and needs the answer of.
pub(crate) fn own_call(service: &str) -> OwnCall {
    OwnCall {
        on: "/".to_owned(),
        service: service.to_owned(),
        method: "GET".to_owned(),
        path: "/deeper".to_owned(),
        hard_retries: 0,
        required: true,
    }
}

/// Keeps the rules of the services that run, one service a line.
fn rules_for(services: &[&str]) -> String {
    let lines = RULES.lines().flat_map(|line| {
        let (names, rest) = line.split_once(' ').unwrap();
        names.split(',').map(move |name| (name, rest))
    });
    let kept = lines.filter(|(name, _)| services.contains(name));
    kept.map(|(name, rest)| format!("{name} {rest}\n")).collect()
}

/// Sends a request without a body and reads its answer as far as it goes.
pub(crate) async fn ask(
    client: &Client,
    addr: SocketAddr,
    req: request::Builder,
) -> Result<Read, StandInError> {
    let (answer, busy) = client.send(addr, req.body(full("")).unwrap()).await?;
    let (head, mut rest) = answer.into_parts();
    let mut read =
        Read { status: head.status, headers: head.headers, whole: true, body: Vec::new() };
    while let Some(frame) = rest.frame().await {
        match frame {
            Ok(frame) => read.body.extend(frame.into_data().unwrap_or_default()),
            Err(_) => {
                read.whole = false;
                return Ok(read);
            }
        }
    }
    busy.keep();
    Ok(read)
}
