//! Bytes that are no request.

use http::StatusCode;
use snafu::Snafu;

/// Why a connection's bytes cannot be read as a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub(super) enum ReadError {
    /// The head is no HTTP/1 head.
    #[snafu(display("the head cannot be parsed"))]
    Malformed,
    /// The head is longer than is accepted, or has too many headers.
    #[snafu(display("the head is too long"))]
    HeadTooLong,
    /// The body is longer than is accepted.
    #[snafu(display("the body is too long"))]
    BodyTooLong,
    /// The head did not arrive in time.
    #[snafu(display("the head did not arrive in time"))]
    HeadTimeout,
}

impl ReadError {
    /// Returns the status of the answer; none of these requests is passed on.
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTimeout => StatusCode::REQUEST_TIMEOUT,
        }
    }
}
