//! Applies, at the root of a call chain, the admission levels of deeper hops.

use std::hash::Hash;
use std::time::Duration;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use super::Level;
use super::Shed;
use super::ShedReason;
use super::latency::DrainRate;
use super::pacing::RetryPacing;
use super::pacing::retry_after_range;
use crate::version::Criticality;

/// Time after which a level that no answer has repeated expires.
///
/// No answers arrive on a path whose requests are all shed at the root, so a level
/// without expiry could shed them forever.
const LEVEL_LIFETIME: Duration = Duration::from_secs(1);

/// Interval at which levels are aggregated and the drain rate of a path is measured.
const WINDOW: Duration = Duration::from_millis(100);

/// Minimum and maximum retry delay for requests without an objective.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(120));

/// Levels and drain rate of one path through the services.
#[derive(Clone, Debug)]
struct PathState {
    /// Most open level reported in the current window and in the previous one.
    current_max: Level,
    previous_max: Level,
    observed_at: Duration,
    /// When a request that the level excludes was last let through.
    probed_at: Option<Duration>,
    window_start: Duration,
    drain: DrainRate,
    pacing: RetryPacing,
}

/// Admission levels reported on answers, by the path of the request.
///
/// The key decides which requests share a path. The daemon uses the service and the
/// rule, because requests of one rule visit the same deeper services. An answer
/// carries the strictest level of the hops that its request visited. A request that a
/// deep hop would shed is therefore refused at the root, before any work is spent.
#[derive(Clone, Debug)]
pub struct PathLevels<K> {
    paths: IndexMap<K, PathState, FxBuildHasher>,
}

impl<K> Default for PathLevels<K> {
    fn default() -> Self {
        Self { paths: IndexMap::default() }
    }
}

impl<K: Eq + Hash + Clone> PathLevels<K> {
    /// Records a complete answer and the level that it carried, if any.
    pub fn record_answer(&mut self, now: Duration, key: &K, level: Option<Level>) {
        if let Some(path) = self.paths.get_mut(key) {
            path.advance_window(now);
            path.drain.record_completion();
        }
        if let Some(level) = level {
            self.record_level(now, key, level);
        }
    }

    /// Records the level that a refusal or failure carried.
    pub fn record_level(&mut self, now: Duration, key: &K, level: Level) {
        match self.paths.get_mut(key) {
            Some(path) => {
                path.advance_window(now);
                path.current_max = path.current_max.max(level);
                path.observed_at = now;
            }
            None => {
                self.paths.insert(key.clone(), PathState::new(now, level));
            }
        }
    }

    /// Returns the level in force for a path.
    pub fn level(&self, now: Duration, key: &K) -> Level {
        match self.paths.get(key) {
            Some(path) if now.saturating_sub(path.observed_at) < LEVEL_LIFETIME => {
                path.current_max.max(path.previous_max)
            }
            _ => Level::OPEN,
        }
    }

    /// Admits a request, or refuses it on behalf of a deeper hop.
    ///
    /// Load pattern: few requests pass one root, one of several instances is at its limit, or
    /// the limit of the only one ends. A single answer then determines the level of the path
    /// until it expires, so one request is let through whenever no answer has come for a window.
    ///
    /// `remaining` is the time until the objective, if operators set one.
    ///
    /// # Errors
    ///
    /// Returns the refusal with its retry delay if the level excludes the request.
    pub fn check(
        &mut self,
        now: Duration,
        key: &K,
        criticality: Criticality,
        hash: u16,
        remaining: Option<Duration>,
    ) -> Result<(), Shed> {
        if self.level(now, key).admits(criticality, hash) {
            return Ok(());
        }
        let Some(path) = self.paths.get_mut(key) else { return Ok(()) };
        path.advance_window(now);
        if path.is_probe_due(now) {
            path.probed_at = Some(now);
            return Ok(());
        }
        let rate = path.drain.per_second();
        let retry_after = path.pacing.schedule_retry(
            criticality,
            hash,
            0,
            rate,
            remaining.map_or(RETRY_AFTER, retry_after_range),
        );
        Err(Shed { retry_after, reason: ShedReason::Level })
    }
}

impl PathState {
    fn new(now: Duration, level: Level) -> Self {
        Self {
            current_max: level,
            previous_max: Level::CLOSED,
            observed_at: now,
            probed_at: None,
            window_start: now,
            drain: DrainRate::default(),
            pacing: RetryPacing::default(),
        }
    }

    /// Whether the level is too old to refuse this request as well. The next probe waits for an
    /// answer, or for [`LEVEL_LIFETIME`] if the answer is lost.
    fn is_probe_due(&self, now: Duration) -> bool {
        let is_quiet = now.saturating_sub(self.observed_at) >= WINDOW;
        let is_unanswered = self
            .probed_at
            .is_some_and(|at| at >= self.observed_at && now.saturating_sub(at) < LEVEL_LIFETIME);
        is_quiet && !is_unanswered
    }

    fn advance_window(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= WINDOW {
            self.window_start = now;
            if self.observed_at + WINDOW >= self.window_start {
                self.previous_max = self.current_max;
                self.current_max = Level::CLOSED;
            }
            self.drain.close_window(elapsed);
            self.pacing.close_window(self.drain.per_second() * elapsed.as_secs_f64());
        }
    }
}
