//! Polls a reader on behalf of this daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt as _;
use snafu::Snafu;
use tarpc::client;
use tarpc::client::RpcError;
use tarpc::tokio_serde::formats::Json;

use super::RelayedChange;
use super::rpc::CatalogRelayClient;
use super::rpc::PollAnswer;
use super::rpc::PollRequest;
use crate::connection::tcp;
use crate::connection::tcp::ConnectError;
use crate::process::catalog::Revision;
use crate::process::catalog::Topic;
use crate::process::config::ConfigCounters;
use crate::process::config::Metered;
use crate::process::config::context_with_timeout;
use crate::process::config::framed;

/// Longest time that one poll waits for changes. A follower learns within this time
/// and the margin that its reader is paused.
const POLL_WAIT: Duration = Duration::from_secs(2);
/// Time that an answer may take in addition to the requested wait.
const ANSWER_MARGIN: Duration = Duration::from_millis(700);

/// Why a reader did not tell the changes.
#[derive(Debug, Snafu)]
pub(in crate::process::catalog) enum RelayError {
    #[snafu(display("cannot connect to the reader"))]
    Connect { source: ConnectError },
    #[snafu(display("the reader did not answer"))]
    Call { source: RpcError },
    #[snafu(display("the daemon does not read the catalog"))]
    NotReading,
    #[snafu(display("the reader no longer keeps the requested changes"))]
    ChangesDiscarded,
}

/// Client that polls one reader at a time about one topic.
pub(in crate::process::catalog) struct RelayClient {
    counters: Arc<ConfigCounters>,
    open: Option<(SocketAddr, CatalogRelayClient)>,
}

impl RelayClient {
    /// Creates a client without a connection.
    pub(in crate::process::catalog) fn new(counters: Arc<ConfigCounters>) -> Self {
        Self { counters, open: None }
    }

    /// Waits for changes that a reader knows after a revision.
    pub(in crate::process::catalog) async fn poll(
        &mut self,
        reader: SocketAddr,
        topic: Topic,
        after: Revision,
    ) -> Result<(Vec<RelayedChange>, Revision), RelayError> {
        let polled = self.try_poll(reader, topic, after).await;
        match &polled {
            Ok(_) => self.counters.peer_answers.add_one(),
            Err(_) => {
                self.counters.peer_failures.add_one();
                self.open = None;
            }
        }
        polled
    }

    async fn try_poll(
        &mut self,
        reader: SocketAddr,
        topic: Topic,
        after: Revision,
    ) -> Result<(Vec<RelayedChange>, Revision), RelayError> {
        let client = self.connected(reader).await?;
        let request = PollRequest { topic, after, wait_ms: POLL_WAIT.as_millis() as u32 };
        let cx = context_with_timeout(POLL_WAIT + ANSWER_MARGIN);
        match client.poll(cx, request).await.context(CallSnafu)? {
            PollAnswer::Changes(changes, revision) => Ok((changes, revision.max(after))),
            PollAnswer::Discarded => ChangesDiscardedSnafu.fail(),
            PollAnswer::NotReading => NotReadingSnafu.fail(),
        }
    }

    async fn connected(&mut self, reader: SocketAddr) -> Result<CatalogRelayClient, RelayError> {
        if let Some((address, client)) = &self.open
            && *address == reader
        {
            return Ok(client.clone());
        }
        let stream = tcp::connect(reader).await.context(ConnectSnafu)?;
        let stream = Metered::new(stream, self.counters.clone());
        let transport = tarpc::serde_transport::new(framed(stream), Json::default());
        let client = CatalogRelayClient::new(client::Config::default(), transport).spawn();
        self.open = Some((reader, client.clone()));
        Ok(client)
    }
}
