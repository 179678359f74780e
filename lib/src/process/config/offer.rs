//! Messages by which daemons exchange versions of a document.

use serde::Deserialize;
use serde::Serialize;

use super::VersionId;
use super::delta::Delta;

/// Versions of a document that the requesting daemon already knows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct KnownVersions {
    /// Version in force at the requesting daemon.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub held: Option<VersionId>,
    /// Newest version that the requesting daemon refused as invalid.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<VersionId>,
}

impl KnownVersions {
    /// Returns whether the requesting daemon should be offered version `id`.
    pub fn lacks(&self, id: VersionId) -> bool {
        Some(id) > self.held && Some(id) != self.refused
    }
}

/// The delta from one version to the next.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Step {
    #[serde(rename = "t")]
    pub(crate) to: VersionId,
    #[serde(rename = "d")]
    pub(crate) delta: Delta,
}

/// An offer of a version that the requesting daemon lacks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Offer {
    /// The version exists; its text has to be fetched.
    #[serde(rename = "n")]
    Notice(VersionId),
    /// Deltas that lead from the given base version to the offered one, which the
    /// last step names.
    #[serde(rename = "s")]
    Steps(VersionId, Vec<Step>),
    /// The complete text of the version.
    #[serde(rename = "t")]
    Text(VersionId, String),
}

impl Offer {
    /// Returns the offered version; `None` for an empty list of steps.
    pub(crate) fn id(&self) -> Option<VersionId> {
        match self {
            Self::Notice(id) | Self::Text(id, _) => Some(*id),
            Self::Steps(_, steps) => steps.last().map(|step| step.to),
        }
    }
}
