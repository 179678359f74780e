//! What a daemon decides about the requests of customers; see `docs/design/customers.md`.

mod confirmation;
mod coordinator;
mod fairness;
mod links;
mod report;
mod usage;

pub use self::confirmation::Confirmation;
pub use self::confirmation::ParseStampError;
pub use self::confirmation::Stamp;
pub use self::coordinator::Coordinator;
pub use self::fairness::Excess;
pub use self::report::CustomerUsage;
pub use self::report::UsageAnswer;
pub use self::report::UsageReport;
pub use self::usage::DaemonPart;
pub use self::usage::Usage;
