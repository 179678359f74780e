//! What a refused or failed request did at its upstream.

use std::fmt;
use std::str::FromStr;

use snafu::Snafu;

/// What is known of a request that did not get a whole answer.
///
/// Only [`Outcome::NotRun`] allows a non-idempotent request to be retried; see
/// `docs/design/outcomes.md`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The request was provably never handed to an upstream.
    NotRun,
    /// The request may have reached an upstream.
    Unknown,
    /// An upstream ran the request.
    Ran,
}

impl Outcome {
    /// Returns the word that stands in the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }

    /// Combines the outcomes of two attempts at the same request.
    ///
    /// The result claims no more than both attempts support: it is
    /// [`Outcome::NotRun`] only if neither attempt ran.
    pub fn and(self, other: Self) -> Self {
        self.max(other)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The outcome header holds none of the known words.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(display("'{found}' is no outcome; expected not-run, unknown or ran"))]
pub struct ParseOutcomeError {
    found: String,
}

impl FromStr for Outcome {
    type Err = ParseOutcomeError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            "ran" => Ok(Self::Ran),
            _ => ParseOutcomeSnafu { found: s }.fail(),
        }
    }
}
