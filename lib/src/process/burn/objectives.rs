//! Service level objectives: how many requests of each criticality may fail.

use serde::Deserialize;
use serde::Serialize;

use crate::version::Criticality;

/// Failures allowed per 10,000 requests, for each criticality.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Objectives {
    /// Allowed failures per 10,000 critical requests.
    pub critical: u32,
    /// Allowed failures per 10,000 requests of high criticality.
    pub high: u32,
    /// Allowed failures per 10,000 requests of normal criticality.
    pub normal: u32,
    /// Allowed failures per 10,000 deferrable requests.
    pub deferrable: u32,
}

impl Objectives {
    /// Returns the failures allowed per 10,000 requests of `criticality`.
    pub fn allowed_per_10k(&self, criticality: Criticality) -> u32 {
        match criticality {
            Criticality::Critical => self.critical,
            Criticality::High => self.high,
            Criticality::Normal => self.normal,
            Criticality::Deferrable => self.deferrable,
        }
    }
}

impl Default for Objectives {
    fn default() -> Self {
        Self { critical: 10, high: 50, normal: 100, deferrable: 1_000 }
    }
}
