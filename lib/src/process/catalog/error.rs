//! Why a call of a catalog failed.

use std::net::SocketAddr;

use http::StatusCode;
use snafu::Snafu;

/// A call of a catalog without a usable answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CatalogError {
    /// No connection could be made.
    #[snafu(display("cannot connect to the platform at {address}"))]
    Connect {
        /// Where the platform should be.
        address: SocketAddr,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The exchange broke.
    #[snafu(display("the exchange with the platform broke"))]
    Exchange {
        /// What the HTTP library reported.
        source: hyper::Error,
    },
    /// The answer's body broke or was too large.
    #[snafu(display("the platform's answer broke or is too large"))]
    Body {
        /// What the HTTP library reported.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The answer or a part of it cannot be read.
    #[snafu(display("the platform's answer cannot be read: {problem}"))]
    Unreadable {
        /// What is wrong.
        problem: String,
    },
    /// The platform refused the call.
    #[snafu(display("the platform answered with status {status}"))]
    Refused {
        /// The status.
        status: StatusCode,
    },
    /// The changes after the revision are no longer kept.
    #[snafu(display("the platform no longer keeps the changes that were asked for"))]
    Forgotten,
    /// No answer came in time.
    #[snafu(display("the platform did not answer in time"))]
    Timeout,
}
