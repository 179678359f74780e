//! Notices that the process was paused.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// Time between two beats.
pub(crate) const BEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a beat that counts as a pause.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// When the process last ran for certain.
///
/// It reads the true clocks, as a pause of the machine may stop the monotonic
/// one.
#[derive(Debug)]
pub(crate) struct Heartbeat {
    start: Instant,
    start_of_day: SystemTime,
    last_ms: AtomicU64,
}

impl Heartbeat {
    /// Returns a heartbeat that has just beaten.
    pub(crate) fn new() -> Self {
        let start_of_day = SystemTime::now();
        Self { start: Instant::now(), start_of_day, last_ms: AtomicU64::new(0) }
    }

    /// Returns whether the process was paused since the last beat.
    pub(crate) fn is_paused(&self) -> bool {
        self.gap() > PAUSE_THRESHOLD
    }

    /// Notes that the process runs.
    pub(crate) fn beat(&self) {
        self.last_ms.store(self.age().as_millis() as u64, Ordering::Release);
    }

    fn gap(&self) -> Duration {
        let last = Duration::from_millis(self.last_ms.load(Ordering::Acquire));
        self.age().saturating_sub(last)
    }

    /// Returns the time since the start by the clock that saw more of it.
    fn age(&self) -> Duration {
        let by_day = self.start_of_day.elapsed().unwrap_or_default();
        self.start.elapsed().max(by_day)
    }
}
