//! Errors in the requests that a caller sends.

use http::StatusCode;
use snafu::Snafu;

/// Retry delay for a request that has not arrived whole when the daemon stops.
const STOPPING_RETRY_AFTER_SECONDS: u64 = 1;

/// Why the bytes received on a connection are rejected as a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub(super) enum ReadError {
    /// The head is not a valid HTTP/1 head, or the framing of the body is invalid.
    #[snafu(display("the request cannot be parsed"))]
    Malformed,
    /// The head is longer than the limit, or has too many headers.
    #[snafu(display("the head is too long or has too many headers"))]
    HeadTooLong,
    /// The body is longer than the limit.
    #[snafu(display("the body is too long"))]
    BodyTooLong,
    /// The head did not arrive in time.
    #[snafu(display("the head did not arrive in time"))]
    HeadTimeout,
    /// The body stalled.
    #[snafu(display("the body did not arrive in time"))]
    BodyTimeout,
    /// The daemon stops, and the request has not arrived whole.
    #[snafu(display("the daemon stops before the request has arrived whole"))]
    Stopping,
}

impl ReadError {
    /// Returns the status of the response. The request is not passed on.
    ///
    /// A request whose error is in the later part of a long body, which is relayed while it arrives,
    /// gets another response.
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTimeout | Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns after how many seconds the caller should try again; `None` if it should not.
    pub(super) fn retry_after_seconds(self) -> Option<u64> {
        match self {
            Self::Stopping => Some(STOPPING_RETRY_AFTER_SECONDS),
            Self::Malformed
            | Self::HeadTooLong
            | Self::BodyTooLong
            | Self::HeadTimeout
            | Self::BodyTimeout => None,
        }
    }

    /// Whether the caller has sent something that is not a proper request.
    pub(super) fn is_callers_fault(self) -> bool {
        self != Self::Stopping
    }
}
