//! The two documents that are distributed to all daemons: the rules and the list of VMs.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::VersionId;

/// Kind of a document that the platform publishes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DocumentKind {
    /// The operators' rules.
    Rules,
    /// The list of VMs, in the text format of [`super::vm_text`].
    Vms,
}

impl DocumentKind {
    /// Returns the name that log lines use.
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

/// One version of a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Document {
    pub(crate) id: VersionId,
    pub(crate) text: Arc<str>,
}

impl Document {
    /// Creates the version of a document that the platform published under `number`.
    pub(crate) fn new(number: u64, text: &str) -> Self {
        Self { id: VersionId::of(number, text), text: text.into() }
    }
}
