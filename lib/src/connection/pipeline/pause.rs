//! Waits during which a connection is not read.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt as _;
use tokio::time::Instant;
use tokio::time::sleep;

use super::reader::ReadFailure;
use super::requests::Activity;
use super::stream::ReadHalf;
use super::stream::SOCKET_BUFFER_BYTES;
use crate::process::resources::Account;
use crate::process::resources::Held;

/// Pause between two looks whether the caller of a connection that is not read has closed it.
const CLOSED_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Unread bytes from which on a caller counts as one that sends on, in bytes.
const UNREAD_BYTES: usize = SOCKET_BUFFER_BYTES / 2;

/// A connection whose reading may pause.
#[derive(Clone, Copy)]
pub(super) struct Pauses<'a> {
    pub(super) stream: &'a ReadHalf,
    pub(super) account: &'a Account,
    pub(super) activity: &'a Arc<Activity>,
    /// Longest time for which a caller that sends on gets no response.
    pub(super) stall_timeout: Duration,
}

impl Pauses<'_> {
    /// Waits for what has to come before the connection is read on.
    ///
    /// Meanwhile its buffer may fill, and nobody else would notice that the caller has gone. If it
    /// has sent more than the buffer takes, the kernel does not tell before a response is
    /// written, so that the wait for one is bounded.
    pub(super) async fn run<T>(&self, waiting: impl Future<Output = T>) -> Result<T, ReadFailure> {
        let mut waiting = pin!(waiting);
        if let Some(waited) = waiting.as_mut().now_or_never() {
            return Ok(waited);
        }
        let mut unread = None;
        let paused_at = Instant::now();
        loop {
            // What has arrived may be all that fits.
            if unread.is_none() && self.stream.has_unread(1) {
                unread = Some(self.account.charge(Held::Socket, SOCKET_BUFFER_BYTES));
            }
            tokio::select! {
                biased;
                waited = &mut waiting => return Ok(waited),
                () = sleep(CLOSED_CHECK_INTERVAL) => {}
            }
            if self.stream.is_closed() {
                return Err(ReadFailure::Closed);
            }
            let moved_at = paused_at.max(self.activity.last_end());
            if moved_at.elapsed() >= self.stall_timeout && self.stream.has_unread(UNREAD_BYTES) {
                self.account.cut_stalled();
                self.stream.drop_unsent();
                return Err(ReadFailure::Closed);
            }
        }
    }
}
