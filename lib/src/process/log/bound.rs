//! Rate limit for log lines about single requests and instances.

use std::time::Duration;

/// Maximum number of lines of one kind per second, for requests that must run at most once and
/// for others each.
///
/// With 17 kinds and about 200 bytes a line, a daemon writes at most 120 KB/s, a
/// hundredth of what a disk can write.
pub(crate) const MAX_LINES_PER_SECOND: u32 = 20;

/// Whether a line is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineAction {
    /// The line is written.
    Write,
    /// The line is dropped and only counted.
    LeaveOut,
}

/// Limit on the lines of one kind within each second of the daemon's clock.
#[derive(Debug, Default)]
pub struct LineRateLimit {
    second: u64,
    written: u32,
    left_out: u64,
}

impl LineRateLimit {
    /// Decides whether one more line is written at `now`.
    pub fn check(&mut self, now: Duration) -> LineAction {
        if now.as_secs() != self.second {
            self.second = now.as_secs();
            self.written = 0;
        }
        if self.written >= MAX_LINES_PER_SECOND {
            self.left_out += 1;
            return LineAction::LeaveOut;
        }
        self.written += 1;
        LineAction::Write
    }

    /// Returns how many lines of past seconds were left out, and resets the count.
    ///
    /// Returns 0 while lines of the current second are being counted.
    pub fn take_left_out(&mut self, now: Duration) -> u64 {
        match now.as_secs() == self.second {
            true => 0,
            false => self.take_all_left_out(),
        }
    }

    /// Returns how many lines were left out, including those of the current second,
    /// and resets the count.
    pub fn take_all_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}
