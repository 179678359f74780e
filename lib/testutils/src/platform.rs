//! Stand-in of the platform: versioned rules with watches, and the list of
//! live and leaving VMs.
//!
//! `GET /v1/rules` and `GET /v1/vms` are what daemons read. `/admin/...` on the
//! same listener changes what is served and how.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::error::ExchangeSnafu;
use crate::error::JsonSnafu;
use crate::error::StandInError;
use crate::http::Answer;
use crate::http::bind;
use crate::http::json;
use crate::http::query;
use crate::http::serve;
use crate::http::text;

/// Longest wait that a watch may ask for, in milliseconds.
const MAX_WAIT_MS: u64 = 600_000;

/// How the platform behaves towards its readers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Answers at once with what was last published.
    #[default]
    Up,
    /// Closes each connection without an answer.
    Down,
    /// Goes on serving what it had when it became stale.
    Stale,
    /// Answers after this many milliseconds.
    Slow(u64),
}

/// One VM as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedVm {
    /// Name of the instance.
    pub instance: String,
    /// Service that the instance serves.
    pub service: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Region of the VM.
    pub region: String,
    /// Address of the daemon for other daemons' requests.
    pub peer: SocketAddr,
    /// Address of the daemon for other daemons' control calls.
    pub control: SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
}

#[derive(Clone, Debug, Default)]
struct Content {
    rules: Option<(u64, String)>,
    vms: Option<(u64, Vec<ListedVm>)>,
}

#[derive(Clone, Debug, Default)]
struct State {
    mode: Mode,
    published: Content,
    served: Content,
}

/// A running stand-in; dropping it stops it.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    addr: SocketAddr,
    _stop: DropGuard,
}

#[derive(Debug)]
struct Shared {
    state: watch::Sender<State>,
    calls: Mutex<IndexMap<String, u64>>,
}

impl Platform {
    /// Starts the platform on `addr`; port 0 lets the system pick one.
    pub async fn start(addr: SocketAddr) -> Result<Self, StandInError> {
        let (listener, addr) = bind(addr).await?;
        let shared = Arc::new(Shared {
            state: watch::Sender::new(State::default()),
            calls: Mutex::default(),
        });
        let stop = CancellationToken::new();
        let handler = {
            let shared = shared.clone();
            move |req| handle(shared.clone(), req)
        };
        tokio::spawn(serve(listener, stop.clone(), handler));
        Ok(Self { shared, addr, _stop: stop.drop_guard() })
    }

    /// Address on which the platform serves.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Publishes `text` as the rules, under `version` or the next number.
    pub fn put_rules(&self, version: Option<u64>, text: &str) -> u64 {
        self.shared.put_rules(version, text.to_owned())
    }

    /// Publishes `vms` as the list, under the next version.
    pub fn put_vms(&self, vms: &[ListedVm]) -> u64 {
        self.shared.put_vms(vms.to_vec())
    }

    /// Changes how the platform behaves towards its readers.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.set_mode(mode);
    }

    /// Calls counted so far, by path.
    pub fn calls(&self) -> IndexMap<String, u64> {
        self.shared.calls.lock().clone()
    }
}

impl Shared {
    fn change(&self, change: impl FnOnce(&mut State)) {
        self.state.send_modify(|state| {
            change(state);
            if state.mode != Mode::Stale {
                state.served = state.published.clone();
            }
        });
    }

    fn put_rules(&self, version: Option<u64>, text: String) -> u64 {
        let mut number = 0;
        self.change(|state| {
            let last = state.published.rules.as_ref().map_or(0, |(version, _)| *version);
            number = version.unwrap_or(last + 1);
            state.published.rules = Some((number, text));
        });
        number
    }

    fn put_vms(&self, vms: Vec<ListedVm>) -> u64 {
        let mut number = 0;
        self.change(|state| {
            number = state.published.vms.as_ref().map_or(0, |(version, _)| *version) + 1;
            state.published.vms = Some((number, vms));
        });
        number
    }

    fn set_mode(&self, mode: Mode) {
        self.change(|state| state.mode = mode);
    }
}

async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Answer {
    let path = req.uri().path().to_owned();
    if path.starts_with("/admin/") {
        return admin(&shared, &path, req).await;
    }
    *shared.calls.lock().entry(path.clone()).or_default() += 1;
    let after = query(req.uri(), "after").unwrap_or(0);
    let wait_ms = query(req.uri(), "wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
    match path.as_str() {
        "/v1/rules" => watched(&shared, wait_ms, |content| rules_answer(content, after)).await,
        "/v1/vms" => watched(&shared, wait_ms, |content| vms_answer(content, after)).await,
        _ => Ok(text(StatusCode::NOT_FOUND, "unknown path")),
    }
}

/// Waits until `answer` has something to say about what is served.
async fn watched(
    shared: &Shared,
    wait_ms: u64,
    answer: impl Fn(&Content) -> Option<serde_json::Value>,
) -> Answer {
    let mut rx = shared.state.subscribe();
    let due = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let (mode, found) = {
            let state = rx.borrow_and_update();
            (state.mode, answer(&state.served))
        };
        match mode {
            Mode::Down => return Err(StandInError::Cut),
            Mode::Slow(ms) if found.is_some() => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
            }
            Mode::Up | Mode::Stale | Mode::Slow(_) => {}
        }
        if let Some(value) = found {
            return json(&value);
        }
        match tokio::time::timeout_at(due, rx.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Err(StandInError::Cut),
            Err(_) => return Ok(text(StatusCode::NO_CONTENT, "")),
        }
    }
}

fn rules_answer(content: &Content, after: u64) -> Option<serde_json::Value> {
    let (version, text) = content.rules.as_ref().filter(|(version, _)| *version != after)?;
    Some(serde_json::json!({ "version": version, "text": text }))
}

fn vms_answer(content: &Content, after: u64) -> Option<serde_json::Value> {
    let (version, vms) = content.vms.as_ref().filter(|(version, _)| *version != after)?;
    Some(serde_json::json!({ "version": version, "vms": vms }))
}

async fn admin(shared: &Shared, path: &str, req: Request<Incoming>) -> Answer {
    let method = req.method().clone();
    let version = query(req.uri(), "version");
    let body = req.into_body().collect().await.context(ExchangeSnafu)?.to_bytes();
    match (&method, path) {
        (&Method::GET, "/admin/calls") => json(&*shared.calls.lock()),
        (&Method::PUT, "/admin/rules") => {
            let text = String::from_utf8_lossy(&body).into_owned();
            json(&shared.put_rules(version, text))
        }
        (&Method::PUT, "/admin/vms") => json(&shared.put_vms(parse(&body)?)),
        (&Method::PUT, "/admin/mode") => {
            shared.set_mode(parse(&body)?);
            json(&"changed")
        }
        _ => Ok(text(StatusCode::NOT_FOUND, "unknown admin path")),
    }
}

fn parse<T: for<'a> Deserialize<'a>>(body: &Bytes) -> Result<T, StandInError> {
    serde_json::from_slice(body).context(JsonSnafu)
}
