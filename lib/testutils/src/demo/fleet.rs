//! The processes of the demonstration.

use std::net::SocketAddr;
use std::path::PathBuf;

use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use serde_json::json;
use snafu::ResultExt;
use tempfile::TempDir;

use crate::error::BuildSnafu;
use crate::error::ExchangeSnafu;
use crate::error::FileSnafu;
use crate::error::JsonSnafu;
use crate::error::StandInError;
use crate::headers;
use crate::http::Client;
use crate::http::full;
use crate::place::Place;
use crate::process::Program;
use crate::process::Signal;
use crate::process::free_addrs;
use crate::process::wait_until;
use crate::program;
use crate::upstream::ledger::Entry;

use super::READY_CAP;
use super::deployment;

/// Mark of the requests that find out whether the daemons are ready.
pub(super) const PROBE_MARK: &str = "probe";

/// All processes of the demonstration; dropping it ends them.
pub(super) struct Fleet {
    places: Vec<Place>,
    daemons: Vec<Program>,
    _others: Vec<Program>,
    _dir: TempDir,
    client: Client,
}

/// What one upstream recorded.
pub(super) struct Ledger {
    pub(super) service: String,
    pub(super) entries: Vec<Entry>,
}

impl Fleet {
    /// Starts everything and waits until each daemon serves each service.
    pub(super) async fn start() -> Result<Self, StandInError> {
        let dir = TempDir::new().context(FileSnafu { path: "temporary folder" })?;
        let places = deployment::places();
        let client = Client::default();
        let mut others = Vec::new();
        let platform = start_platform(&dir, &mut others)?;
        for place in &places {
            others.push(start_upstream(place)?);
        }
        publish(&client, platform, &places).await?;
        let daemons = places.iter().map(|place| start_daemon(&dir, place, platform));
        let daemons = daemons.collect::<Result<_, _>>()?;
        let fleet = Self { places, daemons, _others: others, _dir: dir, client };
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Number of instances.
    pub(super) fn size(&self) -> usize {
        self.places.len()
    }

    /// Addresses at which the daemons take outside callers' requests.
    pub(super) fn entries(&self) -> Vec<SocketAddr> {
        self.places.iter().map(|place| place.caller).collect()
    }

    /// Changes the service time of every matching instance.
    pub(super) async fn set_matching_ms(&self, service_ms: f64) -> Result<(), StandInError> {
        let change = json!({ "service_ms": service_ms }).to_string();
        let matching = self.places.iter().filter(|place| place.service == "matching");
        for place in matching {
            put(&self.client, place.admin, "/admin/behaviour", change.clone()).await?;
        }
        Ok(())
    }

    /// Returns what every upstream recorded, without the readiness probes.
    pub(super) async fn ledgers(&self) -> Result<Vec<Ledger>, StandInError> {
        let mut ledgers = Vec::new();
        for place in &self.places {
            let (_, body) = self.client.fetch(place.admin, "GET", "/admin/ledger", "").await?;
            let mut entries: Vec<Entry> = serde_json::from_slice(&body).context(JsonSnafu)?;
            entries.retain(|entry| entry.mark != PROBE_MARK);
            ledgers.push(Ledger { service: place.service.clone(), entries });
        }
        Ok(ledgers)
    }

    /// Stops every daemon as an operator would and waits for their ends.
    pub(super) async fn stop(&mut self) -> Result<(), StandInError> {
        for daemon in &self.daemons {
            daemon.signal(Signal::Term)?;
        }
        for daemon in &mut self.daemons {
            let status = daemon.wait(READY_CAP).await?;
            if !status.success() {
                return Err(StandInError::Ended { status });
            }
        }
        Ok(())
    }

    async fn wait_ready(&self) -> Result<(), StandInError> {
        for entry in &self.places {
            for (service, path) in [("listings", "/calls/open"), ("archive", "/packs/guidelines")] {
                let what = format!("daemon {} for {service}", entry.instance);
                wait_until(&what, READY_CAP, async || {
                    let answered = self.probe(entry.caller, service, path).await;
                    answered.is_ok_and(|status| status.is_success())
                })
                .await?;
            }
        }
        Ok(())
    }

    async fn probe(
        &self,
        addr: SocketAddr,
        service: &str,
        path: &str,
    ) -> Result<StatusCode, StandInError> {
        let req = Request::get(path).header("host", service).header(headers::MARK, PROBE_MARK);
        let (answer, busy) =
            self.client.send(addr, req.body(full("")).context(BuildSnafu)?).await?;
        let status = answer.status();
        answer.into_body().collect().await.context(ExchangeSnafu)?;
        busy.keep();
        Ok(status)
    }
}

/// Returns a program that was built beside this one.
fn beside(name: &str) -> PathBuf {
    let this = std::env::current_exe().unwrap_or_default();
    this.with_file_name(name)
}

fn start_platform(dir: &TempDir, others: &mut Vec<Program>) -> Result<SocketAddr, StandInError> {
    let addr = free_addrs(1)[0];
    let rules = dir.path().join("rules").display().to_string();
    program::write(&rules, deployment::RULES)?;
    let args = ["--listen", &addr.to_string(), "--rules", &rules];
    others.push(Program::start(&beside("standin-platform"), &args)?);
    Ok(addr)
}

fn start_upstream(place: &Place) -> Result<Program, StandInError> {
    let args = [
        "--listen",
        &place.upstream.to_string(),
        "--admin",
        &place.admin.to_string(),
        "--slots",
        &place.slots.to_string(),
        "--behaviour",
        &deployment::behaviour(place),
    ];
    Program::start(&beside("standin-upstream"), &args)
}

fn start_daemon(
    dir: &TempDir,
    place: &Place,
    platform: SocketAddr,
) -> Result<Program, StandInError> {
    let path = dir.path().join(format!("{}.toml", place.instance)).display().to_string();
    program::write(&path, &place.settings(platform, "10s"))?;
    Program::start(&beside("endivescaled"), &["--settings", &path])
}

async fn publish(
    client: &Client,
    platform: SocketAddr,
    places: &[Place],
) -> Result<(), StandInError> {
    wait_until("platform", READY_CAP, async || {
        client.fetch(platform, "GET", "/admin/calls", "").await.is_ok()
    })
    .await?;
    let vms: Vec<_> = places.iter().map(|place| place.listed("live")).collect();
    let vms = serde_json::to_string(&vms).context(JsonSnafu)?;
    put(client, platform, "/admin/vms", vms).await
}

async fn put(
    client: &Client,
    addr: SocketAddr,
    path: &str,
    body: String,
) -> Result<(), StandInError> {
    match client.fetch(addr, "PUT", path, body).await? {
        (StatusCode::OK, _) => Ok(()),
        (status, _) => Err(StandInError::Admin { path: path.to_owned(), status }),
    }
}
