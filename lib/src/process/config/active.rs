//! The rules in force.

use std::sync::Arc;

use super::VersionId;
use crate::version::rules::Rules;

/// A version of the rules that is in force.
#[derive(Debug)]
pub struct ActiveRules {
    /// Number and hash of the version.
    pub id: VersionId,
    /// The text as the platform published it.
    pub text: Arc<str>,
    /// The rules that the text holds.
    pub rules: Rules,
}

impl ActiveRules {
    /// Returns the platform's number of the version.
    pub fn version(&self) -> u64 {
        self.id.number
    }
}
