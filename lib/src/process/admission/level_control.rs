//! Adapts the admission level to the offered load.

use super::Level;
use super::load::OfferedLoad;
use crate::version::Criticality;

/// Minimum share of a class that stays open when it is late, so that its demand can
/// be measured and the level corrected.
const MIN_OPEN_SHARE: f64 = 0.02;

/// Target for the offered load per slot while requests are late. The queue absorbs
/// the random variation of arrivals; a lower target would leave slots idle whenever
/// arrivals are below average.
const TARGET_UTILIZATION: f64 = 1.05;

/// Minimum share of a class by which the level opens in a window without late requests.
const MIN_OPENING_STEP: f64 = 0.01;

/// Growth of the open share of the last class, in a window without late requests
/// while all slots are in use.
const OPENING_GROWTH_AT_FULL_USE: f64 = 0.04;

/// Share of the distance to the fitting level by which the level closes in a window
/// with late requests.
const CLOSING_GAIN: f64 = 0.5;

/// Minimum share of the open part of the last class that closes in such a window.
const MIN_CLOSING_SHARE: f64 = 0.03;

/// Share of the slots in use above which the upstream counts as fully used.
const FULL_UTILIZATION: f64 = 0.9;

/// Controller for the admission level.
///
/// As in the DAGOR paper, the level is a criticality and a share of its requests
/// selected by their hash, so that every hop admits the same requests. As soon as
/// requests are late, the share is reduced to what fits the slots, as estimated from
/// the load of the admitted requests.
///
/// Requests that callers shed on behalf of this daemon are not counted here. Without
/// late requests the level therefore opens by itself, and the step doubles in each
/// window while slots are free.
#[derive(Clone, Debug)]
pub(super) struct LevelControl {
    /// Number of criticalities that pass; the fraction is the share of the last one.
    open_classes: f64,
    opening_step: f64,
}

/// Value of `open_classes` with which every request passes.
const ALL_OPEN: f64 = Criticality::ALL.len() as f64;

impl LevelControl {
    pub(super) fn new() -> Self {
        Self { open_classes: ALL_OPEN, opening_step: MIN_OPENING_STEP }
    }

    /// Ends a window and adapts the level.
    ///
    /// `late_class` is the most critical class that waits too long, if any; more
    /// critical classes stay open.
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

    /// Returns the number of classes that may be open for their load to fit `slots`.
    ///
    /// Of the last open class only a share passes now; its full load is estimated from
    /// that share.
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
