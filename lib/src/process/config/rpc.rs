//! Remote procedure calls between daemons, over `tarpc`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tarpc::tokio_util::codec::Framed;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;

use super::VersionId;
use super::document::DocumentKind;
use super::offer::KnownVersions;
use super::offer::Offer;

/// Maximum size of a message: leaves room for a text of a megabyte escaped as JSON.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Long-poll request for updates, answered as soon as there is one or when the wait
/// ends.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct WatchRequest {
    /// Control address of the requesting daemon. A restarted daemon that has no list
    /// of VMs yet discovers a peer by it.
    #[serde(rename = "f")]
    pub(crate) requester: SocketAddr,
    /// Longest time to wait for an update, in milliseconds.
    #[serde(rename = "w")]
    pub(crate) wait_ms: u32,
    /// Versions of the rules that the requesting daemon knows.
    #[serde(rename = "r")]
    pub(crate) rules: KnownVersions,
    /// Versions of the list of VMs that the requesting daemon knows.
    #[serde(rename = "v")]
    pub(crate) vms: KnownVersions,
}

/// Versions that the requesting daemon lacks; empty if the wait ended without any.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Updates {
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub(crate) rules: Option<Offer>,
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub(crate) vms: Option<Offer>,
}

impl Updates {
    pub(crate) fn is_empty(&self) -> bool {
        self.rules.is_none() && self.vms.is_none()
    }
}

#[tarpc::service(derive = [Clone, Deserialize, Serialize])]
pub(crate) trait ConfigPeer {
    /// Waits for versions that the requesting daemon lacks.
    async fn watch(question: WatchRequest) -> Updates;
    /// Returns the text in force, as deltas if the requesting daemon's `bases` allow
    /// them and they are shorter.
    async fn fetch(kind: DocumentKind, bases: Vec<VersionId>) -> Option<Offer>;
}

/// Returns the context of a call whose deadline is `timeout` from now.
pub(crate) fn context_with_timeout(timeout: Duration) -> tarpc::context::Context {
    let mut cx = tarpc::context::current();
    cx.deadline = std::time::Instant::now() + timeout;
    cx
}

/// Frames messages on a byte stream by a length prefix.
pub(crate) fn framed<S: AsyncRead + AsyncWrite>(stream: S) -> Framed<S, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_framed(stream)
}
