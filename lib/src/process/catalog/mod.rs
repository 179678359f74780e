//! Follows the configuration that a foreign platform publishes.
//!
//! An adapter implements [`Catalog`] to read from a platform. This module decides
//! when to read, which answers to use and for how long. See
//! `docs/design/platform.md`.

mod error;
mod follower;
mod handover;
mod leave_times;
mod outage;
mod relay;
mod roster;
mod watermark;

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

pub use self::error::CatalogError;
pub use self::follower::CatalogOptions;
pub use self::follower::RelayOptions;
pub use self::follower::spawn;
pub use self::handover::ConfigSendTimes;
pub use self::handover::ConfigSnapshot;
pub use self::leave_times::LearnedBy;
pub use self::leave_times::LeaveTimes;
pub use self::leave_times::News;
pub use self::relay::History;
pub use self::relay::ReadRole;
pub use self::relay::RelayedChange;
pub use self::relay::Since;
pub use self::relay::Source;
pub use self::relay::SourceCursor;
pub use self::relay::assign;
pub use self::roster::Roster;
pub use self::roster::UnusedReason;
pub use self::watermark::Watermark;
use super::membership::Vm;
use crate::version::Policy;

/// Position in the sequence of all changes to a catalog.
///
/// A catalog that comes back from an older copy begins a new era and gives out numbers
/// again, so positions are ordered by era first. See `docs/design/eras.md`.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(from = "RevisionText", into = "RevisionText")]
pub struct Revision {
    /// Era of the catalog; 0 if the catalog states none.
    pub era: u64,
    /// Number of the change within its era.
    pub number: u64,
}

impl Revision {
    /// Returns the position of a change.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// A [`Revision`] as it is sent between daemons. Those of earlier builds know the number
/// only, which is all that there is in era 0.
#[derive(Clone, Copy, Deserialize, Serialize)]
#[serde(untagged)]
enum RevisionText {
    Number(u64),
    InEra(u64, u64),
}

impl From<RevisionText> for Revision {
    fn from(text: RevisionText) -> Self {
        match text {
            RevisionText::Number(number) => Self::new(0, number),
            RevisionText::InEra(era, number) => Self::new(era, number),
        }
    }
}

impl From<Revision> for RevisionText {
    fn from(Revision { era, number }: Revision) -> Self {
        match era {
            0 => Self::Number(number),
            _ => Self::InEra(era, number),
        }
    }
}

/// Key of one entry of a catalog.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct EntryKey(pub Arc<str>);

/// A part of a catalog whose changes are watched separately.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Topic {
    /// The operators' policy text.
    Policy,
    /// The entries of upstream VMs.
    Vms,
}

impl fmt::Display for Topic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Policy => "policy",
            Self::Vms => "vms",
        })
    }
}

/// A version of the operators' policy text.
#[derive(Debug)]
pub struct Published {
    /// Version number that the operators gave the text.
    pub number: u64,
    /// The text as it was published.
    pub text: Arc<str>,
    /// The policy parsed from the text.
    pub policy: Policy,
}

/// One entry of a catalog.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Entry {
    /// A valid entry of an upstream VM.
    Listed(Vm),
    /// An entry that cannot be used, with the reason.
    Unusable(String),
}

impl Entry {
    /// Longest reason that is kept, in bytes. It may quote the entry, which may be long.
    const MAX_REASON_BYTES: usize = 200;

    /// Creates an entry that cannot be used.
    pub fn unusable(reason: &dyn fmt::Display) -> Self {
        let mut reason = reason.to_string();
        reason.truncate(reason.floor_char_boundary(Self::MAX_REASON_BYTES));
        Self::Unusable(reason)
    }
}

/// One change to a catalog.
#[derive(Debug)]
pub enum Change {
    /// A version of the policy text, or the error if it cannot be parsed.
    Policy(Result<Published, CatalogError>),
    /// An entry was created or updated at the revision.
    Written(EntryKey, Revision, Entry),
    /// An entry was removed at the revision.
    Removed(EntryKey, Revision),
}

/// Changes to one topic, complete up to a revision.
#[derive(Debug)]
pub struct ChangeBatch {
    /// The changes in the order of their revisions.
    pub changes: Vec<Change>,
    /// The revision up to which `changes` is complete.
    pub revision: Revision,
}

/// One page of the entries, sorted by key.
#[derive(Debug)]
pub struct Page {
    /// The entries with the revisions of their last changes.
    pub entries: Vec<(EntryKey, Revision, Entry)>,
    /// Whether there are more entries after this page.
    pub has_more: bool,
    /// The catalog's revision when the page was read.
    pub revision: Revision,
}

/// Future of the answer to one call to a catalog.
pub type CatalogFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, CatalogError>> + Send + 'a>>;

/// Client for the configuration that a platform publishes. Each call except
/// [`Self::read_text`] is one exchange with the platform.
pub trait Catalog: fmt::Debug + Send + Sync + 'static {
    /// Reads the policy text; [`ChangeBatch::changes`] is empty if there is none.
    fn policy(&self) -> CatalogFuture<'_, ChangeBatch>;

    /// Reads the page of entries whose keys come after `after`, or the first page.
    fn page<'a>(&'a self, after: Option<&'a EntryKey>) -> CatalogFuture<'a, Page>;

    /// Reads one entry; the answer says that it was removed if there is none.
    fn entry<'a>(&'a self, key: &'a EntryKey) -> CatalogFuture<'a, ChangeBatch>;

    /// Waits for changes to one entry as [`Self::watch`] does for a topic.
    fn watch_entry<'a>(
        &'a self,
        key: &'a EntryKey,
        after: Revision,
        wait: Duration,
    ) -> CatalogFuture<'a, ChangeBatch>;

    /// Parses a policy text received from another daemon, without an exchange
    /// with the platform.
    ///
    /// # Errors
    ///
    /// Fails if the text cannot be parsed.
    fn read_text(&self, text: &str) -> Result<Published, CatalogError>;

    /// Waits for changes to a topic after a revision, for `wait` at most; returns
    /// no changes if there are none by then.
    fn watch(
        &self,
        topic: Topic,
        after: Revision,
        wait: Duration,
    ) -> CatalogFuture<'_, ChangeBatch>;
}
