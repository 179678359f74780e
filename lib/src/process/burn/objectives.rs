//! How many requests of each class may fail.

use serde::Deserialize;
use serde::Serialize;

use crate::version::Criticality;

/// Failures allowed for each criticality, of 10,000 requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Objectives {
    /// For critical requests.
    pub critical: u32,
    /// For high requests.
    pub high: u32,
    /// For normal requests.
    pub normal: u32,
    /// For deferrable requests.
    pub deferrable: u32,
}

impl Objectives {
    /// Returns the failures allowed of 10,000 requests.
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
