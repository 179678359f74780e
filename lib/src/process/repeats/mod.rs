//! The account of repeats that all daemons of a service keep together.
//!
//! Operators bound how many requests may reach a service's upstreams beyond the
//! first time. Each daemon beside an upstream sees all that reaches it, so each
//! keeps a part of the bound by itself and no message is needed: what its own
//! upstream got first earns repeats at its own upstream, and the constant part
//! is divided by the number of the service's instances. See
//! `docs/design/retries.md`.

mod sliding;

use std::time::Duration;

use self::sliding::SlidingCount;

/// Part of the bound that is used, since daemons count the instances of a
/// service at slightly different times.
const USED_PART: f64 = 0.85;

/// The operators' bound on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBound {
    /// Repeats allowed for each request that arrives for the first time.
    pub ratio: f64,
    /// Repeats allowed beside them, for all instances of a service together.
    pub slack: f64,
    /// Time over which both are counted.
    pub window: Duration,
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
    firsts: SlidingCount,
    repeats: SlidingCount,
}

impl RepeatAccount {
    /// Returns an account that has counted nothing yet.
    pub fn new(bound: RepeatBound) -> Self {
        let firsts = SlidingCount::new(bound.window);
        let repeats = SlidingCount::new(bound.window);
        Self { bound, instances: 1, firsts, repeats }
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
        self.firsts.add(now);
    }

    /// Counts a repeat if there is room for it; returns whether there was.
    pub fn repeat(&mut self, now: Duration) -> bool {
        let has_room = self.has_room(now);
        if has_room {
            self.repeats.add(now);
        }
        has_room
    }

    /// Whether there is room for one more repeat.
    pub fn has_room(&mut self, now: Duration) -> bool {
        let spent = self.repeats.total(now) + 1;
        f64::from(spent) <= self.allowed(now)
    }

    /// Returns how many repeats the window that ends now may hold.
    ///
    /// The constant part is not used until the process has run for a window:
    /// the process before it may have used it up.
    fn allowed(&mut self, now: Duration) -> f64 {
        let earned = self.bound.ratio * f64::from(self.firsts.total(now));
        let slack = self.bound.slack / self.instances as f64;
        let slack = if now >= self.bound.window { slack } else { 0.0 };
        (earned + slack) * USED_PART
    }
}
