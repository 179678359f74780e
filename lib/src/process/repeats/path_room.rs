//! Which repeats the services further down the call chain would grant.

use std::hash::Hash;
use std::time::Duration;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use crate::process::admission::Level;
use crate::version::Criticality;

/// Time constant of the average over the levels of a path. The calls of one request reach
/// several instances, whose accounts are not equally full.
const AVERAGING_TIME: Duration = Duration::from_millis(200);

/// Time after which the level of a path is unknown, unless an answer has stated one.
const LEVEL_LIFETIME: Duration = Duration::from_secs(1);

/// Levels up to which repeats are granted, by the path of a request.
///
/// Load pattern: several services of a chain refuse part of their work. A request that is
/// repeated in one of them makes all of its calls as repeats, and they succeed only if each
/// service below grants them. A repeat for which one of these has no room would be spent for
/// nothing, so it is not begun. See `docs/design/retries.md`.
#[derive(Clone, Debug)]
pub struct PathRoom<K> {
    paths: IndexMap<K, PathAverage, FxBuildHasher>,
}

#[derive(Clone, Copy, Debug)]
struct PathAverage {
    position: f64,
    observed_at: Duration,
}

impl<K> Default for PathRoom<K> {
    fn default() -> Self {
        Self { paths: IndexMap::default() }
    }
}

impl<K: Eq + Hash + Clone> PathRoom<K> {
    /// Records the level that an answer on a path stated.
    pub fn record(&mut self, now: Duration, path: &K, level: Level) {
        let position = position(level);
        match self.paths.get_mut(path) {
            Some(average) => {
                let elapsed = now.saturating_sub(average.observed_at);
                let weight = match elapsed < LEVEL_LIFETIME {
                    true => 1.0 - (-elapsed.div_duration_f64(AVERAGING_TIME)).exp(),
                    false => 1.0,
                };
                average.position += (position - average.position) * weight;
                average.observed_at = now;
            }
            None if level != Level::OPEN => {
                let average = PathAverage { position, observed_at: now };
                self.paths.insert(path.clone(), average);
            }
            None => {}
        }
    }

    /// Returns the level up to which repeats are granted on a path.
    pub fn level(&self, now: Duration, path: &K) -> Level {
        match self.paths.get(path) {
            Some(average) if now.saturating_sub(average.observed_at) < LEVEL_LIFETIME => {
                level_at(average.position)
            }
            _ => Level::OPEN,
        }
    }

    /// Returns the strictest level of several paths.
    pub fn strictest<'a>(&self, now: Duration, paths: impl Iterator<Item = &'a K>) -> Level
    where
        K: 'a,
    {
        paths.map(|path| self.level(now, path)).min().unwrap_or(Level::OPEN)
    }
}

/// Number of distinct thresholds within a criticality.
const THRESHOLDS: f64 = u16::MAX as f64 + 1.0;

/// Returns a level as a number, the larger the more open: its criticality's rank, and how much
/// of that criticality it admits.
fn position(level: Level) -> f64 {
    f64::from(level.criticality.rank()) + f64::from(level.threshold) / THRESHOLDS
}

fn level_at(position: f64) -> Level {
    let rank = position.floor().clamp(0.0, Criticality::ALL.len() as f64 - 1.0);
    let criticality = Criticality::ALL[rank as usize];
    // Saturates at the ends.
    Level { criticality, threshold: ((position - rank) * THRESHOLDS).round() as u16 }
}
