//! Monotonic time since the process started.

use std::time::Duration;

use tokio::time::Instant;

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

    /// Converts a time since the start of the clock to an [`Instant`].
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }
}
