//! The graceful stop of a daemon; see `docs/design/stopping.md`.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep_until;

use super::Daemon;
use crate::process::log;
use crate::process::log::DrainCause;
use crate::process::log::StateChange;
use crate::process::node::Node;
use crate::request::serve;

/// Time for which a stopping daemon keeps answering, so that peers and callers
/// are informed of the stop before its listeners close.
const STOP_NOTICE_TIME: Duration = Duration::from_secs(3);
/// Time for which a stopping daemon keeps serving other daemons if its upstream
/// keeps running. It covers two readiness checks a second apart, after which
/// callers use other daemons, and leaves the rest of the stop to their requests
/// in progress.
const PEER_SERVICE_TIME: Duration = Duration::from_secs(2);
/// Time for connections to other daemons to close once no request is in progress,
/// if the upstream keeps running and the stop is short. It covers round trips and
/// the last bytes of an answer; without it, a silent connection would delay the
/// stop until its time limit.
const PEER_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time reserved for closing callers' connections after the wait for requests in
/// progress.
const CALLER_CLOSE_TIME: Duration = Duration::from_secs(1);
/// Time between the end of a stop and the moment at which a foreign platform
/// kills the process.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Longest time by which the end of a stop is put off for the answers to what is left. With
/// [`LAST_LINES_TIME`] it is shorter than [`KILL_MARGIN`].
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(150);
/// Longest wait for the last lines of the log to be written after a stop, which belongs to its
/// patience. It is shorter than [`KILL_MARGIN`].
pub const LAST_LINES_TIME: Duration = Duration::from_millis(200);

impl Daemon {
    /// Stops gracefully: refuses new requests, then waits for those in progress.
    ///
    /// Returns the number of requests that were cut off because the time limit of the stop
    /// expired.
    pub async fn stop(mut self) -> usize {
        let deadline = Instant::now() + self.patience();
        self.node.lifecycle.set_end(deadline);
        self.background.spawn(serve::announce_stop(Arc::clone(&self.node)));
        self.background.spawn(cut_off_in_time(Arc::clone(&self.node)));
        self.announce_stop().await;
        // The result tells no more than the requests that are left.
        let _ = tokio::time::timeout_at(deadline, self.finish(deadline)).await;
        self.write_last_answers().await;
        // A daemon that starts at the same addresses must find them free.
        self.node.config().stop().await;
        self.node.decisions.flush_all();
        self.node.report_lost_lines();
        self.report_ends()
    }

    /// Lets the answers that end what is left be written if the time for them has passed
    /// without the process running.
    async fn write_last_answers(&self) {
        self.node.lifecycle.cut_off();
        let _ = tokio::time::timeout(LAST_ANSWERS_TIME, self.node.lifecycle.wait_told()).await;
    }

    /// Logs how requests ended in the stop, and returns how many were cut off.
    fn report_ends(&self) -> usize {
        let unfinished = self.node.lifecycle.accepted();
        for request in unfinished.iter().filter(|request| !request.is_cut) {
            self.node.record_cut(request);
        }
        let mut ends = self.node.lifecycle.ends();
        ends.cut += unfinished.len();
        log::write(&match unfinished.len() {
            0 => StateChange::Drained { ends },
            in_progress => StateChange::PatienceEnded { in_progress, ends },
        });
        ends.cut
    }

    /// Returns the time limit of the stop.
    fn patience(&self) -> Duration {
        let patience = self.settings.stop.patience;
        let patience = match self.node.settings.adapter {
            Some(_) => patience.saturating_sub(KILL_MARGIN),
            None => patience.saturating_sub(LAST_ANSWERS_TIME).saturating_sub(LAST_LINES_TIME),
        };
        patience.max(STOP_NOTICE_TIME)
    }

    /// Informs callers and other daemons of the stop.
    ///
    /// On a foreign platform the upstream keeps running, so its daemon still
    /// serves other daemons until callers have stopped using it.
    async fn announce_stop(&self) {
        let lifecycle = &self.node.lifecycle;
        let peer_service_time = match self.upstream_keeps_running() {
            true => PEER_SERVICE_TIME,
            false => Duration::ZERO,
        };
        lifecycle.announce_stop(DrainCause::Signal);
        tokio::time::sleep(peer_service_time).await;
        lifecycle.leave(DrainCause::Signal);
        tokio::time::sleep(STOP_NOTICE_TIME - peer_service_time).await;
    }

    /// Whether the upstream keeps running while the daemon stops, and makes its
    /// calls through the callers' listener.
    fn upstream_keeps_running(&self) -> bool {
        self.node.settings.adapter.is_some()
    }

    /// Closes the listeners as soon as the requests in progress allow it.
    async fn finish(&mut self, deadline: Instant) {
        self.stop_peers.cancel();
        // Callers had the notice time to go elsewhere. A request accepted from now on might
        // not end before the stop does, and would be cut off.
        self.node.lifecycle.refuse_callers();
        if self.upstream_keeps_running() {
            // Requests in progress may still make calls at the callers' listener.
            let idle = self.node.lifecycle.wait_idle();
            let _ = tokio::time::timeout_at(deadline - CALLER_CLOSE_TIME, idle).await;
        }
        self.stop_callers.cancel();
        while self.callers.join_next().await.is_some() {}
        self.node.lifecycle.wait_idle().await;
        let close_at = match self.upstream_keeps_running() {
            true => deadline.min(Instant::now() + PEER_CLOSE_TIMEOUT),
            false => deadline,
        };
        let closing = async { while self.peers.join_next().await.is_some() {} };
        let _ = tokio::time::timeout_at(close_at, closing).await;
        self.stop_internal.cancel();
        while self.internal.join_next().await.is_some() {}
    }
}

/// Ends the requests that wait for an answer when the stop is about to end.
async fn cut_off_in_time(node: Arc<Node>) {
    let Some(times) = node.stop_times() else { return };
    sleep_until(node.clock.instant(times.cutoff())).await;
    node.lifecycle.cut_off();
}
