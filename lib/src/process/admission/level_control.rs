//! Adapts the admission level to the queueing delay.

use super::Level;
use crate::version::Criticality;

/// Buckets of hashes for each criticality.
const BUCKETS: usize = 512;

/// All buckets, the most important first.
const POSITIONS: usize = BUCKETS * Criticality::ALL.len();

/// The level always admits this many buckets, so that it can be corrected.
const LEAST_POSITIONS: usize = 8;

/// Share of the admitted arrivals that an overloaded window cuts off.
const CUT: f64 = 0.05;

/// Admitted arrivals for each request served, in an overloaded window.
const HEADROOM: f64 = 1.1;

/// Part of the open buckets of the last class that opens in a window without
/// lateness.
const RAISE_DIVISOR: usize = 8;

/// Share of the slots above which the upstream counts as fully used.
const FULLY_USED: f64 = 0.9;

/// Keeps the level and the arrivals that it is worked out from.
///
/// After DAGOR: arrivals are counted by criticality and hash, so a cut falls on
/// as many buckets as the excess needs. While the overload is gone the level
/// rises by twice as many buckets in each window, because work that callers
/// refuse on our behalf is not counted here and nothing else would show that
/// it has gone.
#[derive(Clone, Debug)]
pub(super) struct LevelControl {
    arrivals: [u32; POSITIONS],
    /// Buckets that are admitted.
    open: usize,
    step: usize,
}

impl LevelControl {
    pub(super) fn new() -> Self {
        Self { arrivals: [0; POSITIONS], open: POSITIONS, step: 1 }
    }

    pub(super) fn arrived(&mut self, criticality: Criticality, hash: u16) {
        let bucket = usize::from(hash) * BUCKETS / (usize::from(u16::MAX) + 1);
        let position = usize::from(criticality.rank()) * BUCKETS + bucket;
        self.arrivals[position] += 1;
    }

    /// Closes a window in which `served` requests were completed.
    ///
    /// `late` is the most critical class that waits too long. Work is started
    /// strictly by criticality, so shedding a class above it would not help it.
    pub(super) fn roll(&mut self, late: Option<Criticality>, served: f64, in_use: f64) {
        match late {
            Some(criticality) => {
                self.cut(criticality, served);
                self.step = 1;
            }
            None => {
                self.open = (self.open + self.step).min(POSITIONS);
                let spare = in_use < FULLY_USED;
                let careful = ((self.open - 1) % BUCKETS / RAISE_DIVISOR).max(1);
                self.step = if spare { (self.step * 2).min(POSITIONS) } else { careful };
            }
        }
        self.arrivals = [0; POSITIONS];
    }

    fn cut(&mut self, late: Criticality, served: f64) {
        let first = usize::from(late.rank()) * BUCKETS + LEAST_POSITIONS;
        self.open = self.open.min(first - LEAST_POSITIONS + BUCKETS);
        let admitted: u32 = self.arrivals[..self.open].iter().sum();
        let kept = f64::from(admitted) * (1.0 - CUT);
        let target = kept.min(served * HEADROOM);
        let mut left = f64::from(admitted);
        while self.open > first && left > target {
            self.open -= 1;
            left -= f64::from(self.arrivals[self.open]);
        }
    }

    pub(super) fn is_open(&self) -> bool {
        self.open == POSITIONS
    }

    pub(super) fn level(&self) -> Level {
        let last = self.open - 1;
        let criticality = Criticality::ALL[last / BUCKETS];
        let buckets = last % BUCKETS + 1;
        let threshold = buckets * (usize::from(u16::MAX) + 1) / BUCKETS - 1;
        Level { criticality, threshold: threshold as u16 }
    }
}
