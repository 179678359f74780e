//! The least rate at which a caller sends a body.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::timeout_at;

use super::error::ReadError;
use super::reader::ReadFailure;

/// Part of a body that arrives within the timeout, in bytes.
const PART_BYTES: usize = 64 * 1024;

/// Bounds the time that the parts of a body take to arrive.
#[derive(Debug)]
pub(super) struct Pace {
    timeout: Duration,
    part_end: Instant,
    part_len: usize,
}

impl Pace {
    /// Begins with the first part of a body.
    pub(super) fn new(timeout: Duration) -> Self {
        Self { timeout, part_end: Instant::now() + timeout, part_len: 0 }
    }

    /// Reads until the end of the time for the part.
    pub(super) async fn read<T>(
        &self,
        reading: impl Future<Output = Result<T, ReadFailure>>,
    ) -> Result<T, ReadFailure> {
        timeout_at(self.part_end, reading).await.unwrap_or(Err(ReadError::BodyTimeout.into()))
    }

    /// Records that bytes have arrived.
    pub(super) fn record(&mut self, len: usize) {
        self.part_len += len;
        if self.part_len >= PART_BYTES {
            *self = Self::new(self.timeout);
        }
    }

    /// Waits for something that the caller has no part in.
    pub(super) async fn pause<T>(&mut self, waiting: impl Future<Output = T>) -> T {
        let began = Instant::now();
        let waited = waiting.await;
        self.part_end += began.elapsed();
        waited
    }
}
