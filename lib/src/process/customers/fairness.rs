//! Sheds what customers ask beyond their usual before anything else of the same criticality;
//! see `docs/design/customer-fairness.md`.

use serde::Deserialize;
use serde::Serialize;

use crate::process::CustomerName;

/// Factor by which a customer may exceed its usual demand before the rest is in excess.
const PART_FACTOR: f64 = 1.5;
/// Time constant of the average that is a customer's usual demand, in seconds.
const USUAL_TIME_CONSTANT: f64 = 30.0;

/// Time in which the first average is formed, in seconds; a plain one, which a surge soon after
/// does not raise much.
const FIRST_AVERAGE: f64 = 5.0;

/// Usual demand of one customer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UsualDemand {
    per_second: f64,
    /// Time since the customer is known, in seconds.
    age: f64,
}

impl UsualDemand {
    /// Adds the demand of an interval, in seconds.
    pub(super) fn record(&mut self, per_second: f64, interval: f64) {
        if interval <= 0.0 {
            return;
        }
        self.age += interval;
        let time = if self.age < FIRST_AVERAGE { self.age } else { USUAL_TIME_CONSTANT };
        let weight = (interval / time.max(interval)).min(1.0);
        self.per_second += (per_second - self.per_second) * weight;
    }

    /// Returns the fraction of a demand that is within the customer's part.
    pub(super) fn fraction_within(&self, per_second: f64) -> f64 {
        let part = self.per_second * PART_FACTOR;
        if per_second > part { part / per_second } else { 1.0 }
    }
}

/// What customers ask beyond their parts.
///
/// Load pattern: one customer sends several times its usual within its cap, while there is room
/// for a part of all requests only. Levels shed by the hash of the root request at every hop, so
/// requests in excess get the highest hashes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Excess {
    /// Excess of all customers, as a share of all their requests.
    pub share: f64,
    /// Customers with an excess, and the fraction of their requests that is within their parts.
    pub within: Vec<(CustomerName, f64)>,
}

impl Excess {
    /// Returns the hash by which a request is shed, given an evenly spread one.
    ///
    /// The hashes of all requests are evenly spread again, those in excess above all others.
    pub fn rank(&self, customer: Option<&CustomerName>, hash: u16) -> u16 {
        let share = self.share.clamp(0.0, 1.0);
        if share == 0.0 {
            return hash;
        }
        let of_customer = self.within.iter().find(|(name, _)| Some(name) == customer);
        let within = of_customer.map_or(1.0, |(_, within)| within.clamp(0.0, 1.0));
        let place = f64::from(hash) / (f64::from(u16::MAX) + 1.0);
        let ranked = match place < within {
            true => place / within * (1.0 - share),
            false => 1.0 - share + (place - within) / (1.0 - within) * share,
        };
        (ranked * (f64::from(u16::MAX) + 1.0)) as u16
    }
}
