//! What a daemon has seen of one instance on the wire.

use std::time::Duration;

use rand::Rng;
use rand::RngExt as _;

use super::UpstreamFacts;
use crate::process::admission::Level;

/// First wait before a suspected instance is probed.
const PROBE_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Longest wait between two probes of a suspected instance.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(10);
/// Wait before an instance that said it was leaving is probed; a restarted one
/// answers the probe, one that still leaves refuses it.
const LEAVING_PROBE_INTERVAL: Duration = Duration::from_secs(30);
/// Wait before an instance is probed whose leaving daemon has ended its connection.
const RESTART_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeouts in a row, without an answer between them, that make an instance suspected.
const TIMEOUTS_TO_SUSPECT: u32 = 3;
/// How long an admission level is believed after it was last heard.
const LEVEL_LIFETIME: Duration = Duration::from_secs(1);
/// How an instance warms up of which nothing is known: slowly, lest a cold one
/// is flooded.
const USUAL_WARMUP: Warmup = Warmup { least: 0.1, time: Duration::from_secs(10) };
/// Share of work that an instance gets at the start which says itself how long
/// it stays slow; it is about half as fast until then.
const STATED_LEAST: f64 = 0.5;

/// What a daemon saw of an instance, by a call or its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// An answer came, whatever it said.
    Answered,
    /// No connection could be made, or it broke before an answer began.
    ConnectFailed,
    /// No answer came in time.
    TimedOut,
    /// The instance said that it takes no new work.
    Leaving,
    /// Another upstream holds the instance's address.
    Gone,
    /// The connection to the instance's daemon ended.
    Disconnected,
    /// The instance told its admission level.
    Level(Level),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Condition {
    Working,
    Suspected { failures: u32 },
    Leaving,
    Gone,
}

/// How an instance gets from its first share of work to all of it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Warmup {
    least: f64,
    time: Duration,
}

impl Warmup {
    fn of(facts: Option<UpstreamFacts>) -> Self {
        match facts {
            Some(facts) => Self { least: STATED_LEAST, time: facts.cold_for },
            None => USUAL_WARMUP,
        }
    }
}

/// What is known of one instance.
#[derive(Clone, Debug)]
pub(crate) struct Standing {
    condition: Condition,
    timeouts: u32,
    /// When the next probe may go out; without meaning while working.
    probe_at: Duration,
    /// Whether a probe went out whose result is not yet seen; what arrives
    /// otherwise belongs to requests sent before the condition changed.
    probing: bool,
    /// When the instance began to work; `None` if it is long warm.
    warming_since: Option<Duration>,
    warmup: Warmup,
    level: Option<(Level, Duration)>,
}

impl Standing {
    /// Returns the standing of an instance not heard of before, with what its
    /// upstream says of itself.
    pub(crate) fn new(warming_since: Option<Duration>, facts: Option<UpstreamFacts>) -> Self {
        Self {
            condition: Condition::Working,
            timeouts: 0,
            probe_at: Duration::ZERO,
            probing: false,
            warming_since,
            warmup: Warmup::of(facts),
            level: None,
        }
    }

    /// Takes in what was seen of the instance.
    pub(crate) fn observe(&mut self, now: Duration, seen: Observation, rng: &mut impl Rng) {
        match seen {
            Observation::Answered => self.answered(now),
            Observation::ConnectFailed => self.suspect(now, rng),
            Observation::TimedOut => self.timed_out(now, rng),
            Observation::Leaving => self.leave(now),
            Observation::Gone => self.condition = Condition::Gone,
            Observation::Disconnected => self.disconnected(now),
            Observation::Level(level) => self.level = Some((level, now)),
        }
    }

    /// Returns whether the instance may get ordinary work.
    pub(crate) fn works(&self) -> bool {
        self.condition == Condition::Working
    }

    /// Whether the instance is no longer at its address.
    pub(crate) fn is_gone(&self) -> bool {
        self.condition == Condition::Gone
    }

    /// Returns when the instance may be probed, unless it works.
    pub(crate) fn probe_at(&self) -> Option<Duration> {
        (!self.works()).then_some(self.probe_at)
    }

    /// Notes that a probe goes out, so that no second one follows soon.
    pub(crate) fn probe_sent(&mut self, now: Duration, rng: &mut impl Rng) {
        self.probe_at = now + self.interval(rng);
        self.probing = true;
    }

    /// Lets the instance be probed at once, as what was seen of it is out of date.
    pub(crate) fn outdate(&mut self, now: Duration) {
        self.probe_at = self.probe_at.min(now);
        self.level = None;
    }

    /// Returns the admission level in force, if one was heard lately.
    pub(crate) fn level(&self, now: Duration) -> Option<Level> {
        let (level, heard) = self.level?;
        (now.saturating_sub(heard) <= LEVEL_LIFETIME).then_some(level)
    }

    /// Returns the share of ordinary work that the instance can take, up to 1.
    pub(crate) fn share(&self, now: Duration) -> f64 {
        let Some(since) = self.warming_since else { return 1.0 };
        let Warmup { least, time } = self.warmup;
        if time.is_zero() {
            return 1.0;
        }
        let warmed = now.saturating_sub(since).as_secs_f64() / time.as_secs_f64();
        warmed.clamp(least, 1.0)
    }

    fn answered(&mut self, now: Duration) {
        self.timeouts = 0;
        match self.condition {
            Condition::Working => {}
            Condition::Suspected { .. } => self.recover(now),
            Condition::Leaving if self.probing => self.recover(now),
            Condition::Leaving | Condition::Gone => {}
        }
    }

    /// A daemon that was leaving may be back once its connection has ended.
    fn disconnected(&mut self, now: Duration) {
        if self.condition == Condition::Leaving {
            self.probe_at = self.probe_at.min(now + RESTART_PROBE_INTERVAL);
        }
    }

    fn recover(&mut self, now: Duration) {
        self.condition = Condition::Working;
        self.probing = false;
        self.warming_since = Some(now);
    }

    fn timed_out(&mut self, now: Duration, rng: &mut impl Rng) {
        self.timeouts += 1;
        if self.timeouts >= TIMEOUTS_TO_SUSPECT || !self.works() {
            self.suspect(now, rng);
        }
    }

    fn suspect(&mut self, now: Duration, rng: &mut impl Rng) {
        let failures = match self.condition {
            Condition::Working => 1,
            Condition::Suspected { failures } if self.probing => failures.saturating_add(1),
            Condition::Leaving if self.probing => 1,
            Condition::Suspected { .. } | Condition::Leaving | Condition::Gone => return,
        };
        self.probing = false;
        self.condition = Condition::Suspected { failures };
        self.level = None;
        self.probe_at = now + self.interval(rng);
    }

    fn leave(&mut self, now: Duration) {
        if self.condition == Condition::Gone {
            return;
        }
        self.condition = Condition::Leaving;
        self.probing = false;
        self.probe_at = now + LEAVING_PROBE_INTERVAL;
    }

    fn interval(&self, rng: &mut impl Rng) -> Duration {
        match self.condition {
            Condition::Working | Condition::Leaving | Condition::Gone => LEAVING_PROBE_INTERVAL,
            Condition::Suspected { failures } => {
                let doublings = failures.saturating_sub(1).min(16);
                let full = (PROBE_INTERVAL_MIN * (1 << doublings)).min(PROBE_INTERVAL_MAX);
                full.mul_f64(rng.random_range(0.5..=1.0))
            }
        }
    }
}
