//! Detects pauses of the process.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// Interval between two heartbeats.
pub(crate) const BEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Time since the last heartbeat above which the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Time at which the process was last known to run.
///
/// Reads the system's monotonic and wall clocks rather than tokio's. The wall
/// clock is needed because a suspended machine may stop the monotonic one.
#[derive(Debug)]
pub(crate) struct Heartbeat {
    start: Instant,
    wall_start: SystemTime,
    last_beat_ms: AtomicU64,
}

impl Heartbeat {
    /// Creates a heartbeat whose last beat is now.
    pub(crate) fn new() -> Self {
        let wall_start = SystemTime::now();
        Self { start: Instant::now(), wall_start, last_beat_ms: AtomicU64::new(0) }
    }

    /// Returns whether the process has been paused since the last beat.
    pub(crate) fn is_paused(&self) -> bool {
        self.since_last_beat() > PAUSE_THRESHOLD
    }

    /// Records that the process is running now.
    pub(crate) fn beat(&self) {
        self.last_beat_ms.store(self.uptime().as_millis() as u64, Ordering::Release);
    }

    fn since_last_beat(&self) -> Duration {
        let last_beat = Duration::from_millis(self.last_beat_ms.load(Ordering::Acquire));
        self.uptime().saturating_sub(last_beat)
    }

    /// Returns the time since the start, by whichever clock shows more of it.
    fn uptime(&self) -> Duration {
        let wall_elapsed = self.wall_start.elapsed().unwrap_or_default();
        self.start.elapsed().max(wall_elapsed)
    }
}
