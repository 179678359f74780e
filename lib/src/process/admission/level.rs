//! The admission level that an overloaded daemon tells its callers.

use std::fmt;
use std::str::FromStr;

use snafu::OptionExt as _;
use snafu::Snafu;

use crate::version::Criticality;

/// The least important work that a daemon still takes.
///
/// All requests of a criticality above [`Level::criticality`] pass; of that
/// criticality itself those pass whose hash is at most [`Level::threshold`].
/// The hash belongs to the root request, so the same requests survive at every
/// hop and no work is spent on a request that a deeper hop will refuse.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Level {
    /// The least important criticality that passes at least in part.
    pub criticality: Criticality,
    /// Highest hash of that criticality that passes.
    pub threshold: u16,
}

impl Level {
    /// The level that admits everything.
    pub const OPEN: Self = Self { criticality: Criticality::Deferrable, threshold: u16::MAX };

    /// Tells whether a request passes.
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

/// A level header that cannot be read.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(display("'{found}' is no admission level; expected a rank and a hash such as 2;7fff"))]
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
