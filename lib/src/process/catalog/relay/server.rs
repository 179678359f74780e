//! Answers the polls of followers from what this daemon reads.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt as _;
use parking_lot::Mutex;
use tarpc::server::BaseChannel;
use tarpc::server::Channel as _;
use tarpc::tokio_serde::formats::Json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::History;
use super::RelayedChange;
use super::Since;
use super::rpc::CatalogRelay;
use super::rpc::PollAnswer;
use super::rpc::PollRequest;
use crate::connection::tcp;
use crate::process::catalog::ChangeBatch;
use crate::process::catalog::Entry;
use crate::process::catalog::EntryKey;
use crate::process::catalog::Page;
use crate::process::catalog::Revision;
use crate::process::catalog::Topic;
use crate::process::clock::boot_time;
use crate::process::config::ConfigCounters;
use crate::process::config::Metered;
use crate::process::config::framed;

/// Longest wait of a poll; longer ones are shortened to it.
const POLL_WAIT_MAX: Duration = Duration::from_secs(30);
/// Most connections from followers. A reader has 64 followers on average; others come
/// while the lists of daemons differ.
const CONNECTIONS_MAX: usize = 512;
/// Most requests in progress on one connection: one for each topic, and as many that
/// the follower has given up.
const REQUESTS_PER_CONNECTION_MAX: usize = 4;
/// Most answers of the catalog whose times are kept. A follower in touch is one behind.
const ANSWERS_DATED_MAX: usize = 64;
/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What this daemon passes on, by topic.
#[derive(Debug)]
pub(in crate::process::catalog) struct RelayState {
    policy: TopicState,
    vms: TopicState,
    counters: Arc<ConfigCounters>,
}

#[derive(Debug)]
struct TopicState {
    inner: Mutex<TopicInner>,
    /// Counts changes of `inner`, to wake waiting polls.
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct TopicInner {
    history: History,
    /// Whether this daemon reads the catalog, and the catalog answered its last call.
    /// What was received from another reader is never passed on: two daemons that
    /// polled each other would keep an old state for good.
    is_reading: bool,
    /// Time at which the history was surely complete, by [`boot_time`].
    as_of: Option<Duration>,
    /// The latest answers with changes: the revision of each, and since when its changes may
    /// have been confirmed. Both only grow.
    dated: VecDeque<(Revision, Duration)>,
}

impl TopicInner {
    /// Returns an answer to a request that arrived at `received_at`, with the times that it
    /// asks for.
    fn changes(
        &self,
        request: &PollRequest,
        changes: Vec<RelayedChange>,
        revision: Revision,
        received_at: Duration,
    ) -> PollAnswer {
        let as_of = self.as_of.filter(|_| request.wants_age);
        let since = self.since(request.after).filter(|_| request.wants_since);
        match (as_of, since) {
            (Some(as_of), _) => {
                PollAnswer::Confirmed(changes, revision, offset_ms(as_of, received_at))
            }
            (None, Some(since)) if !changes.is_empty() => {
                PollAnswer::Dated(changes, revision, offset_ms(since, received_at))
            }
            (None, _) => PollAnswer::Changes(changes, revision),
        }
    }

    fn record_date(&mut self, revision: Revision, since: Duration) {
        self.dated.push_back((revision, since));
        let excess = self.dated.len().saturating_sub(ANSWERS_DATED_MAX);
        self.dated.drain(..excess);
    }

    /// Returns since when the changes after a revision may have been confirmed; `None` if too
    /// little is kept to tell.
    fn since(&self, after: Revision) -> Option<Duration> {
        let first = self.dated.iter().position(|(revision, _)| *revision > after)?;
        // An answer before the first one that is kept may have changes after the revision, too.
        let is_first_known = first > 0 || self.dated.len() < ANSWERS_DATED_MAX;
        is_first_known.then(|| self.dated[first].1)
    }
}

/// Returns a time by [`boot_time`] in milliseconds since another one, rounded down so that what
/// is known never looks younger than it is.
fn offset_ms(at: Duration, from: Duration) -> i64 {
    (at.as_micros() as i64 - from.as_micros() as i64).div_euclid(1_000)
}

impl Default for TopicState {
    fn default() -> Self {
        Self { inner: Mutex::default(), changed: watch::Sender::new(0) }
    }
}

impl TopicState {
    fn update(&self, update: impl FnOnce(&mut TopicInner)) {
        update(&mut self.inner.lock());
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns the answer to a poll; `None` while there is nothing to tell and its wait is not
    /// over.
    fn answer(
        &self,
        request: &PollRequest,
        received_at: Duration,
        is_last: bool,
    ) -> Option<PollAnswer> {
        let inner = self.inner.lock();
        if !inner.is_reading {
            return Some(PollAnswer::NotReading);
        }
        match inner.history.since(request.after) {
            Since::Changes(changes, _) if changes.is_empty() && !is_last => None,
            Since::Changes(changes, revision) => {
                Some(inner.changes(request, changes, revision, received_at))
            }
            Since::Discarded => Some(PollAnswer::Discarded),
            Since::Behind => Some(PollAnswer::NotReading),
        }
    }
}

impl RelayState {
    /// Creates the state of a daemon that has read nothing yet.
    pub(in crate::process::catalog) fn new(counters: Arc<ConfigCounters>) -> Self {
        Self { policy: TopicState::default(), vms: TopicState::default(), counters }
    }

    fn topic(&self, topic: Topic) -> &TopicState {
        match topic {
            Topic::Policy => &self.policy,
            Topic::Vms => &self.vms,
        }
    }

    /// Records a complete read of the entries, which does not tell their changes.
    ///
    /// The first one of an era is kept for followers of earlier eras, which would otherwise
    /// all read the catalog at once.
    pub(in crate::process::catalog) fn record_entries(&self, pages: &[Page], at: Revision) {
        self.vms.update(|inner| {
            match at.era > inner.history.era() {
                true => inner.history.begin_era(written(pages), at),
                false => inner.history.restart(at),
            }
            inner.dated.clear();
            inner.is_reading = true;
        });
    }

    /// Records a read of the policy, of which only the latest version counts.
    pub(in crate::process::catalog) fn record_policy(
        &self,
        batch: &ChangeBatch,
        asked_at: Duration,
    ) {
        let changes = relayed(batch);
        self.policy.update(|inner| {
            inner.history.replace(changes, batch.revision);
            inner.is_reading = true;
            inner.as_of = Some(asked_at);
        });
    }

    /// Records what the catalog answered to a watch after a revision that was sent at `asked_at`.
    /// The changes may have been confirmed from `since` on.
    pub(in crate::process::catalog) fn record_changes(
        &self,
        topic: Topic,
        after: Revision,
        batch: &ChangeBatch,
        asked_at: Duration,
        since: Duration,
    ) {
        let changes = relayed(batch);
        self.topic(topic).update(|inner| {
            if !changes.is_empty() {
                inner.record_date(batch.revision, since);
            }
            inner.history.extend(after, changes, batch.revision);
            inner.is_reading = true;
            inner.as_of = Some(asked_at);
        });
    }

    /// Records that this daemon no longer reads a topic, or that a call failed.
    pub(in crate::process::catalog) fn stop_reading(&self, topic: Topic) {
        if self.topic(topic).inner.lock().is_reading {
            self.topic(topic).update(|inner| inner.is_reading = false);
        }
    }
}

fn written(pages: &[Page]) -> Vec<RelayedChange> {
    let entries = pages.iter().flat_map(|page| &page.entries);
    let written = |(key, at, entry): &(EntryKey, Revision, Entry)| {
        RelayedChange::Written(key.clone(), *at, entry.clone())
    };
    entries.map(written).collect()
}

fn relayed(batch: &ChangeBatch) -> Vec<RelayedChange> {
    let changes = batch.changes.iter();
    changes.filter_map(|change| RelayedChange::of(change, batch.revision)).collect()
}

/// Serves connections of followers; never returns.
pub(in crate::process::catalog) async fn serve(state: Arc<RelayState>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            // Dropping the connection makes the follower try another reader.
            Ok(_) if connections.len() >= CONNECTIONS_MAX => {}
            Ok((stream, _)) => _ = connections.spawn(serve_connection(state.clone(), stream)),
            Err(err) => {
                spdlog::warn!("event=accept-failed listener=control error={err:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(state: Arc<RelayState>, stream: TcpStream) {
    if let Err(err) = tcp::set_liveness_options(&stream) {
        spdlog::warn!("event=socket-option-failed listener=control error={err:?}");
    }
    let stream = Metered::new(stream, state.counters.clone());
    let transport = tarpc::serde_transport::new(framed(stream), Json::default());
    let channel =
        BaseChannel::with_defaults(transport).max_concurrent_requests(REQUESTS_PER_CONNECTION_MAX);
    let responses = channel.execute(RelayServer { state }.serve());
    responses.for_each_concurrent(REQUESTS_PER_CONNECTION_MAX, |response| response).await;
}

#[derive(Clone)]
struct RelayServer {
    state: Arc<RelayState>,
}

impl CatalogRelay for RelayServer {
    async fn poll(self, _: tarpc::context::Context, request: PollRequest) -> PollAnswer {
        let received_at = boot_time();
        let wait = Duration::from_millis(request.wait_ms.into()).min(POLL_WAIT_MAX);
        let deadline = Instant::now() + wait;
        let state = self.state.topic(request.topic);
        let mut changed = state.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let is_last = Instant::now() >= deadline;
            if let Some(answer) = state.answer(&request, received_at, is_last) {
                return answer;
            }
            // When the wait is over, the next turn of the loop answers.
            let _ = timeout_at(deadline, changed.changed()).await;
        }
    }
}
