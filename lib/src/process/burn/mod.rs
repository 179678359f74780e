//! Error-budget burn per request class over several time windows; see
//! `docs/design/burn.md`.

mod class;
mod ending;
mod latency;
mod merge;
mod objectives;
mod report;
mod ring;
mod table;
mod window;

pub use self::ending::Cause;
pub use self::ending::Ending;
pub use self::ending::Fault;
pub use self::ending::Origin;
pub use self::ending::ParseFaultError;
pub use self::ending::ParseRoleError;
pub use self::ending::Role;
pub use self::merge::MergeError;
pub use self::merge::merge;
pub use self::objectives::Objectives;
pub use self::report::BurnReport;
pub use self::report::CauseReport;
pub use self::report::ClassReport;
pub use self::report::Tally;
pub use self::report::WindowReport;
pub use self::table::BurnTracker;
pub use self::table::Class;
pub use self::table::MAX_CLASSES;
pub use self::table::OTHER_SERVICE;
pub use self::window::Window;
