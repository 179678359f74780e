//! Adapts the admission level to the work that is offered.

use super::Level;
use super::load::OfferedLoad;
use crate::version::Criticality;

/// Least part of a criticality that stays open, so that its demand can still
/// be measured and the level corrected.
const LEAST_PART: f64 = 0.02;

/// Offered work for each slot, in an overloaded window. The queue takes up the
/// random variation; less would leave slots idle in each lull.
const HEADROOM: f64 = 1.05;

/// Part of a criticality that opens at the least in a window without lateness.
const LEAST_STEP: f64 = 0.01;

/// Growth of the open part of the last criticality in a window without lateness
/// while all slots are in use.
const CAREFUL_GROWTH: f64 = 0.04;

/// Part of the way that the level goes to where it should be in a late window.
const CLOSING_GAIN: f64 = 0.5;

/// Part of the last criticality that closes at the least in a late window.
const LEAST_CLOSING: f64 = 0.03;

/// Share of the slots above which the upstream counts as fully used.
const FULLY_USED: f64 = 0.9;

/// Keeps the level.
///
/// After DAGOR the level is a criticality and a share of its requests by their
/// hash, so that the same requests survive at every hop. The share follows from
/// the work that is offered by the requests that pass: it is cut to what fits
/// the slots as soon as requests are late. Requests that callers refuse on our
/// behalf are not seen here, so without lateness the level rises by itself, by
/// twice as much in each window while slots are free.
#[derive(Clone, Debug)]
pub(super) struct LevelControl {
    /// Criticalities that pass, the last one in part.
    open: f64,
    step: f64,
}

/// Every criticality passes.
const ALL_OPEN: f64 = Criticality::ALL.len() as f64;

impl LevelControl {
    pub(super) fn new() -> Self {
        Self { open: ALL_OPEN, step: LEAST_STEP }
    }

    /// Closes a window.
    ///
    /// `late` is the most critical class that waits too long, if any does; what
    /// is more critical than it stays open.
    pub(super) fn roll(
        &mut self,
        late: Option<Criticality>,
        load: &OfferedLoad,
        slots: f64,
        in_use: f64,
    ) {
        match late {
            Some(late) => {
                let fitting = self.fitting(load, slots * HEADROOM);
                let floor = f64::from(late.rank()) + LEAST_PART;
                let part = self.open - self.open.ceil() + 1.0;
                let closed = self.open + (fitting - self.open) * CLOSING_GAIN;
                let closed = closed.min(self.open - part * LEAST_CLOSING);
                self.open = closed.max(floor).min(self.open);
                self.step = LEAST_STEP;
            }
            None => {
                self.open = (self.open + self.step).min(ALL_OPEN);
                let spare = in_use < FULLY_USED;
                let careful = (self.open.fract() * CAREFUL_GROWTH).max(LEAST_STEP);
                self.step = if spare { (self.step * 2.0).min(ALL_OPEN) } else { careful };
            }
        }
    }

    /// Returns how far the level may be open for the work to fit `slots`.
    ///
    /// The work of the last class is that of the share which passes now.
    fn fitting(&self, load: &OfferedLoad, slots: f64) -> f64 {
        let mut left = slots;
        for criticality in Criticality::ALL {
            let above = f64::from(criticality.rank());
            let part = (self.open - above).clamp(0.0, 1.0);
            let offered = load.of(criticality);
            if part <= 0.0 {
                return above;
            }
            let whole = offered / part.max(LEAST_PART);
            if whole > left {
                return above + (left / whole).max(0.0);
            }
            left -= whole;
        }
        ALL_OPEN
    }

    pub(super) fn is_open(&self) -> bool {
        self.open >= ALL_OPEN
    }

    pub(super) fn level(&self) -> Level {
        if self.is_open() {
            return Level::OPEN;
        }
        let rank = self.open as u8;
        let criticality = Criticality::from_rank(rank).unwrap_or(Criticality::Deferrable);
        let part = self.open - f64::from(rank);
        Level { criticality, threshold: (part * f64::from(u16::MAX)) as u16 }
    }
}
