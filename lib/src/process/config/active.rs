//! The operators' text in force.

use std::sync::Arc;

use super::VersionId;
use crate::version::Policy;

/// A version of the operators' text that is in force.
#[derive(Debug)]
pub struct ActiveRules {
    /// Number and hash of the version.
    pub id: VersionId,
    /// The text as the platform published it.
    pub text: Arc<str>,
    /// What the text says.
    pub policy: Policy,
}

impl ActiveRules {
    /// Returns the platform's number of the version.
    pub fn version(&self) -> u64 {
        self.id.number
    }
}
