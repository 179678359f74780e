//! Limit on the rate of requests that the upstream states in its answers.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use snafu::OptionExt as _;
use snafu::Snafu;

/// Time for which all answers must lack a limit before it is taken for withdrawn: an
/// upstream may state its limit in some of its answers only.
const WITHDRAWAL_TIME: Duration = Duration::from_secs(2);

/// Change of a limit, as a share, from which it is reported to operators.
const REPORTED_CHANGE: f64 = 0.25;

/// Number of requests per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns the rate in requests per second, which is finite and not negative.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Error for a rate that cannot be parsed.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(display("invalid rate '{found}': expected a decimal number that is not negative"))]
pub struct ParseRateError {
    found: String,
}

impl FromStr for RequestRate {
    type Err = ParseRateError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let rate = s.trim().parse().ok().filter(|rate: &f64| rate.is_finite() && *rate >= 0.0);
        // Adding zero removes the sign of a negative zero.
        rate.map(|rate| Self(rate + 0.0)).context(ParseRateSnafu { found: s })
    }
}

/// What one answer says about the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitNotice {
    /// The answer states no limit.
    Absent,
    /// The answer states this limit.
    Stated(RequestRate),
    /// The limit that the answer states cannot be parsed.
    Malformed,
}

/// Limit that another daemon knows of, which a daemon without knowledge of its own adopts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownLimit {
    /// The limit.
    pub rate: RequestRate,
    /// Time since an answer of the upstream stated it.
    pub age: Duration,
}

impl fmt::Display for KnownLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{};{}", self.rate, self.age.as_millis())
    }
}

impl FromStr for KnownLimit {
    type Err = ParseRateError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (rate, age) = s.split_once(';').context(ParseRateSnafu { found: s })?;
        let age = age.parse().ok().context(ParseRateSnafu { found: s })?;
        Ok(Self { rate: rate.parse()?, age: Duration::from_millis(age) })
    }
}

/// A limit in force.
#[derive(Clone, Copy, Debug)]
struct StatedLimit {
    rate: RequestRate,
    /// When an answer stated the limit last.
    stated_at: Duration,
    /// When the first answer since then lacked it.
    absent_since: Option<Duration>,
    /// The rate that operators were told last.
    reported: RequestRate,
}

/// Change of the limit in force that operators are told of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// A limit came into force or has changed.
    To(RequestRate),
    /// The upstream no longer states a limit.
    Withdrawn,
}

/// The limit that the upstream states, from its answers and from other daemons.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LimitRecord {
    limit: Option<StatedLimit>,
    /// When the last answer arrived that states or lacks a limit.
    heard_at: Option<Duration>,
}

impl LimitRecord {
    /// Returns the limit in force.
    pub(super) fn rate(&self) -> Option<RequestRate> {
        self.limit.map(|limit| limit.rate)
    }

    /// Returns the limit in force, for other daemons.
    pub(super) fn known(&self, now: Duration) -> Option<KnownLimit> {
        let limit = self.limit?;
        Some(KnownLimit { rate: limit.rate, age: now.saturating_sub(limit.stated_at) })
    }

    /// Records what an answer to the request that it was sent for says.
    pub(super) fn record_answer(
        &mut self,
        now: Duration,
        notice: LimitNotice,
    ) -> Option<LimitChange> {
        match notice {
            LimitNotice::Stated(rate) => {
                self.heard_at = Some(now);
                self.set(now, rate)
            }
            LimitNotice::Absent => {
                self.heard_at = Some(now);
                self.record_absence(now)
            }
            LimitNotice::Malformed => None,
        }
    }

    /// Records what an answer to another request says. It may be a late one, so it can
    /// only lower the limit.
    pub(super) fn record_late_answer(
        &mut self,
        now: Duration,
        notice: LimitNotice,
    ) -> Option<LimitChange> {
        let LimitNotice::Stated(rate) = notice else { return None };
        let is_lower = self.limit.is_none_or(|limit| rate < limit.rate);
        is_lower.then(|| self.set(now, rate)).flatten()
    }

    /// Adopts a limit that another daemon knows of, unless an answer that is as recent has
    /// arrived here.
    pub(super) fn adopt(&mut self, now: Duration, known: KnownLimit) -> Option<LimitChange> {
        let heard_since = self.heard_at.is_some_and(|at| now.saturating_sub(at) <= known.age);
        if self.limit.is_some() || heard_since {
            return None;
        }
        self.set(now.saturating_sub(known.age), known.rate)
    }

    /// Forgets the limit, because another upstream uses the address.
    pub(super) fn clear(&mut self) -> Option<LimitChange> {
        self.heard_at = None;
        self.limit.take().map(|_| LimitChange::Withdrawn)
    }

    fn set(&mut self, stated_at: Duration, rate: RequestRate) -> Option<LimitChange> {
        let reported = self.limit.map(|limit| limit.reported);
        let is_reported = reported.is_some_and(|reported| !is_notable_change(reported, rate));
        let reported = reported.filter(|_| is_reported).unwrap_or(rate);
        self.limit = Some(StatedLimit { rate, stated_at, absent_since: None, reported });
        (!is_reported).then_some(LimitChange::To(rate))
    }

    fn record_absence(&mut self, now: Duration) -> Option<LimitChange> {
        let limit = self.limit.as_mut()?;
        let since = *limit.absent_since.get_or_insert(now);
        if now.saturating_sub(since) < WITHDRAWAL_TIME {
            return None;
        }
        self.limit = None;
        Some(LimitChange::Withdrawn)
    }
}

fn is_notable_change(from: RequestRate, to: RequestRate) -> bool {
    (to.0 - from.0).abs() > from.0 * REPORTED_CHANGE
}
