//! Whether the daemon accepts new requests, and which are in progress.

mod accepted;

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

pub use self::accepted::AcceptedRequest;
use self::accepted::AcceptedRequests;
pub use self::accepted::End;
pub use self::accepted::EndCounts;
pub use self::accepted::Stage;
use crate::process::RequestName;
use crate::process::burn::Role;
use crate::process::log;
use crate::process::log::DrainCause;
use crate::process::log::StateChange;

/// Time between two checks whether senders were told how their requests ended.
const TOLD_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// State of the daemon's graceful stop; see `docs/design/stopping.md`.
#[derive(Debug, Default)]
pub struct Lifecycle {
    announced: AtomicBool,
    end: OnceLock<Instant>,
    leaving: AtomicBool,
    refusing_callers: AtomicBool,
    accepted: AcceptedRequests,
    leaving_started: Notify,
    end_set: Notify,
    cutoff: CancellationToken,
}

/// Keeps one request among those that are in progress until it is dropped.
#[derive(Debug)]
pub struct InProgress {
    handle: RequestHandle,
    end: Mutex<End>,
}

/// Records how far a request in progress has come.
#[derive(Clone, Debug)]
pub struct RequestHandle {
    lifecycle: Arc<Lifecycle>,
    id: u64,
    /// Outlives the request, since a task of its own may pass it on.
    passage: Arc<Mutex<Passage>>,
}

/// Whether a request may be passed on, which the one that passes it on and the end of the stop
/// decide between them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Passage {
    #[default]
    Open,
    /// It was passed on, and may have run.
    Passed,
    /// Its sender was told that it has not run and never will.
    Refused,
}

impl Lifecycle {
    /// Asks callers to use other daemons; requests of other daemons are still served.
    pub fn announce_stop(&self, cause: DrainCause) {
        if !self.announced.swap(true, Ordering::SeqCst) {
            self.accepted.reset_counts();
            let in_progress = self.in_progress();
            log::write(&StateChange::Draining { cause, in_progress });
        }
    }

    /// Sets when the process ends at the latest, which bounds what is begun from then on. Only
    /// the first call has an effect.
    pub fn set_end(&self, end: Instant) {
        self.end.get_or_init(|| end);
        self.end_set.notify_waiters();
    }

    /// Returns the end set by [`Self::set_end`].
    pub fn end(&self) -> Option<Instant> {
        self.end.get().copied()
    }

    /// Waits until [`Self::set_end`] is called.
    pub async fn wait_end_set(&self) {
        loop {
            let end_set = self.end_set.notified();
            if self.end().is_some() {
                return;
            }
            end_set.await;
        }
    }

    /// Ends the requests that still wait for an answer. Called shortly before the process ends.
    pub fn cut_off(&self) {
        self.cutoff.cancel();
    }

    /// Waits until [`Self::cut_off`] is called.
    pub async fn wait_cutoff(&self) {
        self.cutoff.cancelled().await;
    }

    /// Whether callers should use other daemons.
    pub fn is_stop_announced(&self) -> bool {
        self.announced.load(Ordering::SeqCst)
    }

    /// Stops accepting new requests for the local upstream, permanently.
    ///
    /// Returns whether this call was the first; only the first cause is logged.
    pub fn leave(&self, cause: DrainCause) -> bool {
        self.announce_stop(cause);
        let first = !self.leaving.swap(true, Ordering::SeqCst);
        self.leaving_started.notify_waiters();
        first
    }

    /// Whether new requests for the local upstream are refused.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Stops sending requests of outside callers, new ones and those sent before. Calls of
    /// the local upstream are still served, because requests in progress need them.
    pub fn refuse_callers(&self) {
        self.refusing_callers.store(true, Ordering::SeqCst);
    }

    /// Whether requests of outside callers are refused unless they were sent already.
    pub fn is_refusing_callers(&self) -> bool {
        self.refusing_callers.load(Ordering::SeqCst)
    }

    /// Waits until [`Self::leave`] is called.
    pub async fn wait_leaving(&self) {
        loop {
            let leaving_started = self.leaving_started.notified();
            if self.is_leaving() {
                return;
            }
            leaving_started.await;
        }
    }

    /// Keeps a request among those in progress until the returned value is dropped.
    ///
    /// Call this before checking [`Self::is_leaving`]: then the stop waits for
    /// every request that the check does not refuse.
    pub fn begin(self: &Arc<Self>, role: Role) -> InProgress {
        let id = self.accepted.add(role);
        let handle = RequestHandle { lifecycle: Arc::clone(self), id, passage: Arc::default() };
        InProgress { handle, end: Mutex::new(End::Cancelled) }
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.accepted.len()
    }

    /// Returns the requests in progress.
    pub fn accepted(&self) -> Vec<AcceptedRequest> {
        self.accepted.snapshot()
    }

    /// Returns how the requests ended that have done so since the stop was announced.
    pub fn ends(&self) -> EndCounts {
        self.accepted.counts()
    }

    /// Waits until the sender of each request has an answer, or at least its beginning.
    ///
    /// Of those that were cut off, the answer is short and is waited for to its end.
    pub async fn wait_told(&self) {
        while self.accepted().iter().any(|request| request.is_cut || !request.is_answering()) {
            sleep(TOLD_CHECK_INTERVAL).await;
        }
    }

    /// Waits until no request is in progress.
    pub async fn wait_idle(&self) {
        self.accepted.wait_empty().await;
    }
}

impl RequestHandle {
    /// Sets the name by which log lines identify the request.
    pub fn set_name(&self, name: Option<&RequestName>) {
        let Some(name) = name else { return };
        self.lifecycle.accepted.update(self.id, |request| request.name = Some(name.clone()));
    }

    fn set_stage(&self, stage: Stage) {
        self.lifecycle.accepted.update(self.id, |request| request.stage = stage);
    }

    /// Records that the request is passed on. Returns false if the stop has refused it, after
    /// which it must not be.
    #[must_use]
    pub fn try_pass_on(&self) -> bool {
        let mut passage = self.passage.lock();
        if *passage == Passage::Refused {
            return false;
        }
        *passage = Passage::Passed;
        self.set_stage(Stage::Sent);
        true
    }

    /// Records that the request, or a copy of it, may have been passed on by another.
    pub fn set_passed_on(&self) {
        // One that was refused has its answer.
        let _ = self.try_pass_on();
    }

    /// Records that the request has not run where it was passed on to.
    pub fn take_back(&self) {
        let mut passage = self.passage.lock();
        if *passage == Passage::Passed {
            *passage = Passage::Open;
            self.set_stage(Stage::Received);
        }
    }

    /// Records that the answer to the request has begun.
    pub fn set_answering(&self) {
        self.set_stage(Stage::Answering);
    }

    /// Refuses the request for good. Returns false if it may have run.
    #[must_use]
    pub fn try_refuse(&self) -> bool {
        let mut passage = self.passage.lock();
        if *passage == Passage::Passed {
            return false;
        }
        *passage = Passage::Refused;
        true
    }

    /// Records that the stop has cut the request off.
    pub fn set_cut(&self) {
        self.lifecycle.accepted.update(self.id, |request| request.is_cut = true);
    }

    /// Returns what is known of the request; `None` if it has ended.
    pub fn get(&self) -> Option<AcceptedRequest> {
        self.lifecycle.accepted.get(self.id)
    }
}

impl InProgress {
    /// Returns the handle by which others record how far the request has come.
    pub fn handle(&self) -> &RequestHandle {
        &self.handle
    }

    /// Sets how the request ends when this is dropped.
    pub fn set_end(&self, end: End) {
        *self.end.lock() = end;
    }

    /// Returns how the request ends if this is dropped now.
    pub fn end(&self) -> End {
        *self.end.lock()
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let RequestHandle { lifecycle, id, .. } = &self.handle;
        lifecycle.accepted.remove(*id, *self.end.get_mut());
    }
}
