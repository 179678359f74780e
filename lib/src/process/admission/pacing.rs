//! When refused callers are told to come back.

use std::time::Duration;

use crate::version::Criticality;

/// Refused callers that have been told to come back and are still away.
///
/// Each refusal takes the next place in an imagined queue that the upstream
/// serves at its measured drain rate, so that callers come back no faster than
/// they can be served; the request's hash spreads those that were refused
/// together. Callers of less important work never delay more important ones.
#[derive(Clone, Debug, Default)]
pub(super) struct ReturnPacing {
    away: [f64; Criticality::ALL.len()],
}

impl ReturnPacing {
    /// Closes a window in which the upstream could have served `served`.
    pub(super) fn roll(&mut self, mut served: f64) {
        for away in &mut self.away {
            let returned = served.min(*away);
            *away -= returned;
            served -= returned;
        }
    }

    /// Returns how long a refused caller stays away.
    pub(super) fn refuse(
        &mut self,
        criticality: Criticality,
        hash: u16,
        waiting: usize,
        per_second: f64,
        (least, greatest): (Duration, Duration),
    ) -> Duration {
        let rank = usize::from(criticality.rank());
        let ahead: f64 = self.away[..=rank].iter().sum::<f64>() + waiting as f64;
        self.away[rank] += 1.0;
        let least = least.as_secs_f64();
        let backlog = (ahead / per_second).clamp(least, greatest.as_secs_f64().max(least));
        let spread = 0.5 + f64::from(hash) / f64::from(u16::MAX);
        Duration::from_secs_f64(backlog * spread)
    }
}
