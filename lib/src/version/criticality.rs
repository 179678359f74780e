//! How much a request matters when capacity is short.

use std::fmt;
use std::str::FromStr;

use snafu::OptionExt as _;
use snafu::Snafu;

/// Order in which requests are shed: the last variant goes first.
///
/// Submissions and transfers are [`Criticality::Critical`], downloads and audit
/// bundles [`Criticality::Deferrable`]; see `docs/rules.md`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Criticality {
    /// Shed last.
    Critical,
    /// Shed before critical requests only.
    High,
    /// Ordinary browsing and checks.
    Normal,
    /// May wait; shed first.
    Deferrable,
}

impl Criticality {
    /// Every criticality, the most important first.
    pub const ALL: [Self; 4] = [Self::Critical, Self::High, Self::Normal, Self::Deferrable];

    /// Returns the position in [`Self::ALL`]; 0 is the most important.
    pub fn rank(self) -> u8 {
        self as u8
    }

    /// Returns the criticality at a position in [`Self::ALL`].
    pub fn from_rank(rank: u8) -> Option<Self> {
        Self::ALL.get(usize::from(rank)).copied()
    }

    /// Returns the word that stands in a rules file.
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

/// A word that is no criticality.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("'{found}' is no criticality; expected critical, high, normal or deferrable"))]
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
