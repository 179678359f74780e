//! The windows over which burn is reported.

use std::time::Duration;

/// A span of time that ends now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Window {
    /// What happens at this moment.
    FiveSeconds,
    /// The surge that is going on.
    Minute,
    /// Whether a surge is over.
    FiveMinutes,
    /// How much of the budget is gone.
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
