//! Which version is in force: the state machine that the model checker explores.

use std::cmp::Ordering;

use super::Fault;
use super::KnownVersions;
use super::TextHash;
use super::VersionId;

/// What a daemon does with a version that it hears of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is newer than all that was seen: its text is wanted.
    Newer,
    /// It is newer, but under the number of the version in force stands another
    /// text: the platform published two texts under one number.
    NewerConflict,
    /// It is the version in force.
    Same,
    /// It is older than what was seen, or was refused: nothing changes.
    Older,
    /// It is older, and has the number of the version in force but another text.
    OlderConflict,
    /// It was refused before.
    Refused,
}

impl Verdict {
    /// Returns whether the text of the version is wanted.
    pub fn wanted(self) -> bool {
        matches!(self, Self::Newer | Self::NewerConflict)
    }
}

/// The version in force and the newest one that was refused.
///
/// The version in force only ever grows in the order of [`VersionId`], whoever
/// offers what in which order: that is why an accepted version cannot revert
/// and why all daemons settle on the same one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Holder {
    held: Option<VersionId>,
    refused: Option<VersionId>,
    fault: Option<Fault>,
}

impl Holder {
    /// Returns a holder with a deliberate defect.
    pub fn with_fault(fault: Option<Fault>) -> Self {
        Self { fault, ..Self::default() }
    }

    /// Returns the version in force.
    pub fn held(&self) -> Option<VersionId> {
        self.held
    }

    /// Returns what a peer is told when it is asked for news.
    ///
    /// Peers are asked for what is newer than the version in force, except the
    /// refused one: a question for what is newer than the refused one would miss
    /// the valid versions between both, which a daemon that first heard of the
    /// refused one still lacks.
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

    /// Judges a version that the platform or a peer offers.
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

    /// Puts a version into force whose text is valid; returns whether it was
    /// still wanted.
    pub fn accept(&mut self, id: VersionId) -> bool {
        let wanted = self.judge(id).wanted();
        if wanted {
            self.held = Some(id);
        }
        wanted
    }

    /// Notes that the text of a version is invalid, so that it is not asked for again.
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
