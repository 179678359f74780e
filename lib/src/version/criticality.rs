//! How important a request is when capacity is short.

use std::fmt;
use std::str::FromStr;

use snafu::OptionExt as _;
use snafu::Snafu;

/// Importance of a request. Load shedding starts with the last variant.
///
/// Submissions and transfers are [`Criticality::Critical`], downloads and audit
/// bundles [`Criticality::Deferrable`]; see `docs/rules.md`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Criticality {
    /// Shed last.
    Critical,
    /// Shed after normal and deferrable requests, before critical ones.
    High,
    /// Shed after deferrable requests; meant for ordinary browsing and checks.
    Normal,
    /// Shed first; meant for work that can be done later.
    Deferrable,
}

impl Criticality {
    /// All criticalities, the most important first.
    pub const ALL: [Self; 4] = [Self::Critical, Self::High, Self::Normal, Self::Deferrable];

    /// Returns the position in [`Self::ALL`]; 0 is the most important.
    pub fn rank(self) -> u8 {
        self as u8
    }

    /// Returns the criticality at a position in [`Self::ALL`].
    pub fn from_rank(rank: u8) -> Option<Self> {
        Self::ALL.get(usize::from(rank)).copied()
    }

    /// Returns the keyword for this criticality in a rules file.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Critical => "critical",
            Self::High => "high",
            Self::Normal => "normal",
            Self::Deferrable => "deferrable",
        }
    }
}

impl fmt::Display for Criticality {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A text that is not the keyword of any criticality.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("'{found}' is not a criticality; expected critical, high, normal or deferrable"))]
pub struct ParseCriticalityError {
    found: String,
}

impl FromStr for Criticality {
    type Err = ParseCriticalityError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let known = Self::ALL.into_iter().find(|criticality| criticality.as_str() == s);
        known.context(ParseCriticalitySnafu { found: s })
    }
}
