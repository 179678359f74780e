//! Bodies that are relayed frame by frame, so that a slow reader keeps one buffer in memory
//! instead of the whole body.

mod begun;
mod charged;
mod guarded;
mod held;
mod parts;
mod reported;
mod unread;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body;
use snafu::Snafu;

pub(crate) use self::begun::BodyStart;
pub(crate) use self::begun::read_start;
pub(crate) use self::charged::charged;
pub use self::guarded::BodyEnd;
pub(crate) use self::guarded::GuardedBody;
pub use self::guarded::OnEnd;
pub use self::held::BodyMemory;
pub use self::held::Held;
pub(crate) use self::held::HeldStart;
pub(crate) use self::held::WholeInMemory;
pub use self::parts::PartSender;
pub use self::parts::in_parts;
pub(crate) use self::reported::BodyReport;
pub(crate) use self::reported::Unread;
pub(crate) use self::reported::reported;
pub(crate) use self::unread::drop_at;

/// Why a relayed body is incomplete.
///
/// The reader receives the error as a closed connection or a reset stream, never as the end
/// of the body, so that a truncated body cannot be mistaken for a complete one.
#[derive(Debug, Snafu)]
pub enum RelayError {
    /// The sender of the body failed.
    #[snafu(display("the sender of the body failed before its end"))]
    Cut {
        /// Error reported by the connection.
        source: hyper::Error,
    },
    /// The rest of the body was not received: its connection closed, or the rest was rejected.
    #[snafu(display("the rest of the body was not received"))]
    Ended,
    /// The deadline of the request passed before the body was complete.
    #[snafu(display("the deadline passed before the body was complete"))]
    DeadlineExceeded,
    /// The body is longer than the reader accepts.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLong {
        /// Longest body accepted, in bytes.
        limit: usize,
    },
    /// The bodies held in memory leave no room for the rest of this one.
    #[snafu(display("no memory is left for the rest of the body"))]
    NoRoom,
}

/// Body of a request or response that the daemon relays or creates itself.
pub type RelayBody = UnsyncBoxBody<Bytes, RelayError>;

/// Returns a body of length zero.
pub fn empty() -> RelayBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body whose bytes are already in memory.
pub fn full(bytes: impl Into<Bytes>) -> RelayBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Reads a body into memory; fails if it is longer than `limit` bytes.
pub(crate) async fn collect(mut body: RelayBody, limit: usize) -> Result<Bytes, RelayError> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if buf.len() + data.len() > limit {
            return TooLongSnafu { limit }.fail();
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

/// Converts a body received by `hyper` into a [`RelayBody`].
pub fn relay<B>(body: B) -> RelayBody
where
    B: Body<Data = Bytes, Error = hyper::Error> + Send + 'static,
{
    body.map_err(|source| RelayError::Cut { source }).boxed_unsync()
}
