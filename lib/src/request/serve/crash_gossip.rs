//! Tells other daemons of crashes and of requests that are banned for them; see
//! `docs/design/crashes.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use rand::RngExt as _;
use rand::seq::IndexedRandom as _;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::connection::body;
use crate::connection::body::RelayBody;
use crate::connection::body::RelayError;
use crate::connection::peers::PeerError;
use crate::process::crashes::CrashId;
use crate::process::crashes::CrashUpdate;
use crate::process::membership::Daemons;
use crate::process::membership::ListedDaemon;
use crate::process::node::Node;
use crate::request::CRASHES;

/// Mean time between two comparisons with other daemons.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between the comparisons after the start, by which a restarted daemon learns what it
/// has forgotten.
const START_COMPARE_INTERVAL: Duration = Duration::from_millis(300);
/// Number of comparisons after the start, made whether or not there is anything to tell.
const START_COMPARISONS: u32 = 4;
/// Share of the comparisons that are made with a daemon of the same service. Its upstreams run
/// the same requests.
const SAME_SERVICE_SHARE: f64 = 0.5;
/// Longest wait for the answer of another daemon.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest message that is accepted, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// What one daemon tells another.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Message {
    /// Asks whether the other one knows the same.
    Compare { checksum: u64 },
    /// The other one knows the same.
    Same,
    /// What this daemon knows, in answer to a comparison.
    Known { crashes: Vec<CrashId>, update: CrashUpdate },
    /// What the other one does not know, and what this daemon wants to know.
    Update { update: CrashUpdate, wanted: Vec<CrashId> },
}

/// Why daemons could not compare what they know.
#[derive(Debug, Snafu)]
enum GossipError {
    #[snafu(display("the daemon did not respond within {ANSWER_TIMEOUT:?}"))]
    Silent,
    #[snafu(display("the message could not be sent to the daemon"))]
    Exchange { source: PeerError },
    #[snafu(display("the message could not be read"))]
    Body { source: RelayError },
    #[snafu(display("the message could not be serialized or parsed"))]
    Text { source: serde_json::Error },
    #[snafu(display("the message could not be built"))]
    Head { source: http::Error },
    #[snafu(display("the daemon does not understand the message"))]
    Rejected,
}

/// Tells the other daemons of new crashes at once and compares with one of them now and then,
/// until the process ends.
pub async fn gossip_crashes(node: Arc<Node>) {
    let mut start_comparisons = START_COMPARISONS;
    loop {
        let pause = match start_comparisons {
            0 => COMPARE_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.5)),
            _ => START_COMPARE_INTERVAL,
        };
        tokio::select! {
            update = node.crash_watch.next_update() => push_to_service(&node, &update),
            () = sleep(pause) => {
                let Some(peer) = choose_peer(&node) else { continue };
                if start_comparisons == 0 && node.crash_watch.is_history_empty() {
                    continue;
                }
                start_comparisons = start_comparisons.saturating_sub(1);
                if let Err(err) = compare(&node, peer).await {
                    spdlog::debug!("event=crashes-not-compared peer={peer} error={err:?}");
                }
            }
        }
    }
}

/// Sends an update to all daemons of the service, since their upstreams may get the next request
/// with the same content. Those that it does not reach learn of it by comparison.
fn push_to_service(node: &Arc<Node>, update: &CrashUpdate) {
    let daemons = node.daemons();
    let service = &node.settings.daemon.service;
    for daemon in others(node, &daemons).filter(|daemon| daemon.serves(service)) {
        let (node, update, peer) = (Arc::clone(node), update.clone(), daemon.peer);
        tokio::spawn(async move {
            let message = Message::Update { update, wanted: Vec::new() };
            if let Err(err) = ask(&node, peer, &message).await {
                spdlog::debug!("event=crash-not-told peer={peer} error={err:?}");
            }
        });
    }
}

fn others<'a>(node: &Node, daemons: &'a Daemons) -> impl Iterator<Item = &'a ListedDaemon> {
    let here = node.peer_addr;
    daemons.iter().filter(move |daemon| daemon.peer != here)
}

fn choose_peer(node: &Node) -> Option<SocketAddr> {
    let daemons = node.daemons();
    let service = &node.settings.daemon.service;
    let (same, foreign): (Vec<_>, Vec<_>) =
        others(node, &daemons).partition(|daemon| daemon.serves(service));
    let mut rng = rand::rng();
    let prefers_same = foreign.is_empty() || rng.random_bool(SAME_SERVICE_SHARE);
    let candidates = if prefers_same && !same.is_empty() { same } else { foreign };
    candidates.choose(&mut rng).map(|daemon| daemon.peer)
}

/// Compares what both daemons know and exchanges what either lacks.
async fn compare(node: &Node, peer: SocketAddr) -> Result<(), GossipError> {
    let checksum = node.crash_watch.checksum();
    let answer = ask(node, peer, &Message::Compare { checksum }).await?;
    let Message::Known { crashes, update: theirs } = answer else { return Ok(()) };
    let known = node.crash_watch.crash_ids();
    let wanted = crashes.iter().filter(|id| !known.contains(id)).copied().collect();
    let unknown: Vec<_> = known.into_iter().filter(|id| !crashes.contains(id)).collect();
    let crashes = node.crash_watch.reports(&unknown);
    let update = CrashUpdate { crashes, ..node.crash_watch.bans_and_answers() };
    node.apply_crash_update(theirs);
    if let Message::Update { update, .. } =
        ask(node, peer, &Message::Update { update, wanted }).await?
    {
        node.apply_crash_update(update);
    }
    Ok(())
}

async fn ask(node: &Node, peer: SocketAddr, message: &Message) -> Result<Message, GossipError> {
    let json = serde_json::to_vec(message).context(TextSnafu)?;
    let req = Request::post(format!("http://{peer}/"))
        .header(CRASHES, HeaderValue::from_static("1"))
        .body(body::full(json))
        .context(HeadSnafu)?;
    let asking = async {
        let rsp = node.peers.send(peer, req).await.context(ExchangeSnafu)?;
        if rsp.status() != StatusCode::OK {
            return RejectedSnafu.fail();
        }
        parse(body::relay(rsp.into_body())).await
    };
    timeout(ANSWER_TIMEOUT, asking).await.unwrap_or_else(|_| SilentSnafu.fail())
}

async fn parse(body: RelayBody) -> Result<Message, GossipError> {
    let json = body::collect(body, MAX_MESSAGE_BYTES).await.context(BodySnafu)?;
    serde_json::from_slice(&json).context(TextSnafu)
}

/// Answers a message of another daemon.
pub(super) async fn receive(node: &Node, req: Request<RelayBody>) -> Response<RelayBody> {
    let answer = match parse(req.into_body()).await {
        Ok(message) => answer(node, message),
        Err(err) => {
            spdlog::warn!("event=crash-update-unreadable error={err:?}");
            None
        }
    };
    let json = answer.and_then(|answer| serde_json::to_vec(&answer).ok());
    let mut rsp = Response::new(body::full(json.clone().unwrap_or_default()));
    if json.is_none() {
        *rsp.status_mut() = StatusCode::BAD_REQUEST;
    }
    rsp
}

/// Returns the answer to a message; `None` if the message is itself an answer.
fn answer(node: &Node, message: Message) -> Option<Message> {
    let watch = &node.crash_watch;
    match message {
        Message::Compare { checksum } if checksum == watch.checksum() => Some(Message::Same),
        Message::Compare { .. } => {
            Some(Message::Known { crashes: watch.crash_ids(), update: watch.bans_and_answers() })
        }
        Message::Update { update, wanted } => {
            node.apply_crash_update(update);
            let update = CrashUpdate { crashes: watch.reports(&wanted), ..CrashUpdate::default() };
            Some(Message::Update { update, wanted: Vec::new() })
        }
        Message::Same | Message::Known { .. } => None,
    }
}
