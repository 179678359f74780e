//! The health of one instance, as a daemon observes it from calls.

use std::time::Duration;

use rand::Rng;
use rand::RngExt as _;

use super::UpstreamFacts;
use crate::process::admission::KnownLimit;
use crate::process::admission::Level;

/// Delay before the first probe of a suspected instance.
const PROBE_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Longest delay between two probes of a suspected instance.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(10);
/// Delay before an instance that reported to be leaving is probed. A restarted
/// instance answers the probe; one that is still leaving refuses it.
const LEAVING_PROBE_INTERVAL: Duration = Duration::from_secs(30);
/// Delay before a leaving instance is probed after its daemon closed the
/// connection, since the daemon may have restarted.
const RESTART_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Consecutive timeouts after which an instance is suspected.
const TIMEOUTS_TO_SUSPECT: u32 = 3;
/// Requests sent within this time of each other meet the same failure, so that their timeouts
/// count as one.
const SAME_MOMENT: Duration = Duration::from_millis(10);
/// Time for which a reported admission level is used.
const LEVEL_LIFETIME: Duration = Duration::from_secs(1);
/// Time for which an owner that was restarted is told the limit that it has reported before.
const RATE_LIMIT_LIFETIME: Duration = Duration::from_secs(60);
/// Warm-up of an instance whose upstream states none; slow, so that a cold
/// instance is not overloaded.
const DEFAULT_WARMUP: Warmup = Warmup { initial_share: 0.1, duration: Duration::from_secs(10) };
/// Initial share of an instance whose upstream states its warm-up time. Such an
/// upstream runs at about half speed until the warm-up ends.
const STATED_WARMUP_INITIAL_SHARE: f64 = 0.5;

/// Result of a call to an instance, or a message from it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// The instance's upstream answered, with any status.
    Served,
    /// The instance's daemon answered in place of its upstream.
    Answered,
    /// No connection could be established, or it broke before an answer began.
    ConnectFailed,
    /// No answer arrived in time.
    TimedOut {
        /// When the request was sent.
        sent_at: Duration,
    },
    /// The instance's daemon reported that it accepts no new requests.
    Leaving {
        /// When the request was sent whose answer says so.
        sent_at: Duration,
    },
    /// The instance's upstream has said in an answer that it is leaving.
    UpstreamLeaving,
    /// Another upstream uses the instance's address.
    Gone,
    /// The connection to the instance's daemon was closed.
    Disconnected,
    /// The instance reported its admission level.
    Level(Level),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Condition {
    Working,
    Suspected { failures: u32 },
    Leaving,
    Gone,
}

/// How the traffic share of an instance grows to 1 after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Warmup {
    initial_share: f64,
    duration: Duration,
}

impl Warmup {
    fn from_facts(facts: Option<UpstreamFacts>) -> Self {
        match facts {
            Some(facts) => {
                Self { initial_share: STATED_WARMUP_INITIAL_SHARE, duration: facts.warmup_left }
            }
            None => DEFAULT_WARMUP,
        }
    }
}

/// What a daemon has observed of one instance.
#[derive(Clone, Debug)]
pub(crate) struct HealthRecord {
    condition: Condition,
    consecutive_timeouts: u32,
    /// When the request was sent whose timeout was counted last.
    counted_sent_at: Option<Duration>,
    /// When the last answer of the upstream arrived.
    served_at: Option<Duration>,
    /// When a connection to the instance's daemon ended last.
    disconnected_at: Option<Duration>,
    /// When the next probe may be sent; unused while the instance is working.
    probe_at: Duration,
    /// When the first probe was sent whose result is outstanding. Other results belong to
    /// requests that were sent before the condition changed.
    pending_probe: Option<Duration>,
    /// When the warm-up began; `None` if the instance needs none.
    warming_since: Option<Duration>,
    warmup: Warmup,
    /// The last reported admission level, and when the report arrived.
    level: Option<(Level, Duration)>,
    /// The last reported limit on the rate of requests, and when the report arrived.
    rate_limit: Option<(KnownLimit, Duration)>,
}

impl HealthRecord {
    /// Returns the record of an instance without observations, whose upstream
    /// publishes `facts`.
    pub(crate) fn new(warming_since: Option<Duration>, facts: Option<UpstreamFacts>) -> Self {
        Self {
            condition: Condition::Working,
            consecutive_timeouts: 0,
            counted_sent_at: None,
            served_at: None,
            disconnected_at: None,
            probe_at: Duration::ZERO,
            pending_probe: None,
            warming_since,
            warmup: Warmup::from_facts(facts),
            level: None,
            rate_limit: None,
        }
    }

    /// Records the limit on the rate of requests that the owner reported, if any.
    pub(crate) fn record_rate_limit(&mut self, now: Duration, limit: Option<KnownLimit>) {
        self.rate_limit = limit.map(|limit| (limit, now));
    }

    /// Returns the limit that the owner reported last, unless it is too old to be of use to a
    /// restarted owner.
    pub(crate) fn rate_limit(&self, now: Duration) -> Option<KnownLimit> {
        let (limit, reported_at) = self.rate_limit?;
        let age = limit.age.saturating_add(now.saturating_sub(reported_at));
        (age <= RATE_LIMIT_LIFETIME).then_some(KnownLimit { age, ..limit })
    }

    /// Updates the record with an observation.
    pub(crate) fn observe(&mut self, now: Duration, observation: Observation, rng: &mut impl Rng) {
        match observation {
            Observation::Served => {
                self.served_at = Some(now);
                self.record_answer(now);
            }
            Observation::Answered => self.record_answer(now),
            Observation::ConnectFailed => self.suspect(now, rng),
            Observation::TimedOut { sent_at } => self.record_timeout(now, sent_at, rng),
            Observation::Leaving { sent_at } => self.record_daemon_leaving(now, sent_at),
            Observation::UpstreamLeaving => self.record_leaving(now),
            Observation::Gone => self.condition = Condition::Gone,
            Observation::Disconnected => self.record_disconnect(now),
            Observation::Level(level) => self.level = Some((level, now)),
        }
    }

    /// Returns whether the instance may receive requests other than probes.
    pub(crate) fn is_working(&self) -> bool {
        self.condition == Condition::Working
    }

    /// Whether another upstream uses the instance's address.
    pub(crate) fn is_gone(&self) -> bool {
        self.condition == Condition::Gone
    }

    /// Returns when the instance may be probed; `None` while it is working.
    pub(crate) fn probe_at(&self) -> Option<Duration> {
        (!self.is_working()).then_some(self.probe_at)
    }

    /// Records that a probe was sent and delays the next one.
    pub(crate) fn probe_sent(&mut self, now: Duration, rng: &mut impl Rng) {
        self.probe_at = now + self.probe_interval(rng);
        self.pending_probe.get_or_insert(now);
    }

    /// Marks the observations as out of date: drops the admission level and
    /// allows a probe at once.
    pub(crate) fn mark_stale(&mut self, now: Duration) {
        self.probe_at = self.probe_at.min(now);
        self.level = None;
    }

    /// Returns the last reported admission level, unless it has expired.
    pub(crate) fn level(&self, now: Duration) -> Option<Level> {
        let (level, reported_at) = self.level?;
        (now.saturating_sub(reported_at) <= LEVEL_LIFETIME).then_some(level)
    }

    /// Returns the part of its full traffic share that the instance can handle;
    /// 1 after the warm-up.
    pub(crate) fn share(&self, now: Duration) -> f64 {
        let Some(since) = self.warming_since else { return 1.0 };
        let Warmup { initial_share, duration } = self.warmup;
        if duration.is_zero() {
            return 1.0;
        }
        let progress = now.saturating_sub(since).as_secs_f64() / duration.as_secs_f64();
        progress.clamp(initial_share, 1.0)
    }

    fn record_answer(&mut self, now: Duration) {
        self.consecutive_timeouts = 0;
        self.counted_sent_at = None;
        match self.condition {
            Condition::Working => {}
            Condition::Suspected { .. } => self.recover(now),
            Condition::Leaving if self.pending_probe.is_some() => self.recover(now),
            Condition::Leaving | Condition::Gone => {}
        }
    }

    fn record_disconnect(&mut self, now: Duration) {
        self.disconnected_at = Some(now);
        if self.condition == Condition::Leaving {
            self.probe_after_disconnect(now);
        }
    }

    /// Probes a leaving instance sooner, since its daemon may have restarted.
    fn probe_after_disconnect(&mut self, disconnected_at: Duration) {
        self.probe_at = self.probe_at.min(disconnected_at + RESTART_PROBE_INTERVAL);
    }

    /// Records that the instance's daemon is leaving.
    ///
    /// The last answers of a daemon that stops arrive together with the end of their connection,
    /// and may be recorded after it.
    fn record_daemon_leaving(&mut self, now: Duration, sent_at: Duration) {
        self.record_leaving(now);
        if let Some(disconnected_at) = self.disconnected_at.filter(|at| *at >= sent_at) {
            self.probe_after_disconnect(disconnected_at);
        }
    }

    fn recover(&mut self, now: Duration) {
        self.condition = Condition::Working;
        self.pending_probe = None;
        self.warming_since = Some(now);
    }

    fn record_timeout(&mut self, now: Duration, sent_at: Duration, rng: &mut impl Rng) {
        if !self.is_working() {
            if self.pending_probe.is_some_and(|probe_sent_at| sent_at >= probe_sent_at) {
                self.suspect(now, rng);
            }
            return;
        }
        // The instance has served a later request, so this one says nothing of the others.
        if self.served_at.is_some_and(|served_at| served_at >= sent_at) {
            return;
        }
        if self.counted_sent_at.is_some_and(|counted| counted.abs_diff(sent_at) < SAME_MOMENT) {
            return;
        }
        self.counted_sent_at = Some(sent_at);
        self.consecutive_timeouts += 1;
        if self.consecutive_timeouts >= TIMEOUTS_TO_SUSPECT {
            self.suspect(now, rng);
        }
    }

    fn suspect(&mut self, now: Duration, rng: &mut impl Rng) {
        let failures = match self.condition {
            Condition::Working => 1,
            Condition::Suspected { failures } if self.pending_probe.is_some() => {
                failures.saturating_add(1)
            }
            Condition::Leaving if self.pending_probe.is_some() => 1,
            Condition::Suspected { .. } | Condition::Leaving | Condition::Gone => return,
        };
        self.pending_probe = None;
        self.condition = Condition::Suspected { failures };
        self.level = None;
        self.probe_at = now + self.probe_interval(rng);
    }

    fn record_leaving(&mut self, now: Duration) {
        if self.condition == Condition::Gone {
            return;
        }
        self.condition = Condition::Leaving;
        self.pending_probe = None;
        self.probe_at = now + LEAVING_PROBE_INTERVAL;
    }

    fn probe_interval(&self, rng: &mut impl Rng) -> Duration {
        match self.condition {
            Condition::Working | Condition::Leaving | Condition::Gone => LEAVING_PROBE_INTERVAL,
            Condition::Suspected { failures } => {
                let doublings = failures.saturating_sub(1).min(16);
                let longest = (PROBE_INTERVAL_MIN * (1 << doublings)).min(PROBE_INTERVAL_MAX);
                longest.mul_f64(rng.random_range(0.5..=1.0))
            }
        }
    }
}
