//! Shares of a split.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::process::ServiceName;

/// Step of the low-discrepancy sequence, as a fraction of 2^64: the golden
/// ratio, whose multiples lie further apart than those of any other number.
const GOLDEN_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// One service of a split.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, in the proportion of all weights.
    pub weight: u32,
}

/// Services that share the requests of a route by weight.
///
/// Requests follow a low-discrepancy sequence, so that after any number of
/// requests each part is within a few of its share. The sequence starts at a
/// random place, so that many daemons or a quick succession of versions do not
/// all begin with the same part.
#[derive(Debug)]
pub struct Split {
    parts: Vec<Part>,
    total: u64,
    place: AtomicU64,
}

impl Split {
    /// Returns a split that starts at a place drawn by the caller; `None` if no
    /// part has a weight.
    pub fn new(parts: Vec<Part>, start: u64) -> Option<Self> {
        let total = parts.iter().map(|part| u64::from(part.weight)).sum();
        (total > 0).then(|| Self { parts, total, place: AtomicU64::new(start) })
    }

    /// Returns the parts in the order of the text.
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Returns the service of the next request.
    pub fn next(&self) -> &ServiceName {
        let place = self.place.fetch_add(GOLDEN_STEP, Ordering::Relaxed);
        let mut at = ((u128::from(place) * u128::from(self.total)) >> 64) as u64;
        for part in &self.parts {
            let weight = u64::from(part.weight);
            if at < weight {
                return &part.service;
            }
            at -= weight;
        }
        unreachable!("a place lies below the sum of the weights")
    }
}
