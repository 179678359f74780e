//! Monotonic time since the process started.

use std::time::Duration;

use tokio::time::Instant;

/// Returns the time since the machine started, in which the time that it was suspended counts.
///
/// Ages of knowledge are measured by it: what was known before a suspension is that much older.
pub fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Clock from which callers pass the current time to the state machines, which read
/// no clock themselves.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Converts an [`Instant`] to the time since the start of the clock.
    pub fn since_start(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.start)
    }

    /// Converts a time since the start of the clock to an [`Instant`].
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }
}
