//! When the upstream may begin to run requests while this daemon, or the one that sent them,
//! stops.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::sleep_until;

use super::AcceptedRequest;
use super::Node;
use crate::process::Incarnation;
use crate::process::admission::Completion;
use crate::process::log;
use crate::process::log::StateChange;
use crate::process::metrics::Counter;
use crate::process::stop::RunId;
use crate::process::stop::RunTimes;
use crate::process::stop::StopTimes;
use crate::process::stop::StoppingSenders;
use crate::version::PlanKey;

/// Shortest time between two checks whether it is too late to begin a run.
const CHECK_INTERVAL_MIN: Duration = Duration::from_millis(10);

/// What bounds the begin of runs while daemons stop.
#[derive(Debug, Default)]
pub(crate) struct Stops {
    senders: Mutex<StoppingSenders>,
    run_times: Mutex<RunTimes>,
    senders_changed: Notify,
}

/// What decides until when a request may begin to run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BoundedRun {
    /// The daemon that sent the request.
    pub(crate) sender: Incarnation,
    /// Rule or route that applies to the request.
    pub(crate) kind: PlanKey,
    /// Whether it is a call for a request in progress and may be repeated.
    pub(crate) is_idempotent_call: bool,
}

/// Measures one run at the upstream from the moment at which the whole request was passed on.
#[derive(Debug)]
pub(crate) struct RunTimer {
    node: Arc<Node>,
    kind: PlanKey,
    run: Mutex<Option<RunId>>,
}

impl Node {
    /// Returns the times of this daemon's stop; `None` if it is not stopping.
    pub(crate) fn stop_times(&self) -> Option<StopTimes> {
        self.lifecycle.end().map(|end| StopTimes { end: self.clock.since_start(end) })
    }

    /// Logs and counts a request that this daemon's stop has cut off.
    pub(crate) fn record_cut(&self, request: &AcceptedRequest) {
        self.metrics.count(Counter::CutByStop);
        log::write(&StateChange::RequestCut { request: request.clone() });
    }

    /// Records that another daemon, which may have sent requests, ends after `left`.
    pub(crate) fn record_stopping_sender(&self, sender: Incarnation, left: Duration) {
        let now = self.clock.now();
        if self.stops.senders.lock().record(now, sender, now + left) {
            self.stops.senders_changed.notify_waiters();
        }
    }

    /// Whether a daemon has said that it is stopping.
    pub(crate) fn is_stopping_sender(&self, sender: Incarnation) -> bool {
        self.stops.senders.lock().times(sender).is_some()
    }

    /// Returns until when the upstream may begin a run, so that the answer arrives before this
    /// daemon or the sender ends; `None` if neither is stopping.
    pub(crate) fn latest_start(&self, run: &BoundedRun) -> Option<Duration> {
        let of_sender = self.stops.senders.lock().times(run.sender);
        let times = of_sender.into_iter().chain(self.stop_times());
        let times = times.min_by_key(|times| times.end)?;
        if run.is_idempotent_call {
            return Some(times.latest_call_start());
        }
        let longest_run = self.stops.run_times.lock().longest(self.clock.now(), run.kind);
        Some(times.latest_start(longest_run))
    }

    /// Whether a run that begins now would end too late, see [`Self::latest_start`].
    pub(crate) fn is_too_late_to_start(&self, run: &BoundedRun) -> bool {
        self.latest_start(run).is_some_and(|latest| latest <= self.clock.now())
    }

    /// Waits until a run that begins would end too late, see [`Self::latest_start`].
    pub(crate) async fn wait_latest_start(&self, run: &BoundedRun) {
        loop {
            let senders_changed = self.stops.senders_changed.notified();
            // Read before the latest start, which may change from here on.
            let has_end = self.lifecycle.end().is_some();
            let changed = async {
                tokio::select! {
                    () = senders_changed => {}
                    () = self.lifecycle.wait_end_set(), if !has_end => {}
                }
            };
            let Some(latest) = self.latest_start(run) else {
                changed.await;
                continue;
            };
            let now = self.clock.now();
            if latest <= now {
                return;
            }
            // The time comes nearer by twice the time that passes if the longest run is still
            // in progress.
            let check_at = now + ((latest - now) / 2).max(CHECK_INTERVAL_MIN);
            tokio::select! {
                () = sleep_until(self.clock.instant(check_at)) => {}
                () = changed => {}
            }
        }
    }
}

impl RunTimer {
    pub(crate) fn new(node: &Arc<Node>, kind: PlanKey) -> Arc<Self> {
        Arc::new(Self { node: Arc::clone(node), kind, run: Mutex::default() })
    }

    /// Records that the whole request was passed on.
    pub(crate) fn begin(&self) {
        let mut run = self.run.lock();
        if run.is_none() {
            let now = self.node.clock.now();
            *run = Some(self.node.stops.run_times.lock().begin(now, self.kind));
        }
    }

    /// Records how the run ended.
    pub(crate) fn end(&self, completion: Completion) {
        self.end_run(matches!(completion, Completion::Answered | Completion::TimedOut));
    }

    fn end_run(&self, is_complete: bool) {
        if let Some(run) = self.run.lock().take() {
            let now = self.node.clock.now();
            self.node.stops.run_times.lock().end(now, run, is_complete);
        }
    }
}

impl Drop for RunTimer {
    fn drop(&mut self) {
        self.end_run(false);
    }
}
