//! How busy an instance says it is.

use std::fmt;
use std::str::FromStr;

use snafu::OptionExt as _;
use snafu::Snafu;

/// Parts that a share is told in.
const PER_MILLE: f64 = 1000.0;

/// What an owner tells of its upstream on each answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests at the upstream and waiting for it.
    pub requests: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Share of the requests handed to it that it answered well lately.
    pub good: f64,
}

impl LoadReport {
    /// Returns how many times the slots are filled.
    pub fn fill(&self) -> f64 {
        f64::from(self.requests) / f64::from(self.slots.max(1))
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{};{};{:.0}", self.requests, self.slots, self.good * PER_MILLE)
    }
}

/// A load header that cannot be read.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(display("'{found}' is no load; expected three numbers such as 12;40;1000"))]
pub struct ParseLoadError {
    found: String,
}

impl FromStr for LoadReport {
    type Err = ParseLoadError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        parse_load(s).context(ParseLoadSnafu { found: s })
    }
}

fn parse_load(s: &str) -> Option<LoadReport> {
    let mut fields = s.split(';');
    let requests = fields.next()?.parse().ok()?;
    let slots = fields.next()?.parse().ok()?;
    let good: u32 = fields.next()?.parse().ok()?;
    let good = (f64::from(good) / PER_MILLE).clamp(0.0, 1.0);
    Some(LoadReport { requests, slots, good })
}
