//! Serves other daemons' requests for configuration.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt as _;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tarpc::server::BaseChannel;
use tarpc::server::Channel as _;
use tarpc::tokio_serde::formats::Json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::VersionId;
use super::document::DocumentKind;
use super::metered::Metered;
use super::offer::Offer;
use super::rpc;
use super::rpc::ConfigPeer;
use super::rpc::Updates;
use super::rpc::WatchRequest;
use super::shared::Shared;

/// Maximum wait of a watch request; longer ones are shortened to it.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Maximum number of connections from other daemons. A daemon gets about three on
/// average, as each daemon polls three partners.
const MAX_CONNECTIONS: usize = 256;
/// Maximum number of concurrent requests of one connection.
const MAX_REQUESTS_PER_CONNECTION: usize = 8;
/// Idle time after which TCP keepalive probes are sent, and the interval between them.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(30);
/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves connections to the control listener; never returns.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            // Dropping the connection makes the peer select another partner.
            Ok(_) if connections.len() >= MAX_CONNECTIONS => {}
            Ok((stream, _)) => _ = connections.spawn(serve_connection(shared.clone(), stream)),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream) {
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    // Best effort: the connection also works without these options.
    let _ = SockRef::from(&stream).set_tcp_keepalive(&keepalive);
    let _ = stream.set_nodelay(true);
    let stream = Metered::new(stream, shared.counters.clone());
    let transport = tarpc::serde_transport::new(rpc::framed(stream), Json::default());
    let channel =
        BaseChannel::with_defaults(transport).max_concurrent_requests(MAX_REQUESTS_PER_CONNECTION);
    let responses = channel.execute(ConfigServer { shared }.serve());
    responses.for_each_concurrent(MAX_REQUESTS_PER_CONNECTION, |response| response).await;
}

#[derive(Clone)]
struct ConfigServer {
    shared: Arc<Shared>,
}

impl ConfigPeer for ConfigServer {
    async fn watch(self, _: tarpc::context::Context, question: WatchRequest) -> Updates {
        self.shared.last_requester.send_replace(Some(question.requester));
        let wait = Duration::from_millis(question.wait_ms.into()).min(MAX_WAIT);
        let deadline = Instant::now() + wait;
        let mut changes = self.shared.changes.subscribe();
        loop {
            changes.borrow_and_update();
            let updates = self.shared.updates_for(&question);
            if !updates.is_empty() || timeout_at(deadline, changes.changed()).await.is_err() {
                return updates;
            }
        }
    }

    async fn fetch(
        self,
        _: tarpc::context::Context,
        kind: DocumentKind,
        bases: Vec<VersionId>,
    ) -> Option<Offer> {
        self.shared.fetch(kind, &bases)
    }
}
