//! Stand-in of an upstream: slots, service time, cold start, drain, deadlines
//! and cancellation, own calls through its daemon, and a ledger of what ran.

pub mod behaviour;
pub mod ledger;
mod reporting;
mod work;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use snafu::ResultExt;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::error::ExchangeSnafu;
use crate::error::JsonSnafu;
use crate::error::StandInError;
use crate::http::Answer;
use crate::http::Client;
use crate::http::bind;
use crate::http::json;
use crate::http::serve;
use crate::http::text;

use self::behaviour::Behaviour;
use self::ledger::Entry;
use self::ledger::Ledger;
use self::reporting::Report;

/// A running stand-in; dropping it stops it and closes its connections.
#[derive(Debug)]
pub struct Upstream {
    shared: Arc<Shared>,
    addr: SocketAddr,
    admin: SocketAddr,
    _stop: DropGuard,
}

#[derive(Debug)]
struct Shared {
    start: Instant,
    slots: usize,
    free: Arc<Semaphore>,
    behaviour: Mutex<Behaviour>,
    ledger: Ledger,
    client: Client,
    report: Mutex<Option<Report>>,
}

impl Upstream {
    /// Starts an upstream with `slots` on `addr`, and its admin listener on
    /// `admin`; port 0 lets the system pick one.
    pub async fn start(
        addr: SocketAddr,
        admin: SocketAddr,
        slots: usize,
        behaviour: Behaviour,
    ) -> Result<Self, StandInError> {
        let (listener, addr) = bind(addr).await?;
        let (admin_listener, admin) = bind(admin).await?;
        let shared = Arc::new(Shared {
            start: Instant::now(),
            slots,
            free: Arc::new(Semaphore::new(slots)),
            behaviour: Mutex::new(behaviour),
            ledger: Ledger::default(),
            client: Client::default(),
            report: Mutex::default(),
        });
        let stop = CancellationToken::new();
        let handler = {
            let shared = shared.clone();
            move |req| work::handle(shared.clone(), req)
        };
        let admin_handler = {
            let shared = shared.clone();
            move |req| administer(shared.clone(), req)
        };
        tokio::spawn(serve(listener, stop.clone(), handler));
        tokio::spawn(serve(admin_listener, stop.clone(), admin_handler));
        Ok(Self { shared, addr, admin, _stop: stop.drop_guard() })
    }

    /// Address on which the upstream serves.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Address on which the upstream is changed and its ledger is read.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Returns the ledger so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.shared.ledger.entries()
    }

    /// Changes the behaviour for requests from now on.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.shared.behaviour.lock());
    }
}

async fn administer(shared: Arc<Shared>, req: Request<Incoming>) -> Answer {
    let method = req.method().clone();
    let path = req.uri().path().to_owned();
    let body = req.into_body().collect().await.context(ExchangeSnafu)?.to_bytes();
    match (&method, path.as_str()) {
        (&Method::GET, "/admin/ledger") => json(&shared.ledger.entries()),
        (&Method::GET, "/admin/behaviour") => json(&*shared.behaviour.lock()),
        (&Method::PUT, "/admin/behaviour") => {
            let change = serde_json::from_slice(&body).context(JsonSnafu)?;
            let mut behaviour = shared.behaviour.lock();
            *behaviour = merged(&behaviour, change)?;
            json(&*behaviour)
        }
        _ => Ok(text(StatusCode::NOT_FOUND, "unknown admin path")),
    }
}

/// Returns `behaviour` with the members of `change` in place of its own.
fn merged(
    behaviour: &Behaviour,
    change: serde_json::Map<String, serde_json::Value>,
) -> Result<Behaviour, StandInError> {
    let mut value = serde_json::to_value(behaviour).context(JsonSnafu)?;
    if let Some(members) = value.as_object_mut() {
        members.extend(change);
    }
    serde_json::from_value(value).context(JsonSnafu)
}
