//! Daemons that stop and whose requests are still here.

use std::time::Duration;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use super::StopTimes;
use crate::process::Incarnation;

/// Most daemons that are tracked. More do not stop at one time in any planned work; the one
/// tracked longest is forgotten first.
const SENDERS_MAX: usize = 4096;

/// The ends of the daemons that have said they are stopping.
///
/// Load pattern: a daemon stops while requests that it has sent wait in the queues of others.
/// Only the owner of a queue can tell that such a request will never run.
#[derive(Debug, Default)]
pub struct StoppingSenders {
    ends: IndexMap<Incarnation, Duration, FxBuildHasher>,
}

impl StoppingSenders {
    /// Records that a daemon ends at `end`. Of several such notices the earliest end counts,
    /// because a notice may be delayed on its way. Returns whether this changes anything.
    pub fn record(&mut self, now: Duration, sender: Incarnation, end: Duration) -> bool {
        self.ends.retain(|_, end| *end > now);
        if let Some(known) = self.ends.get_mut(&sender) {
            let is_earlier = end < *known;
            *known = end.min(*known);
            return is_earlier;
        }
        if self.ends.len() >= SENDERS_MAX {
            self.ends.shift_remove_index(0);
        }
        self.ends.insert(sender, end);
        true
    }

    /// Returns the times of a sender's stop; `None` if it has not said that it is stopping.
    pub fn times(&self, sender: Incarnation) -> Option<StopTimes> {
        self.ends.get(&sender).map(|end| StopTimes { end: *end })
    }
}
