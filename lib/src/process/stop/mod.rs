//! When work may still begin during the stop of a daemon; see `docs/design/stopping.md`.

mod run_times;
mod senders;
mod times;

pub use self::run_times::RunId;
pub use self::run_times::RunTimes;
pub use self::senders::StoppingSenders;
pub use self::times::StopTimes;
