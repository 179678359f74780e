//! Remote procedure calls by which followers poll readers, over `tarpc`.

use serde::Deserialize;
use serde::Serialize;

use super::RelayedChange;
use crate::process::catalog::Revision;
use crate::process::catalog::Topic;

/// Long-poll request for changes, answered as soon as there is one or when the wait
/// ends.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct PollRequest {
    /// Part of the catalog that is asked for.
    #[serde(rename = "t")]
    pub(super) topic: Topic,
    /// Revision up to which the follower is complete.
    #[serde(rename = "a")]
    pub(super) after: Revision,
    /// Longest time to wait for a change, in milliseconds.
    #[serde(rename = "w")]
    pub(super) wait_ms: u32,
    /// Whether the follower wants to know how old the reader's knowledge is.
    #[serde(rename = "g", default)]
    pub(super) wants_age: bool,
    /// Whether the follower wants to know since when the changes may have been confirmed.
    #[serde(rename = "s", default)]
    pub(super) wants_since: bool,
}

/// Answer to a [`PollRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) enum PollAnswer {
    /// All changes after the asked revision, up to the given one.
    #[serde(rename = "c")]
    Changes(Vec<RelayedChange>, Revision),
    /// The same, with the time at which the reader was surely complete, in milliseconds since
    /// the request arrived at it; mostly negative.
    #[serde(rename = "f")]
    Confirmed(Vec<RelayedChange>, Revision, i64),
    /// Changes, with the earliest time at which one of them may have been confirmed, in
    /// milliseconds since the request arrived.
    #[serde(rename = "s")]
    Dated(Vec<RelayedChange>, Revision, i64),
    /// The changes are no longer kept; the follower must read the catalog.
    #[serde(rename = "d")]
    Discarded,
    /// The daemon does not read the catalog, or the catalog does not answer it.
    #[serde(rename = "n")]
    NotReading,
}

/// Interface of a reader towards its followers.
#[tarpc::service(derive = [Clone, Deserialize, Serialize])]
pub(super) trait CatalogRelay {
    /// Waits for changes to a topic.
    async fn poll(request: PollRequest) -> PollAnswer;
}
