//! The requests that the local upstream is running.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use super::answered::AnsweredContents;
use crate::process::RequestName;
use crate::request::CallerDigest;
use crate::request::ContentDigest;
use crate::request::HeadDigest;
use crate::request::RequestContent;
use crate::request::RequestId;

/// How long a request without an answer may still be running at the upstream after the daemon
/// gave it up.
const ABANDONED_RUN_TIME: Duration = Duration::from_secs(1);
/// Most abandoned requests that are remembered.
const ABANDONED_MAX: usize = 256;
/// Most suspects of one crash; the requests that began last come first.
const SUSPECTS_MAX: usize = 256;
/// How long after an answer by any upstream a content is beyond suspicion.
pub(super) const TRUST_TIME: Duration = Duration::from_secs(10);

/// Identifies a request in [`RunningRequests`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RunId(u64);

/// A request that an upstream was running when it crashed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// Digest of the request without its body.
    pub head: HeadDigest,
    /// Digest of the caller.
    pub caller: CallerDigest,
    /// Digest of the whole request; `None` if its body had not arrived.
    pub content: Option<ContentDigest>,
    /// The request that had this content, which is the same for all of its attempts; `None` if
    /// several had it, or if it is not known.
    #[serde(default)]
    pub request: Option<RequestId>,
}

/// A request that runs, or that may still run although nobody waits for it.
#[derive(Clone, Debug)]
struct Run {
    content: RequestContent,
    name: Option<RequestName>,
}

/// The requests that an upstream was running when it may have crashed.
#[derive(Clone, Debug, Default)]
pub struct CrashSnapshot {
    suspects: IndexMap<(HeadDigest, Option<ContentDigest>), (Suspect, Option<RequestName>)>,
    trusted: usize,
}

impl CrashSnapshot {
    /// Returns the suspects, each with the name of one request of its content.
    pub fn suspects(&self) -> impl Iterator<Item = &(Suspect, Option<RequestName>)> {
        self.suspects.values()
    }

    /// Returns the number of requests that are beyond suspicion.
    pub fn trusted_count(&self) -> usize {
        self.trusted
    }
}

/// The requests that the upstream is running, and the contents that it has answered.
#[derive(Debug, Default)]
pub struct RunningRequests {
    next_id: u64,
    running: IndexMap<RunId, Run>,
    abandoned: VecDeque<(Duration, Run)>,
    answered: AnsweredContents,
}

impl RunningRequests {
    /// Adds a request that is about to be sent to the upstream.
    pub fn begin(&mut self, content: RequestContent, name: Option<RequestName>) -> RunId {
        let id = RunId(self.next_id);
        self.next_id += 1;
        self.running.insert(id, Run { content, name });
        id
    }

    /// Removes a request that was answered with success, and returns its content.
    pub fn answered(&mut self, now: Duration, id: RunId) -> Option<ContentDigest> {
        let content = self.running.swap_remove(&id)?.content.digest()?;
        self.answered.record(now, content);
        Some(content)
    }

    /// Removes a request that did not run.
    pub fn not_run(&mut self, id: RunId) {
        self.running.swap_remove(&id);
    }

    /// Removes a request whose answer is no longer awaited.
    pub fn abandoned(&mut self, now: Duration, id: RunId) {
        let Some(run) = self.running.swap_remove(&id) else { return };
        self.abandoned.push_back((now, run));
        let excess = self.abandoned.len().saturating_sub(ABANDONED_MAX);
        self.abandoned.drain(..excess);
    }

    /// Returns when a request with the content was last answered.
    pub fn answered_at(&self, content: ContentDigest) -> Option<Duration> {
        self.answered.answered_at(content)
    }

    /// Returns the requests that have caused a crash of the upstream, if it has crashed now.
    ///
    /// Contents that the upstream has answered lately are not suspects.
    pub fn suspects(&self, now: Duration) -> CrashSnapshot {
        let oldest = now.saturating_sub(ABANDONED_RUN_TIME);
        let abandoned = self.abandoned.iter().rev().filter(|(at, _)| *at >= oldest);
        let mut snapshot = CrashSnapshot::default();
        for run in self.running.values().rev().chain(abandoned.map(|(_, run)| run)) {
            let RequestContent { head, caller, request, .. } = run.content;
            let content = run.content.digest();
            if content.is_some_and(|content| self.is_trusted(now, content)) {
                snapshot.trusted += 1;
            } else if snapshot.suspects.len() < SUSPECTS_MAX {
                let suspect = Suspect { head, caller, content, request };
                let known = snapshot.suspects.entry((head, content));
                let (known, _) = known.or_insert((suspect, run.name.clone()));
                known.request = known.request.filter(|known| request == Some(*known));
            }
        }
        snapshot
    }

    fn is_trusted(&self, now: Duration, content: ContentDigest) -> bool {
        let answered_at = self.answered.answered_at(content);
        answered_at.is_some_and(|at| now.saturating_sub(at) < TRUST_TIME)
    }

    /// Forgets the requests that were given up before a crash of the upstream.
    pub fn crashed(&mut self) {
        self.abandoned.clear();
    }
}
