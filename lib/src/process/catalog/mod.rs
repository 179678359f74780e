//! What a foreign platform publishes, and how a daemon follows it.
//!
//! An adapter reads a platform through [`Catalog`]; what is believed of the
//! answers, when and for how long is decided here. See
//! `docs/design/platform.md`.

mod error;
mod follower;
mod handover;
mod roster;

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

pub use self::error::CatalogError;
pub use self::follower::CatalogOptions;
pub use self::follower::spawn;
pub use self::handover::Held;
pub use self::handover::Taught;
pub use self::roster::Roster;
use super::membership::Vm;
use crate::version::Policy;

/// Position in the order of all changes of a catalog.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Revision(pub u64);

/// Key of one entry.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EntryKey(pub Arc<str>);

/// A part of the catalog that is followed on its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// The operators' text.
    Policy,
    /// The upstreams' entries.
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

/// A version of the operators' text as it was published.
#[derive(Debug)]
pub struct Published {
    /// Number by which the operators order versions.
    pub number: u64,
    /// The text.
    pub text: Arc<str>,
    /// What the text says.
    pub policy: Policy,
}

/// One entry as it was published.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// An upstream.
    Listed(Vm),
    /// It names no upstream to use, for this reason.
    Unusable(String),
}

/// One change of a catalog.
#[derive(Debug)]
pub enum Change {
    /// A version of the operators' text.
    Policy(Result<Published, CatalogError>),
    /// An entry was written.
    Written(EntryKey, Revision, Entry),
    /// An entry was removed.
    Removed(EntryKey, Revision),
}

/// Changes of a topic up to a revision.
#[derive(Debug)]
pub struct News {
    /// The changes in their order.
    pub changes: Vec<Change>,
    /// The revision up to which nothing is missing.
    pub revision: Revision,
}

/// A part of all entries, in the order of their keys.
#[derive(Debug)]
pub struct Page {
    /// The entries with the revisions of their last changes.
    pub entries: Vec<(EntryKey, Revision, Entry)>,
    /// Whether entries follow.
    pub has_more: bool,
    /// The catalog's revision when the page was read.
    pub revision: Revision,
}

/// The answer to one call of a catalog.
pub type Answer<'a, T> = Pin<Box<dyn Future<Output = Result<T, CatalogError>> + Send + 'a>>;

/// Reads what a platform publishes; each call is one exchange with it.
pub trait Catalog: fmt::Debug + Send + Sync + 'static {
    /// Reads the operators' text; [`News::changes`] is empty if there is none.
    fn policy(&self) -> Answer<'_, News>;

    /// Reads the entries whose keys follow `after`.
    fn page<'a>(&'a self, after: Option<&'a EntryKey>) -> Answer<'a, Page>;

    /// Reads a version's text as another daemon holds it, without a call.
    ///
    /// # Errors
    ///
    /// Fails if the text cannot be read.
    fn read_text(&self, text: &str) -> Result<Published, CatalogError>;

    /// Waits for changes after a revision; there may be none within `wait`.
    fn watch(&self, topic: Topic, after: Revision, wait: Duration) -> Answer<'_, News>;
}
