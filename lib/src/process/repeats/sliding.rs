//! Event counter over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of buckets that a window is divided into. An event stays counted for at most
/// one bucket too long.
const BUCKETS: u32 = 100;

/// Counts the events of the window that ends now.
#[derive(Debug)]
pub(super) struct SlidingCount {
    bucket_width: Duration,
    /// Number and event count of each bucket with events, the oldest first.
    buckets: VecDeque<(u64, u32)>,
    total: u32,
}

impl SlidingCount {
    pub(super) fn new(window: Duration) -> Self {
        let bucket_width = (window / BUCKETS).max(Duration::from_millis(1));
        Self { bucket_width, buckets: VecDeque::new(), total: 0 }
    }

    pub(super) fn add(&mut self, now: Duration) {
        self.drop_expired(now);
        let number = self.bucket_number(now);
        match self.buckets.back_mut() {
            Some((last, count)) if *last == number => *count += 1,
            _ => self.buckets.push_back((number, 1)),
        }
        self.total += 1;
    }

    /// Returns the number of events in the window that ends now, rounded up to whole
    /// buckets.
    pub(super) fn total(&mut self, now: Duration) -> u32 {
        self.drop_expired(now);
        self.total
    }

    /// Returns the number of events in the `span` that ended `ago`, rounded up to whole
    /// buckets.
    pub(super) fn between(&mut self, now: Duration, span: Duration, ago: Duration) -> u32 {
        self.drop_expired(now);
        let end = self.bucket_number(now.saturating_sub(ago));
        let begin = self.bucket_number(now.saturating_sub(ago + span));
        let buckets = self.buckets.iter().filter(|(number, _)| (begin..=end).contains(number));
        buckets.map(|(_, count)| count).sum()
    }

    /// Returns the time since the oldest counted event, rounded up to whole buckets.
    pub(super) fn since_oldest(&mut self, now: Duration) -> Duration {
        self.drop_expired(now);
        let Some(&(oldest, _)) = self.buckets.front() else { return Duration::ZERO };
        let buckets = self.bucket_number(now) - oldest + 1;
        self.bucket_width * u32::try_from(buckets).unwrap_or(u32::MAX)
    }

    fn drop_expired(&mut self, now: Duration) {
        let oldest = self.bucket_number(now).saturating_sub(u64::from(BUCKETS));
        while let Some(&(number, count)) = self.buckets.front() {
            if number >= oldest {
                return;
            }
            self.total -= count;
            self.buckets.pop_front();
        }
    }

    fn bucket_number(&self, now: Duration) -> u64 {
        (now.as_millis() / self.bucket_width.as_millis()) as u64
    }
}
