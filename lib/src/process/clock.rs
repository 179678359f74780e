//! Monotonic time since the process started.

use std::time::Duration;

use tokio::time::Instant;

/// Source of `now` for the state machines, which read no clock themselves.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the instant that a time since the start stands for.
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }
}
