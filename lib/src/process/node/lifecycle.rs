//! Whether the daemon takes new work, and what is still in progress.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;

use crate::process::log;
use crate::process::log::DrainCause;
use crate::process::log::StateChange;

/// The daemon's way from serving to stopped; see `docs/design/stopping.md`.
#[derive(Debug, Default)]
pub struct Lifecycle {
    announced: AtomicBool,
    leaving: AtomicBool,
    in_progress: AtomicUsize,
    idle: Notify,
    left: Notify,
}

/// One request in progress; it ends when this is dropped.
#[derive(Debug)]
pub struct InProgress {
    lifecycle: Arc<Lifecycle>,
}

impl Lifecycle {
    /// Sends callers elsewhere, while other daemons are still served.
    pub fn announce(&self, cause: DrainCause) {
        if !self.announced.swap(true, Ordering::SeqCst) {
            let in_progress = self.in_progress();
            log::write(&StateChange::Draining { cause, in_progress });
        }
    }

    /// Whether callers should go elsewhere.
    pub fn is_announced(&self) -> bool {
        self.announced.load(Ordering::SeqCst)
    }

    /// Stops taking new work for the local upstream, for good.
    ///
    /// The line about it is written for the first cause only.
    /// Returns whether this call was the first.
    pub fn leave(&self, cause: DrainCause) -> bool {
        self.announce(cause);
        let first = !self.leaving.swap(true, Ordering::SeqCst);
        self.left.notify_waiters();
        first
    }

    /// Whether new work for the local upstream is refused.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Waits until [`Self::leave`] was called.
    pub async fn wait_leaving(&self) {
        loop {
            let left = self.left.notified();
            if self.is_leaving() {
                return;
            }
            left.await;
        }
    }

    /// Counts a request until the result is dropped.
    ///
    /// Count first and ask [`Self::is_leaving`] then, so that a request is
    /// either refused or waited for.
    pub fn begin(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        InProgress { lifecycle: Arc::clone(self) }
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }

    /// Waits until no request is in progress.
    pub async fn wait_idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.in_progress() == 0 {
                return;
            }
            idle.await;
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        if self.lifecycle.in_progress.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.lifecycle.idle.notify_waiters();
        }
    }
}
