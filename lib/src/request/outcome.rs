//! Outcomes: whether a refused or failed request ran at an upstream.

use std::fmt;
use std::str::FromStr;

use snafu::Snafu;

/// What is known about whether a request without a complete answer ran.
///
/// Only [`Outcome::NotRun`] allows a non-idempotent request to be retried; see
/// `docs/design/outcomes.md`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The request provably did not run at any upstream.
    NotRun,
    /// The request may have run.
    Unknown,
    /// An upstream ran the request.
    Ran,
}

impl Outcome {
    /// Returns the value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }

    /// Combines the outcomes of two attempts at the same request.
    ///
    /// The result claims no more than is known of both attempts: it is
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

/// Error from parsing an outcome header whose value is unknown.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(display("'{found}' is not an outcome; expected not-run, unknown or ran"))]
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
