//! The calls between daemons, over `tarpc`.

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

/// Largest message: a value of a megabyte, written as JSON.
const MESSAGE_LIMIT_BYTES: usize = 8 << 20;

/// A question for news, answered when there is some or when the wait ends.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct WatchRequest {
    /// Where the asking daemon answers, so that a restarted daemon which has no
    /// list yet learns of a peer by being asked.
    #[serde(rename = "f")]
    pub(crate) requester: SocketAddr,
    /// Longest wait, in milliseconds.
    #[serde(rename = "w")]
    pub(crate) wait_ms: u32,
    #[serde(rename = "r")]
    pub(crate) rules: KnownVersions,
    #[serde(rename = "v")]
    pub(crate) vms: KnownVersions,
}

/// What the asking daemon lacks; nothing if the wait ended.
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
    /// Waits for news.
    async fn watch(question: WatchRequest) -> Updates;
    /// Returns the text in force, for a daemon that keeps the texts of `bases`.
    async fn fetch(kind: DocumentKind, bases: Vec<VersionId>) -> Option<Offer>;
}

/// Returns the context of a call that is given up after a time.
pub(crate) fn deadline(patience: Duration) -> tarpc::context::Context {
    let mut cx = tarpc::context::current();
    cx.deadline = std::time::Instant::now() + patience;
    cx
}

/// Splits a byte stream into messages.
pub(crate) fn frames<S: AsyncRead + AsyncWrite>(stream: S) -> Framed<S, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MESSAGE_LIMIT_BYTES).new_framed(stream)
}
