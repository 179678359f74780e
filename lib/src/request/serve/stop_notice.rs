//! Tells other daemons that this one stops, so that they refuse in time what it has sent and
//! what will not run before it ends; see `docs/design/stopping.md`.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::connection::body;
use crate::connection::peers::PeerError;
use crate::process::Incarnation;
use crate::process::node::Node;
use crate::request::STOPPING;

/// Longest wait for the answer of another daemon, after which it is told again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// The daemon that stops, and how long its stop may still take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct StopNotice {
    sender: Incarnation,
    left: Duration,
}

/// Why a daemon could not be told.
#[derive(Debug, Snafu)]
enum NoticeError {
    #[snafu(display("the daemon did not respond within {ANSWER_TIMEOUT:?}"))]
    Silent,
    #[snafu(display("the notice could not be sent to the daemon"))]
    Exchange { source: PeerError },
    #[snafu(display("the notice could not be built"))]
    Head { source: http::Error },
}

/// A notice that cannot be parsed.
#[derive(Debug, Snafu)]
#[snafu(display("'{found}' is not an incarnation and a number of milliseconds"))]
pub(super) struct ParseNoticeError {
    found: String,
}

impl fmt::Display for StopNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{};{}", self.sender, self.left.as_millis())
    }
}

impl FromStr for StopNotice {
    type Err = ParseNoticeError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let parsed = s.split_once(';').and_then(|(sender, left)| {
            let left = Duration::from_millis(left.parse().ok()?);
            Some(Self { sender: sender.parse().ok()?, left })
        });
        parsed.ok_or_else(|| ParseNoticeError { found: s.to_owned() })
    }
}

impl StopNotice {
    /// Returns the notice of this daemon; `None` if it is not stopping.
    fn of(node: &Node) -> Option<Self> {
        let left = node.stop_times()?.end.saturating_sub(node.clock.now());
        Some(Self { sender: node.incarnation, left })
    }
}

/// Adds the notice to a message for another daemon while this one stops.
pub(super) fn insert_header(node: &Node, headers: &mut HeaderMap) {
    let Some(notice) = StopNotice::of(node) else { return };
    if let Ok(mut value) = HeaderValue::try_from(notice.to_string()) {
        value.set_sensitive(true);
        headers.insert(STOPPING, value);
    }
}

/// Tells all daemons to which a connection is open, which are those that requests were sent
/// to. Requests that are sent later carry the notice themselves.
pub async fn announce_stop(node: Arc<Node>) {
    let mut telling = JoinSet::new();
    for peer in node.peers.addresses() {
        telling.spawn(tell(Arc::clone(&node), peer));
    }
    while telling.join_next().await.is_some() {}
}

/// Tells one daemon, until it answers or this one ends.
async fn tell(node: Arc<Node>, peer: SocketAddr) {
    while let Err(err) = tell_once(&node, peer).await {
        spdlog::debug!("event=stop-not-told peer={peer} error={err:?}");
        if !matches!(err, NoticeError::Silent) {
            sleep(ANSWER_TIMEOUT).await;
        }
    }
}

async fn tell_once(node: &Node, peer: SocketAddr) -> Result<(), NoticeError> {
    let req = Request::post(format!("http://{peer}/"));
    let mut req = req.body(body::empty()).context(HeadSnafu)?;
    insert_header(node, req.headers_mut());
    match timeout(ANSWER_TIMEOUT, node.peers.send(peer, req)).await {
        Ok(sent) => sent.map(drop).context(ExchangeSnafu),
        Err(_) => SilentSnafu.fail(),
    }
}

/// Records the notice of another daemon.
pub(super) fn receive(node: &Node, notice: &StopNotice) {
    node.record_stopping_sender(notice.sender, notice.left);
}
