//! Waits during which a connection is not read.

use std::pin::pin;
use std::time::Duration;

use futures_util::FutureExt as _;
use tokio::time::sleep;

use super::reader::ReadFailure;
use super::stream::ReadHalf;
use super::stream::SOCKET_BUFFER_BYTES;
use crate::process::resources::Account;
use crate::process::resources::Held;

/// Pause between two looks whether the caller of a connection that is not read has closed it.
const CLOSED_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A connection whose reading may pause.
#[derive(Clone, Copy)]
pub(super) struct Pauses<'a> {
    pub(super) stream: &'a ReadHalf,
    pub(super) account: &'a Account,
}

impl Pauses<'_> {
    /// Waits for what has to come before the connection is read on.
    ///
    /// Meanwhile its buffer may fill, and nobody else would notice that the caller has gone.
    pub(super) async fn run<T>(&self, waiting: impl Future<Output = T>) -> Result<T, ReadFailure> {
        let mut waiting = pin!(waiting);
        if let Some(waited) = waiting.as_mut().now_or_never() {
            return Ok(waited);
        }
        let _unread = self.account.charge(Held::Socket, SOCKET_BUFFER_BYTES);
        loop {
            tokio::select! {
                biased;
                waited = &mut waiting => return Ok(waited),
                () = sleep(CLOSED_CHECK_INTERVAL) => {}
            }
            if self.stream.is_closed() {
                return Err(ReadFailure::Closed);
            }
        }
    }
}
