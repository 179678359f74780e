//! When refused callers are told to come back.

use std::time::Duration;

use crate::version::Criticality;

/// Share of the drain rate that returning callers may take up.
///
/// Fresh requests keep coming while the refused ones come back; returns at the
/// full rate would prolong the overload that they were refused for.
const RETRY_SHARE: f64 = 0.25;

/// Parts of the time left for an answer of full worth between which a refused
/// caller comes back: late enough for others to have ended, early enough for its
/// next try to be worth as much.
const RETRY_DELAY_SHARES: (f64, f64) = (0.15, 0.45);

/// Returns the least and greatest time to stay away for a caller whose answer
/// has its full worth for the time `remaining`.
pub(super) fn retry_after_range(remaining: Duration) -> (Duration, Duration) {
    (remaining.mul_f64(RETRY_DELAY_SHARES.0), remaining.mul_f64(RETRY_DELAY_SHARES.1))
}

/// Returns how long a caller stays away whose answer has its full worth for the
/// time `remaining`; the hash of its request spreads those refused together.
pub fn return_after(remaining: Duration, hash: u16) -> Duration {
    let (min_delay, max_delay) = retry_after_range(remaining);
    min_delay + (max_delay - min_delay).mul_f64(spread(hash))
}

/// Refused callers that have been told to come back and are still away.
///
/// Each refusal takes the next place in an imagined queue that the upstream
/// serves at its measured drain rate, so that callers come back no faster than
/// they can be served; the request's hash spreads those that were refused
/// together. Callers of less important work never delay more important ones.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryPacing {
    pending_retries: [f64; Criticality::ALL.len()],
}

impl RetryPacing {
    /// Closes a window in which the upstream could have served `capacity`.
    pub(super) fn close_window(&mut self, mut capacity: f64) {
        capacity *= RETRY_SHARE;
        for pending in &mut self.pending_retries {
            let retried = capacity.min(*pending);
            *pending -= retried;
            capacity -= retried;
        }
    }

    /// Returns how long a refused caller stays away.
    pub(super) fn schedule_retry(
        &mut self,
        criticality: Criticality,
        hash: u16,
        queued: usize,
        per_second: f64,
        (min_delay, max_delay): (Duration, Duration),
    ) -> Duration {
        let rank = usize::from(criticality.rank());
        let requests_ahead: f64 = self.pending_retries[..=rank].iter().sum::<f64>() + queued as f64;
        self.pending_retries[rank] += 1.0;
        let backlog = Duration::from_secs_f64(requests_ahead / (per_second * RETRY_SHARE));
        let latest_delay =
            (min_delay + 2 * backlog).clamp(2 * min_delay, max_delay.max(2 * min_delay));
        min_delay + (latest_delay - min_delay).mul_f64(spread(hash))
    }
}

/// Returns a share between 0 and 1.
///
/// The refused are those with the highest hashes, so the hash is mixed first.
fn spread(hash: u16) -> f64 {
    const ODD_MULTIPLIER: u16 = 40503;
    f64::from(hash.wrapping_mul(ODD_MULTIPLIER)) / f64::from(u16::MAX)
}
