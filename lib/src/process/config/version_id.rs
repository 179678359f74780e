//! Identifies and orders the versions of a document.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Hash of a complete text: the first 8 bytes of its BLAKE3 hash, so that all daemons
/// compute the same one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct TextHash(pub u64);

impl TextHash {
    /// Computes the hash of a text.
    pub fn of(text: &str) -> Self {
        let hash = blake3::hash(text.as_bytes());
        let (head, _) = hash.as_bytes().split_first_chunk().expect("a hash is longer than 8 bytes");
        Self(u64::from_le_bytes(*head))
    }
}

impl fmt::Display for TextHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identity of a version: the platform's number and the hash of the text.
///
/// The order is total, by number and then by hash, so any two daemons that receive the
/// same versions agree on the newest. The hash decides only between two texts that
/// the platform published under one number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "(u64, TextHash)", into = "(u64, TextHash)")]
pub struct VersionId {
    /// Number that the platform assigned; newer versions have greater numbers.
    pub number: u64,
    /// Hash of the text.
    pub hash: TextHash,
}

impl VersionId {
    /// Returns the identity of a text that the platform published under `number`.
    pub fn of(number: u64, text: &str) -> Self {
        Self { number, hash: TextHash::of(text) }
    }
}

impl From<(u64, TextHash)> for VersionId {
    fn from((number, hash): (u64, TextHash)) -> Self {
        Self { number, hash }
    }
}

impl From<VersionId> for (u64, TextHash) {
    fn from(id: VersionId) -> Self {
        (id.number, id.hash)
    }
}

impl fmt::Display for VersionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.number, self.hash)
    }
}
