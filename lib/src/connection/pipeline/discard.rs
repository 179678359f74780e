//! Input that is discarded behind a last response, so that the response is not lost in a reset.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt as _;
use tokio::time::Instant;
use tokio::time::sleep;

/// Longest read, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Reads that each connection makes without a pause: what a caller has sent when it is refused
/// at the start of a body.
const OWN_READS: u32 = 8;
/// Full reads that a connection makes without a pause while few others do: 8 MiB, what its
/// buffers may hold when its caller learns that it need not send more.
const FAST_READS: u32 = 512;
/// Reads beyond their own that all connections together make in a second before they are slowed
/// down, 64 MiB at most.
const SHARED_READS_PER_SECOND: u64 = 4096;
/// Millionths of a read that are available at most.
const MAX_AVAILABLE: u64 = SHARED_READS_PER_SECOND * 1_000_000;
/// Pause after a read that found little input, so that the next one finds more, and after each
/// read beyond [`FAST_READS`].
const PAUSE: Duration = Duration::from_millis(10);
/// Pause after each read while others have used up what is shared.
const CROWDED_PAUSE: Duration = Duration::from_millis(100);

/// Bounds the reads of all connections that discard input. A read of a few bytes costs about as
/// much as a full one. Times are since a fixed point.
#[derive(Debug)]
pub struct DiscardLimit {
    /// Reads that may be made now, in millionths.
    available: u64,
    /// Time up to which `available` was filled.
    filled_until: Duration,
}

impl DiscardLimit {
    /// Creates a limit of which nothing is used up.
    pub fn new() -> Self {
        Self { available: MAX_AVAILABLE, filled_until: Duration::ZERO }
    }

    /// Returns how long a connection pauses at `now` that has just read `len` bytes, and has made
    /// `reads` reads in all.
    pub fn pause(&mut self, len: usize, reads: u32, now: Duration) -> Option<Duration> {
        if reads <= OWN_READS {
            return None;
        }
        if !self.take_read(now) {
            return Some(CROWDED_PAUSE);
        }
        (len < READ_BYTES || reads > FAST_READS).then_some(PAUSE)
    }

    fn take_read(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.filled_until).min(Duration::from_secs(1));
        self.filled_until = now;
        let filled = elapsed.as_micros() as u64 * SHARED_READS_PER_SECOND;
        self.available = (self.available + filled).min(MAX_AVAILABLE);
        let rest = self.available.checked_sub(1_000_000);
        self.available = rest.unwrap_or(self.available);
        rest.is_some()
    }
}

impl Default for DiscardLimit {
    fn default() -> Self {
        Self::new()
    }
}

/// The limit that connections share.
#[derive(Clone, Debug)]
pub struct Discards {
    limit: Arc<Mutex<DiscardLimit>>,
    created: Instant,
}

impl Discards {
    /// Creates a limit of which nothing is used up.
    pub fn new() -> Self {
        Self { limit: Arc::default(), created: Instant::now() }
    }

    /// Discards input until its sender closes the connection, or it fails. A sender that goes on
    /// sending is slowed down.
    pub(super) async fn discard(&self, io: &mut (impl AsyncRead + Unpin)) {
        let mut buf = vec![0; READ_BYTES];
        let mut reads = 0_u32;
        while let Ok(len @ 1..) = io.read(&mut buf).await {
            reads = reads.saturating_add(1);
            let pause = self.limit.lock().pause(len, reads, self.created.elapsed());
            if let Some(pause) = pause {
                sleep(pause).await;
            }
        }
    }
}

impl Default for Discards {
    fn default() -> Self {
        Self::new()
    }
}
