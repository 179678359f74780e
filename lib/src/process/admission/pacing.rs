//! Retry delays for the callers of shed requests.

use std::time::Duration;

use crate::version::Criticality;

/// Share of the drain rate that retries may use.
///
/// New requests keep arriving meanwhile; retries at the full rate would prolong the
/// overload that caused the refusals.
const RETRY_SHARE: f64 = 0.25;

/// Minimum and maximum retry delay, as shares of the time until the objective: late
/// enough for other requests to have finished, early enough for the retry to be
/// answered at full value.
const RETRY_DELAY_SHARES: (f64, f64) = (0.15, 0.45);

/// Returns the minimum and maximum retry delay for a request whose objective is
/// `remaining` away.
pub(super) fn retry_after_range(remaining: Duration) -> (Duration, Duration) {
    (remaining.mul_f64(RETRY_DELAY_SHARES.0), remaining.mul_f64(RETRY_DELAY_SHARES.1))
}

/// Returns the retry delay for a request whose objective is `remaining` away. The
/// hash of the request spreads the retries of requests that were refused together.
pub fn spread_retry_after(remaining: Duration, hash: u16) -> Duration {
    let (min_delay, max_delay) = retry_after_range(remaining);
    min_delay + (max_delay - min_delay).mul_f64(spread(hash))
}

/// Paces the retries of shed requests.
///
/// Each refusal is appended to a virtual queue that drains at a share of the
/// measured drain rate, so that retries arrive no faster than the upstream can serve
/// them. The request hash spreads the retries of requests that were refused together.
/// Retries of less critical requests do not delay those of more critical ones.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryPacing {
    pending_retries: [f64; Criticality::ALL.len()],
}

impl RetryPacing {
    /// Ends a window in which the upstream could have served `capacity` requests.
    pub(super) fn close_window(&mut self, mut capacity: f64) {
        capacity *= RETRY_SHARE;
        for pending in &mut self.pending_retries {
            let retried = capacity.min(*pending);
            *pending -= retried;
            capacity -= retried;
        }
    }

    /// Adds the retry of a refused request and returns its delay.
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

/// Returns a pseudorandom share between 0 and 1.
///
/// The shed requests are those with the highest hashes, so the hash is mixed first.
fn spread(hash: u16) -> f64 {
    const ODD_MULTIPLIER: u16 = 40503;
    f64::from(hash.wrapping_mul(ODD_MULTIPLIER)) / f64::from(u16::MAX)
}
