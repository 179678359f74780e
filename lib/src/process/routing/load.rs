//! Load that an instance reports.

use std::fmt;
use std::str::FromStr;

use snafu::OptionExt as _;
use snafu::Snafu;

/// Scale of the success ratio in the header.
const PER_MILLE: f64 = 1000.0;

/// Load of the upstream, which its owner reports on each answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests that are running at the upstream or queued for it.
    pub requests: u32,
    /// Maximum number of requests that the upstream serves concurrently.
    pub slots: u32,
    /// Moving average of the share of requests that the upstream answered.
    pub success_ratio: f64,
}

impl LoadReport {
    /// Returns the number of requests per slot, which exceeds 1 if requests are queued.
    pub fn utilization(&self) -> f64 {
        f64::from(self.requests) / f64::from(self.slots.max(1))
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{};{};{:.0}", self.requests, self.slots, self.success_ratio * PER_MILLE)
    }
}

/// Error for a load header that cannot be parsed.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(display("invalid load '{found}': expected three numbers such as 12;40;1000"))]
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
    let success_per_mille: u32 = fields.next()?.parse().ok()?;
    let success_ratio = (f64::from(success_per_mille) / PER_MILLE).clamp(0.0, 1.0);
    Some(LoadReport { requests, slots, success_ratio })
}
