//! Sums over the recent past in bounded memory.

use std::ops::AddAssign;
use std::time::Duration;

/// A ring of buckets, each for one interval of time.
///
/// A bucket that is older than the ring is long is reused when its place comes
/// round again and ignored until then, so nothing has to run while no request
/// comes.
#[derive(Clone, Debug)]
pub(super) struct Ring<T> {
    interval: Duration,
    buckets: Box<[Bucket<T>]>,
}

#[derive(Clone, Debug, Default)]
struct Bucket<T> {
    /// Number of the interval since the start, counted from 1; 0 if never used.
    interval: u64,
    sum: T,
}

impl<T: AddAssign + Clone + Default> Ring<T> {
    /// Creates an empty ring over `buckets` intervals.
    pub(super) fn new(interval: Duration, buckets: usize) -> Self {
        Self { interval, buckets: vec![Bucket::default(); buckets].into() }
    }

    /// Adds to the bucket of `now`.
    pub(super) fn add(&mut self, now: Duration, amount: T) {
        let interval = self.interval_at(now);
        let place = interval as usize % self.buckets.len();
        let bucket = &mut self.buckets[place];
        if bucket.interval != interval {
            *bucket = Bucket { interval, sum: T::default() };
        }
        bucket.sum += amount;
    }

    /// Sums the last `length`, the running interval included.
    pub(super) fn sum(&self, now: Duration, length: Duration) -> T {
        let newest = self.interval_at(now);
        let count = length.as_millis().div_ceil(self.interval.as_millis()) as u64;
        let oldest = (newest + 1).saturating_sub(count).max(1);
        let mut sum = T::default();
        for bucket in &self.buckets {
            if (oldest..=newest).contains(&bucket.interval) {
                sum += bucket.sum.clone();
            }
        }
        sum
    }

    fn interval_at(&self, now: Duration) -> u64 {
        (now.as_millis() / self.interval.as_millis()) as u64 + 1
    }
}
