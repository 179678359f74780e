//! Bound on repeated requests that all daemons of a service enforce together.
//!
//! Operators limit how many requests may reach a service's upstreams again after a
//! first time. Each daemon sees everything that reaches its own upstream, so each
//! enforces its part of the bound without exchanging messages. First arrivals at its
//! upstream earn repeats at that upstream, and the constant part of the bound is
//! divided by the number of instances of the service.
//!
//! Load pattern: all upstreams of a deep service refuse half of their requests for
//! several seconds. Far more repeats are requested than the bound allows, and a request
//! that makes ten calls succeeds only if each of them may be repeated. The most critical
//! requests therefore take precedence, and among equals those with a low hash, which is
//! the same at every hop. See `docs/design/retries.md`.

mod path_room;
mod sliding;
mod tally;

use std::fmt;
use std::time::Duration;

pub use self::path_room::PathRoom;
use self::sliding::SlidingCount;
pub use self::tally::Arrival;
pub use self::tally::RepeatTally;
use crate::process::admission::Level;
use crate::version::Criticality;

/// Share of the bound that is used. Daemons observe a changed number of instances at
/// slightly different times, and the rest of the bound covers the difference.
const USED_SHARE: f64 = 0.85;

/// Cap on the first arrivals taken from an earlier window, relative to the latest one.
/// When load moves to another daemon, the daemon that lost it would otherwise keep
/// counting it. The test `daemons_together_keep_the_bound` replays this case and checks
/// that the daemons together stay within the bound.
const EARLIER_FIRSTS_RATIO_MAX: f64 = 1.1;

/// Window in which requested repeats are counted. Failures that cause repeats come and go
/// within seconds.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Minimum duration assumed for a demand, so that its first few repeats do not look like
/// a high rate.
const DEMAND_SPAN_MIN: Duration = Duration::from_millis(250);

/// Number of standard deviations subtracted from the count of requested repeats, so that
/// single repeats do not count as demand.
const DEMAND_DEVIATIONS: f64 = 2.0;

/// Bound on repeats set by operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBound {
    /// Repeats allowed per request that arrives for the first time.
    pub ratio: f64,
    /// Additional repeats allowed, for all instances of a service together.
    pub slack: f64,
    /// Window over which requests and repeats are counted.
    pub window: Duration,
    /// Whether no earlier process of this instance can have used the constant part.
    pub first_start: bool,
}

/// Counts the requests that one daemon sent to its upstream and limits the repeats among
/// them.
///
/// A request is a repeat if it, or the request on whose behalf it is made, has reached an
/// upstream before.
#[derive(Debug)]
pub struct RepeatAccount {
    bound: RepeatBound,
    /// Number of instances of the service, including this one.
    instances: usize,
    first_arrivals: SlidingCount,
    granted: SlidingCount,
    /// Repeats that were requested, granted or not, by criticality.
    requested: [SlidingCount; Criticality::ALL.len()],
    tally: RepeatTally,
}

/// How an account stands, and what it has counted since the last report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatUsage {
    /// What was counted.
    pub tally: RepeatTally,
    /// Repeats sent in the window that ends now.
    pub used: u32,
    /// Repeats allowed in that window.
    pub allowed: f64,
    /// Number of instances among which the constant part is divided.
    pub instances: usize,
}

impl fmt::Display for RepeatUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { tally, used, allowed, instances } = self;
        write!(f, "{tally} used={used} allowed={allowed:.0} instances={instances}")
    }
}

impl RepeatAccount {
    /// Creates the account with nothing counted.
    pub fn new(bound: RepeatBound) -> Self {
        Self {
            bound,
            instances: 1,
            // `counted_first_arrivals` also reads the window before the latest one.
            first_arrivals: SlidingCount::new(bound.window * 2),
            granted: SlidingCount::new(bound.window),
            requested: std::array::from_fn(|_| SlidingCount::new(DEMAND_WINDOW)),
            tally: RepeatTally::default(),
        }
    }

    /// Changes the ratio and the constant part; the window stays the same.
    pub fn set_bound(&mut self, ratio: f64, slack: f64) {
        self.bound = RepeatBound { ratio, slack, ..self.bound };
    }

    /// Sets the number of instances of the service.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// Counts a request that reaches the upstream for the first time.
    pub fn record_first(&mut self, now: Duration) {
        self.first_arrivals.add(now);
        self.tally.record_sent(Arrival::First);
    }

    /// Requests a repeat; returns whether it is granted, and counts it in that case.
    pub fn try_repeat(
        &mut self,
        now: Duration,
        arrival: Arrival,
        criticality: Criticality,
        hash: u16,
    ) -> bool {
        self.requested[usize::from(criticality.rank())].add(now);
        let has_room = self.has_room(now, arrival, criticality, hash);
        match has_room {
            true => {
                self.granted.add(now);
                self.tally.record_sent(arrival);
            }
            false => self.tally.record_denied(),
        }
        has_room
    }

    /// Returns whether one more repeat of a request would be granted, and counts it as denied
    /// if not.
    pub fn check_room(
        &mut self,
        now: Duration,
        arrival: Arrival,
        criticality: Criticality,
        hash: u16,
    ) -> bool {
        let has_room = self.has_room(now, arrival, criticality, hash);
        if !has_room {
            self.tally.record_denied();
        }
        has_room
    }

    /// Returns what was counted since the last call; `None` if that were first arrivals alone.
    pub fn take_usage(&mut self, now: Duration) -> Option<RepeatUsage> {
        let tally = std::mem::take(&mut self.tally);
        let (used, allowed) = (self.granted.total(now), self.allowed(now));
        let usage = RepeatUsage { tally, used, allowed, instances: self.instances };
        (!tally.has_no_repeats()).then_some(usage)
    }

    /// Returns whether one more repeat of a request would be granted.
    ///
    /// A call made by a repeat needs no share: the daemon that began the repeat has looked at
    /// [`Self::level`], and its work is lost if the call is denied.
    pub fn has_room(
        &mut self,
        now: Duration,
        arrival: Arrival,
        criticality: Criticality,
        hash: u16,
    ) -> bool {
        let allowed = self.allowed(now);
        if allowed - f64::from(self.granted.total(now)) < 1.0 {
            return false;
        }
        match arrival {
            Arrival::Inherited => true,
            Arrival::First | Arrival::Resent | Arrival::SentElsewhere => {
                let share = self.grantable_share(now, allowed, criticality);
                f64::from(hash) <= share * f64::from(u16::MAX)
            }
        }
    }

    /// Returns the level up to which repeats are granted now.
    pub fn level(&mut self, now: Duration) -> Level {
        let allowed = self.allowed(now);
        if allowed - f64::from(self.granted.total(now)) < 1.0 {
            return Level::CLOSED;
        }
        for criticality in Criticality::ALL {
            let share = self.grantable_share(now, allowed, criticality);
            if share < 1.0 {
                let threshold = (share * f64::from(u16::MAX)) as u16;
                return Level { criticality, threshold };
            }
        }
        Level::OPEN
    }

    /// Returns how many repeats are allowed in the window that ends now.
    ///
    /// The constant part is not used until the process has run for a window, because an
    /// earlier process of the instance may have used it. The first process may use it at once.
    fn allowed(&mut self, now: Duration) -> f64 {
        let earned = self.bound.ratio * self.counted_first_arrivals(now);
        let slack = self.bound.slack / self.instances as f64;
        let may_use_slack = self.bound.first_start || now >= self.bound.window;
        let slack = if may_use_slack { slack } else { 0.0 };
        (earned + slack) * USED_SHARE
    }

    /// Returns the number of first arrivals that the allowed repeats are based on: those of
    /// the window that ends now, or of the window that ended half a window or a full window
    /// earlier if that is more.
    ///
    /// Load pattern: requests that fail early make fewer calls, so the allowance would shrink
    /// just when it is needed.
    fn counted_first_arrivals(&mut self, now: Duration) -> f64 {
        let (window, half_window) = (self.bound.window, self.bound.window / 2);
        let latest = f64::from(self.first_arrivals.between(now, window, Duration::ZERO));
        let earlier =
            [half_window, window].map(|ago| self.first_arrivals.between(now, window, ago));
        let earlier = earlier.into_iter().max().map_or(0.0, f64::from);
        earlier.min(latest * EARLIER_FIRSTS_RATIO_MAX).max(latest)
    }

    /// Returns the share of the requests of a criticality, selected by a low hash, whose
    /// repeats can be granted along with those of more critical requests.
    fn grantable_share(&mut self, now: Duration, allowed: f64, criticality: Criticality) -> f64 {
        let rank = usize::from(criticality.rank());
        let more_critical_demand: f64 = (0..rank).map(|rank| self.demand(now, rank)).sum();
        let own_demand = self.demand(now, rank).max(1.0);
        ((allowed - more_critical_demand) / own_demand).clamp(0.0, 1.0)
    }

    /// Returns how many repeats of a rank a window would contain if all requested ones were
    /// granted at the current rate.
    ///
    /// The rate is measured from the first request for a repeat, so that the demand is known
    /// early when an upstream starts to refuse part of its requests, before the allowance is
    /// used up.
    fn demand(&mut self, now: Duration, rank: usize) -> f64 {
        let requested = &mut self.requested[rank];
        let count = f64::from(requested.total(now));
        let span = requested.since_oldest(now).max(DEMAND_SPAN_MIN);
        let significant_count = (count - DEMAND_DEVIATIONS * count.sqrt()).max(0.0);
        significant_count * self.bound.window.as_secs_f64() / span.as_secs_f64()
    }
}
