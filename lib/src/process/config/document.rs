//! The two texts that spread through the fleet.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::VersionId;

/// Which of the platform's values a text is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DocumentKind {
    /// The operators' rules.
    Rules,
    /// The list of VMs, as [`super::vm_text`] writes it.
    Vms,
}

impl DocumentKind {
    /// Returns the word that stands in log lines.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Rules => "rules",
            Self::Vms => "vms",
        }
    }
}

impl fmt::Display for DocumentKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Rules => "rules",
            Self::Vms => "list of VMs",
        })
    }
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
