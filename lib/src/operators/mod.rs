//! The operations and reports of the operators' command line tool.
//!
//! Each report is a type whose `Display` output is meant for people and whose
//! serialised form is meant for scripts; `docs/operators.md` shows both.

mod burn;
mod check;
mod client;
mod drain;
mod explain;
mod status;
mod table;
mod trace;

pub use self::burn::BurnSummary;
pub use self::burn::CauseRow;
pub use self::burn::ClassRow;
pub use self::burn::WindowRow;
pub use self::check::CheckReport;
pub use self::check::FileKind;
pub use self::check::FileReport;
pub use self::check::ProblemReport;
pub use self::check::check_rules;
pub use self::check::check_settings;
pub use self::client::ClientError;
pub use self::client::DaemonResult;
pub use self::client::drain;
pub use self::client::query;
pub use self::client::query_all;
pub use self::drain::DrainSummary;
pub use self::explain::ExplainReport;
pub use self::explain::Request;
pub use self::explain::RuleReport;
pub use self::explain::explain;
pub use self::status::StatusSummary;
pub use self::table::Table;
pub use self::trace::LogFile;
pub use self::trace::TraceLine;
pub use self::trace::TraceReport;
pub use self::trace::trace;
