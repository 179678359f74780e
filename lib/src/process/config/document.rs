//! The two texts that spread through the fleet.

use std::sync::Arc;

use super::VersionId;

/// Which of the platform's values a text is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The operators' rules.
    Rules,
    /// The list of VMs, as [`super::vm_text`] writes it.
    Vms,
}

/// One version of a text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Document {
    pub(crate) id: VersionId,
    pub(crate) text: Arc<str>,
}

impl Document {
    /// Returns a text that the platform numbered.
    pub(crate) fn new(number: u64, text: &str) -> Self {
        Self { id: VersionId::of(number, text), text: text.into() }
    }
}
