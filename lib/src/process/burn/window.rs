//! The time windows over which burn is reported.

use std::time::Duration;

/// A time window that ends at the time of the report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Window {
    /// Shows the current failures.
    FiveSeconds,
    /// Shows an overload in progress.
    Minute,
    /// Shows whether an overload is over.
    FiveMinutes,
    /// Shows how much of the error budget is used up.
    Hour,
}

impl Window {
    /// Every window, the shortest first.
    pub const ALL: [Self; 4] = [Self::FiveSeconds, Self::Minute, Self::FiveMinutes, Self::Hour];

    /// Returns the length of the window.
    pub fn length(self) -> Duration {
        match self {
            Self::FiveSeconds => Duration::from_secs(5),
            Self::Minute => Duration::from_secs(60),
            Self::FiveMinutes => Duration::from_secs(5 * 60),
            Self::Hour => Duration::from_secs(60 * 60),
        }
    }
}
