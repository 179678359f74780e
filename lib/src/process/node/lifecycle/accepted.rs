//! The requests that the daemon has accepted and that have not ended yet.

use std::fmt;

use indexmap::IndexMap;
use parking_lot::Mutex;
use rustc_hash::FxBuildHasher;
use tokio::sync::Notify;

use crate::process::RequestName;
use crate::process::burn::Role;

/// How far a request has come at this daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Nothing was passed on: it is being read, or waits for a decision or a slot.
    Received,
    /// It was passed on to another daemon, or to the upstream.
    Sent,
    /// Its answer has begun.
    Answering,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Received => "received",
            Self::Sent => "sent",
            Self::Answering => "answering",
        })
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// With the upstream's answer, or another daemon's.
    Answered,
    /// With a refusal, as not run.
    Refused,
    /// With a failure whose outcome may be unknown, or with an answer that broke off.
    Failed,
    /// By its sender, who went away.
    Cancelled,
    /// By the end of this daemon's stop.
    Cut,
}

/// How many requests have ended since a stop began.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndCounts {
    /// See [`End::Answered`].
    pub answered: usize,
    /// See [`End::Refused`].
    pub refused: usize,
    /// See [`End::Failed`].
    pub failed: usize,
    /// See [`End::Cancelled`].
    pub cancelled: usize,
    /// See [`End::Cut`].
    pub cut: usize,
}

impl EndCounts {
    fn add(&mut self, end: End) {
        *match end {
            End::Answered => &mut self.answered,
            End::Refused => &mut self.refused,
            End::Failed => &mut self.failed,
            End::Cancelled => &mut self.cancelled,
            End::Cut => &mut self.cut,
        } += 1;
    }
}

impl fmt::Display for EndCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { answered, refused, failed, cancelled, cut } = self;
        write!(
            f,
            "answered={answered} refused={refused} failed={failed} cancelled={cancelled} cut={cut}"
        )
    }
}

/// One accepted request.
#[derive(Clone, Debug)]
pub struct AcceptedRequest {
    /// Role that the daemon plays for it.
    pub role: Role,
    /// How far it has come.
    pub stage: Stage,
    /// Name that its caller gave it, once its head was read.
    pub name: Option<RequestName>,
    /// Whether its sender was told that the stop has cut it off. It may still be running.
    pub is_cut: bool,
}

impl AcceptedRequest {
    /// Whether the answer has begun.
    pub fn is_answering(&self) -> bool {
        self.stage == Stage::Answering
    }
}

/// The accepted requests of one daemon, for which the end of its process waits.
#[derive(Debug, Default)]
pub(super) struct AcceptedRequests {
    table: Mutex<Table>,
    idle: Notify,
}

#[derive(Debug, Default)]
struct Table {
    next_id: u64,
    requests: IndexMap<u64, AcceptedRequest, FxBuildHasher>,
    ends: EndCounts,
}

impl AcceptedRequests {
    pub(super) fn add(&self, role: Role) -> u64 {
        let mut table = self.table.lock();
        table.next_id += 1;
        let id = table.next_id;
        let request = AcceptedRequest { role, stage: Stage::Received, name: None, is_cut: false };
        table.requests.insert(id, request);
        id
    }

    pub(super) fn update(&self, id: u64, update: impl FnOnce(&mut AcceptedRequest)) {
        if let Some(request) = self.table.lock().requests.get_mut(&id) {
            update(request);
        }
    }

    pub(super) fn get(&self, id: u64) -> Option<AcceptedRequest> {
        self.table.lock().requests.get(&id).cloned()
    }

    pub(super) fn remove(&self, id: u64, end: End) {
        let mut table = self.table.lock();
        if table.requests.swap_remove(&id).is_none() {
            return;
        }
        table.ends.add(end);
        if table.requests.is_empty() {
            self.idle.notify_waiters();
        }
    }

    pub(super) fn len(&self) -> usize {
        self.table.lock().requests.len()
    }

    pub(super) fn snapshot(&self) -> Vec<AcceptedRequest> {
        self.table.lock().requests.values().cloned().collect()
    }

    pub(super) fn reset_counts(&self) {
        self.table.lock().ends = EndCounts::default();
    }

    pub(super) fn counts(&self) -> EndCounts {
        self.table.lock().ends
    }

    /// Waits until there is none.
    pub(super) async fn wait_empty(&self) {
        loop {
            let idle = self.idle.notified();
            if self.len() == 0 {
                return;
            }
            idle.await;
        }
    }
}
