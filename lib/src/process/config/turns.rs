//! When a daemon watches the platform itself; see `docs/design/configuration.md`.

use std::time::Duration;

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

/// Daemons of one availability zone that watch the platform at any time, on average.
pub const WATCHERS_PER_ZONE: f64 = 8.0;
/// How long one turn of watching lasts.
pub const TURN: Duration = Duration::from_secs(20);

/// What a daemon does next about the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// It watches the platform for this long.
    Watch(Duration),
    /// It leaves the platform to others for this long.
    Rest(Duration),
}

/// Takes turns at watching the platform with the other daemons of the
/// availability zone, without a word between them.
///
/// Each daemon rests for random times whose mean grows with the zone, so that
/// the number of watchers does not, and no daemon's absence matters.
#[derive(Debug)]
pub struct Turns {
    rng: ChaCha8Rng,
    watched: Option<bool>,
}

impl Turns {
    /// Returns the turns of a daemon that has taken none yet.
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self { rng, watched: None }
    }

    /// Returns what to do next in a zone of so many live daemons.
    ///
    /// A daemon without a partner watches all the time, as nobody tells it news.
    pub fn next(&mut self, zone_size: usize, has_partner: bool) -> Turn {
        let share = (WATCHERS_PER_ZONE / zone_size.max(1) as f64).min(1.0);
        let watch = match self.watched {
            _ if !has_partner || share >= 1.0 => true,
            None => self.rng.random_bool(share),
            Some(watched) => !watched,
        };
        self.watched = Some(watch);
        match watch {
            true => Turn::Watch(TURN),
            false => Turn::Rest(self.rest(share)),
        }
    }

    /// Lets the next call draw the rest under way anew, for a zone of another
    /// size; what is left of an exponential time is distributed like all of it.
    pub fn redraw_rest(&mut self) {
        self.watched = Some(true);
    }

    /// Draws a rest after which a random instant falls into a turn with
    /// probability `share`.
    fn rest(&mut self, share: f64) -> Duration {
        let mean = TURN.as_secs_f64() * (1.0 - share) / share;
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }
}
