//! Adapts the admission level to the work that is offered.

use super::Level;
use super::load::OfferedLoad;
use crate::version::Criticality;

/// Least part of a criticality that stays open, so that its demand can still
/// be measured and the level corrected.
const MIN_OPEN_SHARE: f64 = 0.02;

/// Offered work for each slot, in an overloaded window. The queue takes up the
/// random variation; less would leave slots idle in each lull.
const TARGET_UTILIZATION: f64 = 1.05;

/// Part of a criticality that opens at the least in a window without lateness.
const MIN_OPENING_STEP: f64 = 0.01;

/// Growth of the open part of the last criticality in a window without lateness
/// while all slots are in use.
const OPENING_GROWTH_AT_FULL_USE: f64 = 0.04;

/// Part of the way that the level goes to where it should be in a late window.
const CLOSING_GAIN: f64 = 0.5;

/// Part of the last criticality that closes at the least in a late window.
const MIN_CLOSING_SHARE: f64 = 0.03;

/// Share of the slots above which the upstream counts as fully used.
const FULL_UTILIZATION: f64 = 0.9;

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
    open_classes: f64,
    opening_step: f64,
}

/// Every criticality passes.
const ALL_OPEN: f64 = Criticality::ALL.len() as f64;

impl LevelControl {
    pub(super) fn new() -> Self {
        Self { open_classes: ALL_OPEN, opening_step: MIN_OPENING_STEP }
    }

    /// Closes a window.
    ///
    /// `late_class` is the most critical class that waits too long, if any does; what
    /// is more critical than it stays open.
    pub(super) fn close_window(
        &mut self,
        late_class: Option<Criticality>,
        load: &OfferedLoad,
        slots: f64,
        utilization: f64,
    ) {
        match late_class {
            Some(late) => {
                let open_to_fit = self.open_to_fit(load, slots * TARGET_UTILIZATION);
                let floor = f64::from(late.rank()) + MIN_OPEN_SHARE;
                let open_share = self.open_classes - self.open_classes.ceil() + 1.0;
                let closed = self.open_classes + (open_to_fit - self.open_classes) * CLOSING_GAIN;
                let closed = closed.min(self.open_classes - open_share * MIN_CLOSING_SHARE);
                self.open_classes = closed.max(floor).min(self.open_classes);
                self.opening_step = MIN_OPENING_STEP;
            }
            None => {
                self.open_classes = (self.open_classes + self.opening_step).min(ALL_OPEN);
                let has_free_slots = utilization < FULL_UTILIZATION;
                let cautious_step =
                    (self.open_classes.fract() * OPENING_GROWTH_AT_FULL_USE).max(MIN_OPENING_STEP);
                self.opening_step = if has_free_slots {
                    (self.opening_step * 2.0).min(ALL_OPEN)
                } else {
                    cautious_step
                };
            }
        }
    }

    /// Returns how far the level may be open for the work to fit `slots`.
    ///
    /// The work of the last class is that of the share which passes now.
    fn open_to_fit(&self, load: &OfferedLoad, slots: f64) -> f64 {
        let mut free_slots = slots;
        for criticality in Criticality::ALL {
            let classes_before = f64::from(criticality.rank());
            let open_share = (self.open_classes - classes_before).clamp(0.0, 1.0);
            let passing_demand = load.slots_of(criticality);
            if open_share <= 0.0 {
                return classes_before;
            }
            let full_demand = passing_demand / open_share.max(MIN_OPEN_SHARE);
            if full_demand > free_slots {
                return classes_before + (free_slots / full_demand).max(0.0);
            }
            free_slots -= full_demand;
        }
        ALL_OPEN
    }

    pub(super) fn is_open(&self) -> bool {
        self.open_classes >= ALL_OPEN
    }

    pub(super) fn level(&self) -> Level {
        if self.is_open() {
            return Level::OPEN;
        }
        let rank = self.open_classes as u8;
        let criticality = Criticality::from_rank(rank).unwrap_or(Criticality::Deferrable);
        let open_share = self.open_classes - f64::from(rank);
        Level { criticality, threshold: (open_share * f64::from(u16::MAX)) as u16 }
    }
}
