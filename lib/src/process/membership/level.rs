//! Admission level of an instance, as its callers see it.

use crate::version::Criticality;

/// The least important work that an instance still admits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Level {
    /// Work of a more important criticality is admitted, of a less important one refused.
    pub criticality: Criticality,
    /// Of work of this very criticality, hashes up to this one are admitted.
    pub hash: u16,
}

impl Level {
    /// Returns whether work of a criticality and hash is admitted.
    pub fn admits(&self, criticality: Criticality, hash: u16) -> bool {
        criticality < self.criticality || criticality == self.criticality && hash <= self.hash
    }
}
