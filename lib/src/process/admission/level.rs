//! Admission level that an overloaded daemon reports to its callers.

use std::fmt;
use std::str::FromStr;

use snafu::OptionExt as _;
use snafu::Snafu;

use crate::version::Criticality;

/// Threshold of criticality and request hash up to which a daemon admits requests.
///
/// Requests that are more critical than [`Level::criticality`] pass. Requests of
/// that criticality pass if their hash is at most [`Level::threshold`].
///
/// The hash is that of the root request. Every hop therefore admits the same
/// requests, and no work is spent on a request that a deeper hop would shed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Level {
    /// Least critical class of which at least some requests pass.
    pub criticality: Criticality,
    /// Highest request hash that passes within that criticality.
    pub threshold: u16,
}

impl Level {
    /// Level that admits every request.
    pub const OPEN: Self = Self { criticality: Criticality::Deferrable, threshold: u16::MAX };

    /// Level of a path on which no request can succeed.
    pub const CLOSED: Self = Self { criticality: Criticality::Critical, threshold: 0 };

    /// Returns whether a request of this criticality and hash passes.
    pub fn admits(self, criticality: Criticality, hash: u16) -> bool {
        (criticality, hash) <= (self.criticality, self.threshold)
    }
}

impl Default for Level {
    fn default() -> Self {
        Self::OPEN
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{};{:04x}", self.criticality.rank(), self.threshold)
    }
}

/// Error for a level header that cannot be parsed.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(display("invalid admission level '{found}': expected a rank and a hash such as 2;7fff"))]
pub struct ParseLevelError {
    found: String,
}

impl FromStr for Level {
    type Err = ParseLevelError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        parse_level(s).context(ParseLevelSnafu { found: s })
    }
}

fn parse_level(s: &str) -> Option<Level> {
    let (rank, hash) = s.split_once(';')?;
    let criticality = Criticality::from_rank(rank.parse().ok()?)?;
    let threshold = u16::from_str_radix(hash, 16).ok()?;
    Some(Level { criticality, threshold })
}
