//! When refused callers are told to come back.

use std::time::Duration;

use crate::version::Criticality;

/// Share of the drain rate that returning callers may take up.
///
/// Fresh requests keep coming while the refused ones come back; returns at the
/// full rate would prolong the overload that they were refused for.
const RETURN_SHARE: f64 = 0.25;

/// Parts of the time left for an answer of full worth between which a refused
/// caller comes back: late enough for others to have ended, early enough for its
/// next try to be worth as much.
const RETURN_PARTS: (f64, f64) = (0.15, 0.45);

/// Returns the least and greatest time to stay away for a caller whose answer
/// has its full worth for the time `left`.
pub(super) fn return_within(left: Duration) -> (Duration, Duration) {
    (left.mul_f64(RETURN_PARTS.0), left.mul_f64(RETURN_PARTS.1))
}

/// Returns how long a caller stays away whose answer has its full worth for the
/// time `left`; the hash of its request spreads those refused together.
pub fn return_after(left: Duration, hash: u16) -> Duration {
    let (least, greatest) = return_within(left);
    least + (greatest - least).mul_f64(spread(hash))
}

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
        served *= RETURN_SHARE;
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
        let backlog = Duration::from_secs_f64(ahead / (per_second * RETURN_SHARE));
        let latest = (least + 2 * backlog).clamp(2 * least, greatest.max(2 * least));
        least + (latest - least).mul_f64(spread(hash))
    }
}

/// Returns a share between 0 and 1.
///
/// The refused are those with the highest hashes, so the hash is mixed first.
fn spread(hash: u16) -> f64 {
    const ODD: u16 = 40503;
    f64::from(hash.wrapping_mul(ODD)) / f64::from(u16::MAX)
}
