//! The version of the operators' rules that the daemon currently applies.

use std::sync::Arc;

use super::VersionId;
use crate::version::Policy;

/// The rules in force: one published version, as text and parsed.
#[derive(Debug)]
pub struct ActiveRules {
    /// Version number and hash of the text.
    pub id: VersionId,
    /// The text as the platform published it.
    pub text: Arc<str>,
    /// The parsed text.
    pub policy: Policy,
}

impl ActiveRules {
    /// Returns the version number that the platform assigned.
    pub fn version(&self) -> u64 {
        self.id.number
    }
}
