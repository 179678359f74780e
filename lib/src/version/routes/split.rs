//! Traffic splits: sharing the requests of a route between services by weight.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::process::ServiceName;

/// Step of the low-discrepancy sequence, as a fraction of 2^64: the fractional
/// part of the golden ratio, whose multiples modulo 1 are spread more evenly than
/// those of any other number.
const GOLDEN_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// One service of a traffic split, with its weight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// Service that receives the requests of this part.
    pub service: ServiceName,
    /// Weight of the part; its share of the requests is this weight divided by the
    /// sum of all weights.
    pub weight: u32,
}

/// Services that share the requests of a route by weight.
///
/// The service is chosen by a low-discrepancy sequence: after any number of
/// requests, each part has received its share give or take a few requests. The
/// caller of [`Split::new`] starts the sequence at a random position, so that
/// many daemons, or versions that follow each other quickly, do not all start
/// with the same part.
#[derive(Debug)]
pub struct Split {
    parts: Vec<WeightedService>,
    total_weight: u64,
    position: AtomicU64,
}

impl Split {
    /// Returns a split whose sequence starts at `start`, which the caller draws at
    /// random; `None` if no part has a weight above 0.
    pub fn new(parts: Vec<WeightedService>, start: u64) -> Option<Self> {
        let total_weight = parts.iter().map(|part| u64::from(part.weight)).sum();
        (total_weight > 0).then(|| Self { parts, total_weight, position: AtomicU64::new(start) })
    }

    /// Returns the parts in the order of the configuration.
    pub fn parts(&self) -> &[WeightedService] {
        &self.parts
    }

    /// Returns the service for the next request and advances the sequence.
    pub fn next_service(&self) -> &ServiceName {
        let position = self.position.fetch_add(GOLDEN_STEP, Ordering::Relaxed);
        let mut offset = ((u128::from(position) * u128::from(self.total_weight)) >> 64) as u64;
        for part in &self.parts {
            let weight = u64::from(part.weight);
            if offset < weight {
                return &part.service;
            }
            offset -= weight;
        }
        unreachable!("the offset is less than the sum of the weights")
    }
}
