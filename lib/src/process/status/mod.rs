//! The operator API of a daemon: JSON over HTTP/1.1.
//!
//! | Request | Response |
//! |---------|----------|
//! | `GET /status` | [`StatusReport`] |
//! | `GET /burn` | [`BurnReport`](super::burn::BurnReport) |
//! | `GET /counters` | an object of counter names and values |
//! | `GET /rules` | [`RulesReport`] |
//! | `POST /drain` | [`DrainReport`] |
//!
//! `docs/operators.md` explains the reports.

mod report;
mod service;

pub use self::report::AdmissionStatus;
pub use self::report::BannedContent;
pub use self::report::CauseOfRefusal;
pub use self::report::ClientsStatus;
pub use self::report::CustomerStatus;
pub use self::report::CustomersStatus;
pub use self::report::DrainReport;
pub use self::report::ErrorReport;
pub use self::report::PeerStanding;
pub use self::report::PeerStatus;
pub use self::report::QueueStatus;
pub use self::report::RulesReport;
pub use self::report::RulesStatus;
pub use self::report::State;
pub use self::report::StatusReport;
pub use self::report::TokenStatus;
pub use self::report::VmsStatus;
pub use self::service::OperatorApi;
pub use self::service::serve;
