//! How many lines on single requests are written.

use std::time::Duration;

/// Lines of one kind that are written in one second at most.
///
/// With five kinds of about 200 bytes a daemon writes at most 20 KB a second, a
/// thousandth of what a disk takes, and an operator can still read what came.
pub(crate) const LINES_MAX: u32 = 20;

/// What becomes of a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is written.
    Write,
    /// It is counted only.
    LeaveOut,
}

/// Bound on the lines of one kind, by second of the daemon's clock.
#[derive(Debug, Default)]
pub struct LineBound {
    second: u64,
    written: u32,
    left_out: u64,
}

impl LineBound {
    /// Decides on one line.
    pub fn ask(&mut self, now: Duration) -> Verdict {
        if now.as_secs() != self.second {
            self.second = now.as_secs();
            self.written = 0;
        }
        if self.written >= LINES_MAX {
            self.left_out += 1;
            return Verdict::LeaveOut;
        }
        self.written += 1;
        Verdict::Write
    }

    /// Returns how many lines of past seconds were left out, once.
    pub fn take_left_out(&mut self, now: Duration) -> u64 {
        match now.as_secs() == self.second {
            true => 0,
            false => self.take_all_left_out(),
        }
    }

    /// Returns how many lines were left out and not yet told of.
    pub fn take_all_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}
