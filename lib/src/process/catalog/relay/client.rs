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
use crate::process::clock::boot_time;
use crate::process::config::ConfigCounters;
use crate::process::config::Metered;
use crate::process::config::context_with_timeout;
use crate::process::config::framed;

/// Longest time that one poll waits for changes. A follower learns within this time
/// and the margin that its reader is paused.
const POLL_WAIT: Duration = Duration::from_secs(2);
/// The wait of a poll for the policy, as a part of the bound on the withdrawal of keys.
const WITHDRAWAL_POLL_PARTS: u32 = 5;
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

/// Changes that a reader told.
#[derive(Debug)]
pub(in crate::process::catalog) struct Polled {
    pub(in crate::process::catalog) changes: Vec<RelayedChange>,
    /// Revision up to which the changes are complete.
    pub(in crate::process::catalog) revision: Revision,
    /// Time at which they were surely complete, by [`boot_time`], if the reader knows it.
    pub(in crate::process::catalog) as_of: Option<Duration>,
    /// Earliest time at which the changes may have been confirmed, by [`boot_time`], if the
    /// reader knows it.
    pub(in crate::process::catalog) since: Option<Duration>,
}

/// Client that polls one reader at a time about one topic.
pub(in crate::process::catalog) struct RelayClient {
    /// Longest wait of a poll for the policy if its age matters.
    confirming_wait: Option<Duration>,
    counters: Arc<ConfigCounters>,
    open: Option<(SocketAddr, CatalogRelayClient)>,
}

impl RelayClient {
    /// Creates a client without a connection.
    pub(in crate::process::catalog) fn new(
        counters: Arc<ConfigCounters>,
        withdrawal: Option<Duration>,
    ) -> Self {
        let confirming_wait = withdrawal.map(|bound| POLL_WAIT.min(bound / WITHDRAWAL_POLL_PARTS));
        Self { confirming_wait, counters, open: None }
    }

    /// Waits for changes that a reader knows after a revision.
    pub(in crate::process::catalog) async fn poll(
        &mut self,
        reader: SocketAddr,
        topic: Topic,
        after: Revision,
    ) -> Result<Polled, RelayError> {
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
    ) -> Result<Polled, RelayError> {
        let is_first = self.open.as_ref().is_none_or(|(open, _)| *open != reader);
        let client = self.connected(reader).await?;
        let confirming_wait = self.confirming_wait.filter(|_| topic == Topic::Policy);
        let wait = match confirming_wait {
            // A new reader is to confirm at once what the last one can no longer.
            Some(_) if is_first => Duration::ZERO,
            Some(wait) => wait,
            None => POLL_WAIT,
        };
        let wants_age = confirming_wait.is_some();
        let wants_since = topic == Topic::Vms;
        let wait_ms = wait.as_millis() as u32;
        let request = PollRequest { topic, after, wait_ms, wants_age, wants_since };
        let cx = context_with_timeout(wait + ANSWER_MARGIN);
        let asked_at = boot_time();
        match client.poll(cx, request).await.context(CallSnafu)? {
            PollAnswer::Changes(changes, revision) => {
                Ok(Polled { changes, revision: revision.max(after), as_of: None, since: None })
            }
            PollAnswer::Confirmed(changes, revision, offset_ms) => {
                let as_of = add_offset(asked_at, offset_ms);
                Ok(Polled { changes, revision: revision.max(after), as_of, since: None })
            }
            PollAnswer::Dated(changes, revision, offset_ms) => {
                let since = add_offset(asked_at, offset_ms);
                Ok(Polled { changes, revision: revision.max(after), as_of: None, since })
            }
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

/// Returns the time that lies `offset_ms` after another one; `None` if it is before the start of
/// the clock.
fn add_offset(at: Duration, offset_ms: i64) -> Option<Duration> {
    let offset = Duration::from_millis(offset_ms.unsigned_abs());
    match offset_ms < 0 {
        true => at.checked_sub(offset),
        false => Some(at + offset),
    }
}
