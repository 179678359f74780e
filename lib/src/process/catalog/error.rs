//! Errors of calls to a catalog.

use std::net::SocketAddr;

use http::StatusCode;
use snafu::Snafu;

/// Failure of a call to a catalog.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CatalogError {
    /// No connection could be established.
    #[snafu(display("cannot connect to the platform at {address}"))]
    Connect {
        /// Address of the platform.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP exchange failed before the answer began.
    #[snafu(display("the request to the platform failed"))]
    Exchange {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// The answer's body was cut off or too large.
    #[snafu(display("the platform's answer is incomplete or too large"))]
    Body {
        /// Error of the HTTP library.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The answer or a part of it cannot be parsed.
    #[snafu(display("cannot parse the platform's answer: {problem}"))]
    Unreadable {
        /// Description of the parse error.
        problem: String,
    },
    /// The platform answered with an error status.
    #[snafu(display("the platform answered with status {status}"))]
    Refused {
        /// HTTP status of the answer.
        status: StatusCode,
    },
    /// The platform has discarded the changes after the requested revision.
    #[snafu(display("the platform has discarded the requested changes"))]
    ChangesDiscarded,
    /// The changes after the requested revision are more than an answer may hold. They only grow,
    /// but pages of all entries are bounded.
    #[snafu(display("the changes are longer than an answer may be"))]
    ChangesTooLong,
    /// The platform has come back from an older copy, so that changes after the requested
    /// revision are other ones.
    #[snafu(display("the platform has come back from an older copy, in era {era}"))]
    EraChanged {
        /// The era that has begun.
        era: u64,
    },
    /// The answer is of an era before the newest that is known.
    #[snafu(display("the answer is of era {era}, which is over"))]
    EarlierEra {
        /// The era of the answer.
        era: u64,
    },
    /// The daemon that reads the catalog for others did not tell the changes.
    #[snafu(display("the daemon that reads the catalog did not answer"))]
    Relay,
    /// No answer arrived in time.
    #[snafu(display("the platform did not answer in time"))]
    Timeout,
}

impl CatalogError {
    /// Whether the topic must be read completely before it can be watched again.
    pub fn requires_read(&self) -> bool {
        matches!(self, Self::ChangesDiscarded | Self::ChangesTooLong | Self::EraChanged { .. })
    }
}
