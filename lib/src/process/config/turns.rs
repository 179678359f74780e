//! Schedules when a daemon watches the platform itself.
//!
//! See `docs/design/configuration.md`.

use std::time::Duration;

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

/// Average number of daemons per availability zone that watch the platform at a time.
pub const WATCHERS_PER_ZONE: f64 = 8.0;
/// Duration of one turn of watching.
pub const TURN_DURATION: Duration = Duration::from_secs(20);

/// Whether a daemon watches the platform next, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// Watch the platform for this long.
    Watch(Duration),
    /// Leave the platform to other daemons for this long.
    Rest(Duration),
}

/// Schedule by which the daemons of an availability zone take turns at watching the
/// platform, without coordination.
///
/// Each daemon rests for random times whose mean grows with the size of the zone.
/// The average number of watchers therefore does not grow with the zone, and the
/// schedule does not depend on any single daemon.
#[derive(Debug)]
pub struct Turns {
    rng: ChaCha8Rng,
    last_was_watch: Option<bool>,
}

impl Turns {
    /// Creates the schedule of a daemon that has not watched or rested yet.
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self { rng, last_was_watch: None }
    }

    /// Returns the next turn in a zone of `zone_size` live daemons.
    ///
    /// A daemon without a partner watches all the time, as it gets no updates
    /// otherwise.
    pub fn next(&mut self, zone_size: usize, has_partner: bool) -> Turn {
        let share = (WATCHERS_PER_ZONE / zone_size.max(1) as f64).min(1.0);
        let watch = match self.last_was_watch {
            _ if !has_partner || share >= 1.0 => true,
            None => self.rng.random_bool(share),
            Some(last_was_watch) => !last_was_watch,
        };
        self.last_was_watch = Some(watch);
        match watch {
            true => Turn::Watch(TURN_DURATION),
            false => Turn::Rest(self.draw_rest(share)),
        }
    }

    /// Makes the next call draw a new rest, after the size of the zone has changed
    /// during one. Redrawing is correct because the remainder of an exponentially
    /// distributed time has the same distribution as the whole.
    pub fn redraw_rest(&mut self) {
        self.last_was_watch = Some(true);
    }

    /// Draws a rest from an exponential distribution whose mean makes a daemon watch
    /// for the given share of the time.
    fn draw_rest(&mut self, share: f64) -> Duration {
        let mean = TURN_DURATION.as_secs_f64() * (1.0 - share) / share;
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }
}
