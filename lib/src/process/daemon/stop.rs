//! The graceful stop of a daemon; see `docs/design/stopping.md`.

use std::time::Duration;

use tokio::time::Instant;

use super::Daemon;
use crate::process::log;
use crate::process::log::DrainCause;
use crate::process::log::StateChange;

/// Time for which a leaving daemon goes on to answer, so that peers and callers
/// hear of it before its listeners close.
const LEAVE_NOTICE: Duration = Duration::from_secs(3);
/// Time for which a daemon told to stop goes on to serve other daemons, where its
/// upstream stays: long enough for callers to be led elsewhere by two questions for
/// readiness a second apart, and short enough to leave the rest for their work.
const SERVE_ON: Duration = Duration::from_secs(2);
/// Time for connections to other daemons to end once nothing is in progress, where
/// the stop is short: round trips and the last bytes of an answer. One that is
/// silent would end with the patience only.
const CLOSE_TIME: Duration = Duration::from_millis(500);
/// Time that is kept for callers' connections to end, after the wait for what is
/// in progress.
const LAST_ANSWERS: Duration = Duration::from_secs(1);
/// Time by which a stop ends before a foreign platform would kill the process.
const KILL_MARGIN: Duration = Duration::from_millis(400);

impl Daemon {
    /// Stops gracefully: no new work, then the end of all work in progress.
    ///
    /// Returns the number of requests that the settings' patience cut off.
    pub async fn stop(mut self) -> usize {
        let give_up = Instant::now() + self.patience();
        self.notify().await;
        let finished = tokio::time::timeout_at(give_up, self.finish(give_up)).await;
        self.node.decisions.flush_all();
        match finished {
            Ok(()) => {
                log::write(&StateChange::Drained);
                0
            }
            Err(_) => {
                let in_progress = self.node.lifecycle.in_progress();
                log::write(&StateChange::PatienceEnded { in_progress });
                in_progress
            }
        }
    }

    /// Returns how long the stop may take.
    fn patience(&self) -> Duration {
        let patience = self.settings.stop.patience;
        match self.node.settings.adapter {
            Some(_) => patience.saturating_sub(KILL_MARGIN).max(LEAVE_NOTICE),
            None => patience,
        }
    }

    /// Lets callers and other daemons hear of the stop.
    ///
    /// On a foreign platform the upstream stays, so its daemon goes on to serve
    /// others while callers are led elsewhere.
    async fn notify(&self) {
        let lifecycle = &self.node.lifecycle;
        let serve_on = match self.keeps_upstream() {
            true => SERVE_ON,
            false => Duration::ZERO,
        };
        lifecycle.announce(DrainCause::Signal);
        tokio::time::sleep(serve_on).await;
        lifecycle.leave(DrainCause::Signal);
        tokio::time::sleep(LEAVE_NOTICE - serve_on).await;
    }

    /// Whether the upstream goes on to run when the daemon stops, and makes its
    /// calls at the callers' listener.
    fn keeps_upstream(&self) -> bool {
        self.node.settings.adapter.is_some()
    }

    async fn finish(&mut self, give_up: Instant) {
        self.stop_peers.cancel();
        if self.keeps_upstream() {
            // Requests in progress may still make calls.
            let idle = self.node.lifecycle.wait_idle();
            let _ = tokio::time::timeout_at(give_up - LAST_ANSWERS, idle).await;
        }
        self.stop_callers.cancel();
        while self.callers.join_next().await.is_some() {}
        self.node.lifecycle.wait_idle().await;
        let close = match self.keeps_upstream() {
            true => give_up.min(Instant::now() + CLOSE_TIME),
            false => give_up,
        };
        let closing = async { while self.peers.join_next().await.is_some() {} };
        let _ = tokio::time::timeout_at(close, closing).await;
        self.stop_inside.cancel();
        while self.inside.join_next().await.is_some() {}
    }
}
