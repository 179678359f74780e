//! What daemons tell each other of a text.

use serde::Deserialize;
use serde::Serialize;

use super::VersionId;
use super::delta::Delta;

/// What an asking daemon has of a text.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct KnownVersions {
    /// The version in force there.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub held: Option<VersionId>,
    /// The newest version that was refused there.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<VersionId>,
}

impl KnownVersions {
    /// Returns whether a version would be news to the asking daemon.
    pub fn lacks(&self, id: VersionId) -> bool {
        Some(id) > self.held && Some(id) != self.refused
    }
}

/// A step from one version to the next.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Step {
    #[serde(rename = "t")]
    pub(crate) to: VersionId,
    #[serde(rename = "d")]
    pub(crate) delta: Delta,
}

/// A version that the asking daemon lacks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Offer {
    /// The version exists; its text is to be fetched.
    #[serde(rename = "n")]
    Notice(VersionId),
    /// The steps from the named version to it, which is that of the last step.
    #[serde(rename = "s")]
    Steps(VersionId, Vec<Step>),
    /// Its whole text.
    #[serde(rename = "t")]
    Text(VersionId, String),
}

impl Offer {
    /// Returns the version that is offered; `None` for steps that lead nowhere.
    pub(crate) fn id(&self) -> Option<VersionId> {
        match self {
            Self::Notice(id) | Self::Text(id, _) => Some(*id),
            Self::Steps(_, steps) => steps.last().map(|step| step.to),
        }
    }
}
