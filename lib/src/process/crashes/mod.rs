//! Requests that crash the upstreams that run them; see `docs/design/crashes.md`.
//!
//! Load pattern: a request ends every instance that begins to run it. It comes again under new
//! names, at any daemon, and is sent to another instance each time it fails.

mod answered;
mod history;
mod report;
mod running;

pub use self::history::CrashHistory;
pub use self::report::AnswerNotice;
pub use self::report::BanNotice;
pub use self::report::CrashId;
pub use self::report::CrashReport;
pub use self::report::CrashUpdate;
pub use self::running::CrashSnapshot;
pub use self::running::RunId;
pub use self::running::RunningRequests;
pub use self::running::Suspect;
