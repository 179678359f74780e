//! Keeps a connection open whose reader pauses, as long as its host answers.

use std::io;
use std::pin::Pin;
use std::sync::Once;
use std::task::Context;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;

use super::sock_diag;
use super::sock_diag::SendState;
use super::tcp;
use super::tcp::USER_TIMEOUT;

/// Pause between two checks of a connection with unacknowledged bytes.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Moves the timeout of a connection on while its remote host answers but takes no bytes.
///
/// The kernel counts [`USER_TIMEOUT`] also over a window that the reader has closed, whether or
/// not the probes into it are answered. See "Readers that pause" in `docs/design/answers.md`.
#[derive(Debug)]
pub(super) struct WindowWatch {
    next_check: Pin<Box<Sleep>>,
    /// Whether bytes were written that were not seen acknowledged yet.
    is_armed: bool,
    /// When the window was last known not to be closed.
    open_at: Instant,
    /// The timeout that is set.
    user_timeout: Duration,
}

impl WindowWatch {
    /// Watches a connection with the options of [`tcp::set_liveness_options`].
    pub(super) fn new() -> Self {
        Self {
            next_check: Box::pin(sleep(CHECK_INTERVAL)),
            is_armed: false,
            open_at: Instant::now(),
            user_timeout: USER_TIMEOUT,
        }
    }

    /// Notes that bytes were written.
    pub(super) fn record_write(&mut self) {
        if self.is_armed {
            return;
        }
        self.is_armed = true;
        self.open_at = Instant::now();
        self.next_check.as_mut().reset(self.open_at + CHECK_INTERVAL);
    }

    /// Checks the connection if that is due, and wakes the task when the next check is.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>, stream: &TcpStream) {
        while self.is_armed && self.next_check.as_mut().poll(cx).is_ready() {
            let now = Instant::now();
            self.next_check.as_mut().reset(now + CHECK_INTERVAL);
            if let Err(err) = self.check(stream, now) {
                report_unwatched(&err);
                self.is_armed = false;
            }
        }
    }

    fn check(&mut self, stream: &TcpStream, now: Instant) -> io::Result<()> {
        let state = sock_diag::send_state(stream.local_addr()?, stream.peer_addr()?)?;
        self.is_armed = state.unacked_bytes > 0;
        let Some(user_timeout) = self.timeout_for(&state, now) else { return Ok(()) };
        if user_timeout != self.user_timeout {
            tcp::set_user_timeout(stream, user_timeout)?;
            self.user_timeout = user_timeout;
        }
        Ok(())
    }

    /// Returns the timeout that gives the remote host [`USER_TIMEOUT`] from now; `None` if it has
    /// not answered for so long.
    fn timeout_for(&mut self, state: &SendState, now: Instant) -> Option<Duration> {
        if !state.is_window_closed || state.unacked_bytes == 0 {
            self.open_at = now;
            return Some(USER_TIMEOUT);
        }
        let has_answered = state.last_ack_age < USER_TIMEOUT;
        has_answered.then(|| now - self.open_at + USER_TIMEOUT)
    }
}

/// Logs once that connections whose reader pauses fail after [`USER_TIMEOUT`].
fn report_unwatched(err: &io::Error) {
    static REPORTED: Once = Once::new();
    // The connection has ended, which its reader is told.
    if matches!(err.kind(), io::ErrorKind::NotFound | io::ErrorKind::NotConnected) {
        return;
    }
    REPORTED.call_once(|| spdlog::warn!("event=windows-unwatched error=\"{err}\""));
}
