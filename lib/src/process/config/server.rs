//! Answers other daemons' questions.

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

/// Longest wait that a question may ask for.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Most connections of asking daemons; chance gives a daemon about three.
const CONNECTION_LIMIT: usize = 256;
/// Most questions of one connection that wait at once.
const QUESTION_LIMIT: usize = 8;
/// Silence after which the operating system checks whether the other end lives.
const KEEPALIVE: Duration = Duration::from_secs(30);
/// Wait after a connection that could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Serves the control listener for as long as it is polled.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            // A dropped connection makes the asking daemon choose another partner.
            Ok(_) if connections.len() >= CONNECTION_LIMIT => {}
            Ok((stream, _)) => _ = connections.spawn(answer(shared.clone(), stream)),
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn answer(shared: Arc<Shared>, stream: TcpStream) {
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
    // A stream without keepalive or with delay still works.
    let _ = SockRef::from(&stream).set_tcp_keepalive(&keepalive);
    let _ = stream.set_nodelay(true);
    let stream = Metered::new(stream, shared.counters.clone());
    let transport = tarpc::serde_transport::new(rpc::frames(stream), Json::default());
    let channel = BaseChannel::with_defaults(transport).max_concurrent_requests(QUESTION_LIMIT);
    let answers = channel.execute(ConfigServer { shared }.serve());
    answers.for_each_concurrent(QUESTION_LIMIT, |answer| answer).await;
}

#[derive(Clone)]
struct ConfigServer {
    shared: Arc<Shared>,
}

impl ConfigPeer for ConfigServer {
    async fn watch(self, _: tarpc::context::Context, question: WatchRequest) -> Updates {
        self.shared.last_requester.send_replace(Some(question.requester));
        let wait = Duration::from_millis(question.wait_ms.into()).min(WAIT_LIMIT);
        let due = Instant::now() + wait;
        let mut changes = self.shared.changes.subscribe();
        loop {
            changes.borrow_and_update();
            let updates = self.shared.updates_for(&question);
            if !updates.is_empty() || timeout_at(due, changes.changed()).await.is_err() {
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
