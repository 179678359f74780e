//! Load that arriving and queued requests put on the upstream.

use std::time::Duration;

use crate::version::Criticality;

/// Time constant of the average of the offered load: long enough to cover the
/// random variation of arrivals, short enough to follow a surge.
const SMOOTHING: Duration = Duration::from_millis(800);

/// Load by criticality and, within each, by [`priority_class`].
type ByClass = [[f64; 2]; Criticality::ALL.len()];

/// Slots that the arriving requests would keep busy, by order of priority.
#[derive(Clone, Debug, Default)]
pub(super) struct OfferedLoad {
    /// Slot seconds that the arrivals of this window need.
    arrived_seconds: ByClass,
    /// Average number of slots that the arrivals keep busy.
    slots: ByClass,
}

impl OfferedLoad {
    /// Records an arrival that is expected to hold a slot for `hold_seconds`.
    pub(super) fn record_arrival(
        &mut self,
        criticality: Criticality,
        depth: u8,
        hold_seconds: f64,
    ) {
        self.arrived_seconds[usize::from(criticality.rank())][priority_class(depth)] +=
            hold_seconds;
    }

    /// Ends a window and adds its arrivals to the average.
    pub(super) fn close_window(&mut self, elapsed: Duration) {
        let gain = 1.0 - (-elapsed.as_secs_f64() / SMOOTHING.as_secs_f64()).exp();
        for (slots, arrived) in
            self.slots.as_flattened_mut().iter_mut().zip(self.arrived_seconds.as_flattened_mut())
        {
            *slots += (*arrived / elapsed.as_secs_f64() - *slots) * gain;
            *arrived = 0.0;
        }
    }

    /// Returns the slots kept busy by requests that start before those of a criticality
    /// and depth. Requests of the same class are not included.
    pub(super) fn slots_before(&self, criticality: Criticality, depth: u8) -> f64 {
        sum_of_higher_priority(&self.slots, criticality, depth)
    }

    /// Returns the slots that all requests keep busy.
    pub(super) fn total(&self) -> f64 {
        self.slots.as_flattened().iter().sum()
    }

    /// Returns the slots that all requests of a criticality keep busy.
    pub(super) fn slots_of(&self, criticality: Criticality) -> f64 {
        self.slots[usize::from(criticality.rank())].iter().sum()
    }
}

/// Slot seconds that the queued requests need, by order of priority.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingLoad {
    seconds: ByClass,
}

impl WaitingLoad {
    pub(super) fn add(&mut self, criticality: Criticality, depth: u8, hold_seconds: f64) {
        self.seconds[usize::from(criticality.rank())][priority_class(depth)] += hold_seconds;
    }

    pub(super) fn remove(&mut self, criticality: Criticality, depth: u8, hold_seconds: f64) {
        let seconds = &mut self.seconds[usize::from(criticality.rank())][priority_class(depth)];
        // Rounding errors may otherwise leave a negative sum.
        *seconds = (*seconds - hold_seconds).max(0.0);
    }

    /// Returns the slot seconds of the queued calls of a criticality.
    pub(super) fn seconds_of_calls(&self, criticality: Criticality) -> f64 {
        self.seconds[usize::from(criticality.rank())][priority_class(1)]
    }

    /// Returns the slot seconds of the queued requests that start before a new request
    /// of a criticality and depth.
    pub(super) fn seconds_ahead_of(&self, criticality: Criticality, depth: u8) -> f64 {
        let own = self.seconds[usize::from(criticality.rank())][priority_class(depth)];
        sum_of_higher_priority(&self.seconds, criticality, depth) + own
    }
}

/// Returns 0 for calls made on behalf of accepted requests and 1 for new requests; calls
/// start before new requests of the same criticality, unless these wait too long.
fn priority_class(depth: u8) -> usize {
    usize::from(depth == 0)
}

fn sum_of_higher_priority(by_class: &ByClass, criticality: Criticality, depth: u8) -> f64 {
    let rank = usize::from(criticality.rank());
    let higher: f64 = by_class[..rank].as_flattened().iter().sum();
    let calls = if depth == 0 { by_class[rank][priority_class(1)] } else { 0.0 };
    higher + calls
}
