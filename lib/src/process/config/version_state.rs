//! State machine that decides which version is in force; explored by a model checker.

use std::cmp::Ordering;

use super::Fault;
use super::KnownVersions;
use super::TextHash;
use super::VersionId;

/// How an offered version compares with the versions already seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Newer than the version in force and not refused: its text is wanted.
    Newer,
    /// Newer, but with the same number as the version in force: the platform
    /// published two texts under one number. Its text is wanted.
    NewerConflict,
    /// The version in force itself.
    Same,
    /// Older than the version in force.
    Older,
    /// Older, and with the same number as the version in force: the platform
    /// published two texts under one number.
    OlderConflict,
    /// Refused before because its text is invalid.
    Refused,
}

impl Verdict {
    /// Returns whether the daemon needs the text of the version.
    pub fn wanted(self) -> bool {
        matches!(self, Self::Newer | Self::NewerConflict)
    }
}

/// The version in force and the newest refused version.
///
/// The version in force only ever increases in the order of [`VersionId`],
/// whatever the order of offers. Therefore no daemon reverts to an earlier
/// version, and all daemons converge on the same one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct VersionState {
    held: Option<VersionId>,
    refused: Option<VersionId>,
    fault: Option<Fault>,
}

impl VersionState {
    /// Creates a state without any version, with an injected fault if there is one.
    pub fn with_fault(fault: Option<Fault>) -> Self {
        Self { fault, ..Self::default() }
    }

    /// Returns the version in force.
    pub fn held(&self) -> Option<VersionId> {
        self.held
    }

    /// Returns the known versions that a request for updates carries.
    ///
    /// The request asks for versions newer than the one in force, except the
    /// refused one. Asking only for versions newer than the refused one would skip
    /// valid versions between the two, which a daemon lacks if it received the
    /// refused version first.
    pub fn known(&self) -> KnownVersions {
        let held = match self.fault {
            Some(Fault::AskAboveRefused) => self.held.max(self.refused),
            Some(Fault::IgnoreHash) => {
                self.held.map(|held| VersionId { hash: TextHash(u64::MAX), ..held })
            }
            _ => self.held,
        };
        KnownVersions { held, refused: self.refused }
    }

    /// Compares a version offered by the platform or a peer with the known versions.
    pub fn judge(&self, offered: VersionId) -> Verdict {
        let Some(held) = self.held else {
            return self.judge_newer(offered, false);
        };
        match self.fault {
            Some(Fault::TakeLast) if offered != held => return Verdict::Newer,
            Some(Fault::IgnoreHash) if offered.number == held.number => return Verdict::Same,
            _ => {}
        }
        let conflict = offered.number == held.number && offered.hash != held.hash;
        match (offered.cmp(&held), conflict) {
            (Ordering::Greater, conflict) => self.judge_newer(offered, conflict),
            (Ordering::Equal, _) => Verdict::Same,
            (Ordering::Less, true) => Verdict::OlderConflict,
            (Ordering::Less, false) => Verdict::Older,
        }
    }

    /// Puts a version with a valid text into force, unless it is no longer wanted;
    /// returns whether it was put into force.
    pub fn accept(&mut self, id: VersionId) -> bool {
        let wanted = self.judge(id).wanted();
        if wanted {
            self.held = Some(id);
        }
        wanted
    }

    /// Records that the text of a version is invalid, so that it is not requested
    /// again.
    pub fn refuse(&mut self, id: VersionId) {
        if self.judge(id).wanted() {
            self.refused = self.refused.max(Some(id));
        }
    }

    fn judge_newer(&self, offered: VersionId, conflict: bool) -> Verdict {
        match self.refused {
            Some(refused) if refused == offered => Verdict::Refused,
            _ if conflict => Verdict::NewerConflict,
            _ => Verdict::Newer,
        }
    }
}
