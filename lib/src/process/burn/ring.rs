//! Sums over sliding time windows in bounded memory.

use std::ops::AddAssign;
use std::time::Duration;

/// A ring of buckets, each of which holds the sum of one time interval.
///
/// Buckets are reused in turn. A bucket whose interval is older than the ring's
/// total length is ignored until it is reused, so that the ring needs no timer
/// that clears buckets.
#[derive(Clone, Debug)]
pub(super) struct Ring<T> {
    interval: Duration,
    buckets: Box<[Bucket<T>]>,
}

#[derive(Clone, Debug, Default)]
struct Bucket<T> {
    /// Index of the bucket's interval since the start, counted from 1; 0 if the
    /// bucket was never used.
    interval_index: u64,
    sum: T,
}

impl<T: AddAssign + Clone + Default> Ring<T> {
    /// Creates an empty ring of `buckets` buckets, each `interval` long.
    pub(super) fn new(interval: Duration, buckets: usize) -> Self {
        Self { interval, buckets: vec![Bucket::default(); buckets].into() }
    }

    /// Adds `amount` to the bucket of `now`.
    pub(super) fn add(&mut self, now: Duration, amount: T) {
        let interval_index = self.interval_index_at(now);
        let position = interval_index as usize % self.buckets.len();
        let bucket = &mut self.buckets[position];
        if bucket.interval_index != interval_index {
            *bucket = Bucket { interval_index, sum: T::default() };
        }
        bucket.sum += amount;
    }

    /// Returns the sum over the last `length`, rounded up to whole intervals. The
    /// interval in progress is included.
    pub(super) fn sum(&self, now: Duration, length: Duration) -> T {
        let newest = self.interval_index_at(now);
        let count = length.as_millis().div_ceil(self.interval.as_millis()) as u64;
        let oldest = (newest + 1).saturating_sub(count).max(1);
        let mut sum = T::default();
        for bucket in &self.buckets {
            if (oldest..=newest).contains(&bucket.interval_index) {
                sum += bucket.sum.clone();
            }
        }
        sum
    }

    /// Returns the index of the interval that contains `now`, counted from 1.
    fn interval_index_at(&self, now: Duration) -> u64 {
        (now.as_millis() / self.interval.as_millis()) as u64 + 1
    }
}
