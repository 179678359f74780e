//! Transfers the configuration from a running daemon to one that has just started
//! while the platform does not respond; see `docs/design/platform.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::time::timeout;

use crate::connection::body;
use crate::connection::body::RelayBody;
use crate::connection::body::RelayError;
use crate::connection::peers::PeerError;
use crate::process::catalog::ConfigSnapshot;
use crate::process::node::Node;
use crate::request::HELD;

/// Longest configuration that is accepted from another daemon: 8,000 VMs at 500
/// bytes each, and as much again for routes.
const MAX_CONFIG_BYTES: usize = 8 * 1024 * 1024;
/// How long sending the configuration may take; a failed transfer is repeated
/// later.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the configuration was not transferred from one daemon to another.
#[derive(Debug, Snafu)]
enum TransferError {
    #[snafu(display("the daemon did not respond within {PUSH_TIMEOUT:?}"))]
    Silent,
    #[snafu(display("the configuration could not be sent to the daemon"))]
    Exchange { source: PeerError },
    #[snafu(display("the request body could not be read"))]
    Body { source: RelayError },
    #[snafu(display("the configuration could not be serialized or parsed"))]
    Text { source: serde_json::Error },
    #[snafu(display("the request could not be built"))]
    Head { source: http::Error },
}

/// Sends the configuration in force to a daemon that refused a request because it
/// has none. Runs in a task of its own.
pub(super) fn spawn_push(node: &Arc<Node>, peer: SocketAddr) {
    let Some((rules, vms)) = node.rules().zip(node.vms()) else { return };
    if !node.config_sent.lock().is_due(node.clock.now(), peer) {
        return;
    }
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let config = ConfigSnapshot::of(&rules, &vms);
        let pushed = timeout(PUSH_TIMEOUT, push(&node, peer, &config))
            .await
            .unwrap_or_else(|_| SilentSnafu.fail());
        match pushed {
            Ok(()) => spdlog::info!("event=config-sent peer={peer} version={}", rules.id),
            Err(err) => spdlog::warn!("event=config-not-sent peer={peer} error={err:?}"),
        }
    });
}

async fn push(node: &Node, peer: SocketAddr, config: &ConfigSnapshot) -> Result<(), TransferError> {
    let json = serde_json::to_vec(config).context(TextSnafu)?;
    let req = Request::post(format!("http://{peer}/"))
        .header(HELD, HeaderValue::from_static("1"))
        .body(body::full(json))
        .context(HeadSnafu)?;
    node.peers.send(peer, req).await.context(ExchangeSnafu)?;
    Ok(())
}

/// Accepts the configuration that another daemon sends; it is used only if this
/// daemon has none.
pub(super) async fn receive(node: &Node, req: Request<RelayBody>) -> Response<RelayBody> {
    let mut rsp = Response::new(body::full(Vec::new()));
    match parse(req).await {
        Ok(config) => node.config().bootstrap_from(config),
        Err(err) => {
            spdlog::warn!("event=config-unreadable error={err:?}");
            *rsp.status_mut() = StatusCode::BAD_REQUEST;
        }
    }
    rsp
}

async fn parse(req: Request<RelayBody>) -> Result<ConfigSnapshot, TransferError> {
    let json = body::collect(req.into_body(), MAX_CONFIG_BYTES).await.context(BodySnafu)?;
    serde_json::from_slice(&json).context(TextSnafu)
}
