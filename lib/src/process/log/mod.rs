//! Log lines of the daemon: one for each change of state, and one for each request
//! that is refused, retried or cancelled.
//!
//! Lines about requests are limited per kind and second. The events themselves are
//! all counted, see [`super::metrics`]. `docs/operators.md` lists the events and
//! keys of the lines.

mod bound;
mod decision;
mod output;
mod state_change;

use std::sync::Arc;
use std::time::Duration;

use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;

use snafu::Snafu;

pub use self::bound::LineAction;
pub use self::bound::LineRateLimit;
pub use self::decision::Decision;
pub use self::decision::DecisionLog;
pub use self::decision::LimitSource;
pub use self::decision::LoggedRequest;
pub use self::decision::NoRetryReason;
pub use self::output::LogOutput;
pub use self::output::LostLines;
use self::output::OUTPUT;
pub use self::output::QUEUE_LINES;
pub use self::state_change::DrainCause;
pub use self::state_change::StateChange;
use super::settings::LogLevel;

/// Logging cannot be set up.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The logging library rejected the configuration.
    #[snafu(display("cannot set up logging"))]
    SetUp {
        /// Error reported by the logging library.
        source: spdlog::Error,
    },
    /// Standard output is not open.
    #[snafu(display("cannot use standard output for the log"))]
    Output {
        /// Error reported by the operating system.
        source: std::io::Error,
    },
}

/// Directs the log of this process to standard output, as `key=value` lines, and panics to the
/// log.
///
/// # Errors
///
/// Fails if standard output is not open or the logging library rejects the configuration.
pub fn init(level: LogLevel) -> Result<(), LogError> {
    let output = LogOutput::stdout(LevelFilter::MoreSevereEqual(spdlog_level(level)))?;
    let output = OUTPUT.get_or_init(|| output);
    spdlog::set_default_logger(Arc::clone(output.logger()));
    // The default hook writes to standard error, which can block the thread that panics.
    std::panic::set_hook(Box::new(|info| {
        spdlog::critical!("event=panic message={:?}", info.to_string());
    }));
    Ok(())
}

/// Returns how many lines of this process were lost so far.
pub fn lost_lines() -> LostLines {
    OUTPUT.get().map(LogOutput::lost_lines).unwrap_or_default()
}

/// Ends the log of this process. Waits for the last lines to be written, for at most `limit`.
///
/// Call this before the process ends: the logging library would wait for them without a limit.
pub fn close(limit: Duration) {
    let Some(output) = OUTPUT.get() else { return };
    if let Ok(nowhere) = Logger::builder().build_arc() {
        spdlog::set_default_logger(nowhere);
    }
    output.flush(limit);
}

/// Sets the least severe level that is written from now on.
pub fn set_level(level: LogLevel) {
    spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(spdlog_level(level)));
}

/// Writes the log line of a change of state, at the severity of that change.
pub fn write(change: &StateChange) {
    spdlog::log!(change.level(), "{change}");
}

fn spdlog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
