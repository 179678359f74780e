//! The account of repeats that all daemons of a service keep together.
//!
//! Operators bound how many requests may reach a service's upstreams beyond the
//! first time. Each daemon beside an upstream sees all that reaches it, so each
//! keeps a part of the bound by itself and no message is needed: what its own
//! upstream got first earns repeats at its own upstream, and the constant part
//! is divided by the number of the service's instances.
//!
//! Load pattern: all upstreams of a deep service refuse half of their work for
//! seconds. Many more repeats are wanted than the bound allows, and a request
//! that makes ten calls is whole only if each of them gets its repeats. So the
//! most critical requests go first, and among equals those with a low hash, which
//! are the same at every hop. See `docs/design/retries.md`.

mod sliding;

use std::time::Duration;

use self::sliding::SlidingCount;
use crate::version::Criticality;

/// Part of the bound that is used, since daemons count the instances of a
/// service at slightly different times.
const USED_SHARE: f64 = 0.85;

/// Greatest growth of the first arrivals that an earlier window may stand for. Where
/// work moves from one daemon to another, the one that lost it would count it still;
/// with this the daemons together stay within the bound, as
/// `daemons_together_keep_the_bound` replays.
const EARLIER_FIRSTS_RATIO_MAX: f64 = 1.1;

/// Time over which the wanted repeats are counted: the trouble that makes them
/// wanted comes and goes within seconds.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Shortest time that a demand is taken to have lasted, so that a few repeats at
/// its beginning don't look like a flood.
const DEMAND_SPAN_MIN: Duration = Duration::from_millis(250);

/// Standard deviations by which a counted demand is lowered: single repeats are
/// no demand yet.
const DEMAND_DEVIATIONS: f64 = 2.0;

/// The operators' bound on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBound {
    /// Repeats allowed for each request that arrives for the first time.
    pub ratio: f64,
    /// Repeats allowed beside them, for all instances of a service together.
    pub slack: f64,
    /// Time over which both are counted.
    pub window: Duration,
    /// Whether no earlier process can have spent the constant part.
    pub first_start: bool,
}

/// What one daemon has handed to its upstream, and how much of it repeated.
///
/// A request repeats if it, or the request on whose behalf it is made, has
/// reached an upstream before.
#[derive(Debug)]
pub struct RepeatAccount {
    bound: RepeatBound,
    /// Instances of the service, this one included.
    instances: usize,
    first_arrivals: SlidingCount,
    granted: SlidingCount,
    /// Repeats that were asked for, granted or not, by criticality.
    requested: [SlidingCount; Criticality::ALL.len()],
}

impl RepeatAccount {
    /// Returns an account that has counted nothing yet.
    pub fn new(bound: RepeatBound) -> Self {
        Self {
            bound,
            instances: 1,
            // The window before the latest is looked at, too.
            first_arrivals: SlidingCount::new(bound.window * 2),
            granted: SlidingCount::new(bound.window),
            requested: std::array::from_fn(|_| SlidingCount::new(DEMAND_WINDOW)),
        }
    }

    /// Takes in another bound; the window it is counted over stays.
    pub fn set_bound(&mut self, ratio: f64, slack: f64) {
        self.bound = RepeatBound { ratio, slack, ..self.bound };
    }

    /// Takes in how many instances the service has.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// Counts a request that reaches the upstream for the first time.
    pub fn first(&mut self, now: Duration) {
        self.first_arrivals.add(now);
    }

    /// Counts a repeat if there is room for it; returns whether there was.
    pub fn repeat(&mut self, now: Duration, criticality: Criticality, hash: u16) -> bool {
        self.requested[usize::from(criticality.rank())].add(now);
        let has_room = self.has_room(now, criticality, hash);
        if has_room {
            self.granted.add(now);
        }
        has_room
    }

    /// Whether there is room for one more repeat of a request.
    pub fn has_room(&mut self, now: Duration, criticality: Criticality, hash: u16) -> bool {
        let allowed = self.allowed(now);
        let remaining = allowed - f64::from(self.granted.total(now));
        remaining >= 1.0
            && f64::from(hash)
                <= self.grantable_share(now, allowed, criticality) * f64::from(u16::MAX)
    }

    /// Returns how many repeats the window that ends now may hold.
    ///
    /// The constant part is not used until the process has run for a window,
    /// unless it is the first: the process before it may have used it up.
    fn allowed(&mut self, now: Duration) -> f64 {
        let earned = self.bound.ratio * self.counted_first_arrivals(now);
        let slack = self.bound.slack / self.instances as f64;
        let may_use_slack = self.bound.first_start || now >= self.bound.window;
        let slack = if may_use_slack { slack } else { 0.0 };
        (earned + slack) * USED_SHARE
    }

    /// Returns the first arrivals that repeats are measured by: those of the window
    /// that ends now, or of the one before it or half a window before it if more.
    ///
    /// Load pattern: requests that fail early make fewer calls, so that the account
    /// would shrink just when it is needed.
    fn counted_first_arrivals(&mut self, now: Duration) -> f64 {
        let (window, half_window) = (self.bound.window, self.bound.window / 2);
        let latest = f64::from(self.first_arrivals.between(now, window, Duration::ZERO));
        let earlier =
            [half_window, window].map(|ago| self.first_arrivals.between(now, window, ago));
        let earlier = earlier.into_iter().max().map_or(0.0, f64::from);
        earlier.min(latest * EARLIER_FIRSTS_RATIO_MAX).max(latest)
    }

    /// Returns the share of the requests of a criticality, by their hash, whose
    /// repeats fit beside those of more critical requests.
    fn grantable_share(&mut self, now: Duration, allowed: f64, criticality: Criticality) -> f64 {
        let rank = usize::from(criticality.rank());
        let more_critical_demand: f64 = (0..rank).map(|rank| self.demand(now, rank)).sum();
        let own_demand = self.demand(now, rank).max(1.0);
        ((allowed - more_critical_demand) / own_demand).clamp(0.0, 1.0)
    }

    /// Returns how many repeats of a rank a window would hold if all that are
    /// wanted now were granted.
    ///
    /// Answers the beginning of a partial refusal: the rate is taken over the time
    /// since the first want, so that it is known before the account is spent.
    fn demand(&mut self, now: Duration, rank: usize) -> f64 {
        let requested = &mut self.requested[rank];
        let count = f64::from(requested.total(now));
        let span = requested.since_oldest(now).max(DEMAND_SPAN_MIN);
        let significant_count = (count - DEMAND_DEVIATIONS * count.sqrt()).max(0.0);
        significant_count * self.bound.window.as_secs_f64() / span.as_secs_f64()
    }
}
