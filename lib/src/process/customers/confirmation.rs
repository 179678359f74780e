//! How old the knowledge of the policy surely is.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use snafu::OptionExt as _;
use snafu::Snafu;

/// A version of the policy, and how long ago the question was asked whose answer showed that no
/// newer one existed. Daemons send it to each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stamp {
    /// Version number of the policy.
    pub version: u64,
    /// Time since the question was sent to the platform.
    pub age: Duration,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{};{}", self.version, self.age.as_millis())
    }
}

/// Error from parsing a [`Stamp`].
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(display("invalid stamp '{found}': expected a version and milliseconds such as 7;250"))]
pub struct ParseStampError {
    found: String,
}

impl FromStr for Stamp {
    type Err = ParseStampError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let (version, age) = s.split_once(';')?;
            let age = Duration::from_millis(age.parse().ok()?);
            Some(Self { version: version.parse().ok()?, age })
        };
        parse().context(ParseStampSnafu { found: s })
    }
}

/// Time at which the version in force was surely the newest one.
///
/// Load pattern: keys are withdrawn while daemons are cut off from the platform, polled
/// through relays, paused or restarted. All times are of a clock that counts suspended time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Confirmation {
    version: u64,
    as_of: Option<Duration>,
}

impl Confirmation {
    /// Records that a question sent at `asked_at` has shown that `version` is the newest one.
    ///
    /// A version that is older than the known one confirms nothing.
    pub fn confirm(&mut self, version: u64, asked_at: Duration) {
        if version < self.version {
            return;
        }
        let known = self.as_of.filter(|_| version == self.version);
        self.version = version;
        self.as_of = Some(known.map_or(asked_at, |known| known.max(asked_at)));
    }

    /// Records what another daemon answered to a message that was sent at `asked_at`, while
    /// `version` is in force here.
    pub fn hear(&mut self, version: u64, asked_at: Duration, stamp: Stamp) {
        // Another version does not tell how old this one is.
        if stamp.version == version
            && let Some(as_of) = asked_at.checked_sub(stamp.age)
        {
            self.confirm(version, as_of);
        }
    }

    /// Records that a newer version exists which cannot be used.
    pub fn invalidate(&mut self) {
        self.as_of = None;
    }

    /// Returns the time since the version was surely the newest; `None` if it never was.
    pub fn age(&self, version: u64, now: Duration) -> Option<Duration> {
        let as_of = self.as_of.filter(|_| version == self.version)?;
        Some(now.saturating_sub(as_of))
    }

    /// Returns what other daemons are told.
    pub fn stamp(&self, now: Duration) -> Option<Stamp> {
        let age = self.age(self.version, now)?;
        // The age is rounded up, so that it never looks younger than it is.
        Some(Stamp { version: self.version, age: age + Duration::from_millis(1) })
    }

    /// Returns the time as of which the version was surely the newest.
    pub fn as_of(&self) -> Option<Duration> {
        self.as_of
    }
}
