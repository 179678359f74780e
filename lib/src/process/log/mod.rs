//! Log lines of the daemon: one for each change of state, and one for each request
//! that is refused, retried or cancelled.
//!
//! Lines about requests are limited per kind and second. The events themselves are
//! all counted, see [`super::metrics`]. `docs/operators.md` lists the events and
//! keys of the lines.

mod bound;
mod decision;
mod state_change;

use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::StdStream;
use spdlog::sink::StdStreamSink;
use spdlog::terminal_style::StyleMode;

use snafu::ResultExt as _;
use snafu::Snafu;

pub use self::bound::LineAction;
pub use self::bound::LineRateLimit;
pub use self::decision::Decision;
pub use self::decision::DecisionLog;
pub use self::decision::LimitSource;
pub use self::decision::LoggedRequest;
pub use self::decision::NoRetryReason;
pub use self::state_change::DrainCause;
pub use self::state_change::StateChange;
use super::settings::LogLevel;

/// Logging cannot be set up.
#[derive(Debug, Snafu)]
#[snafu(display("cannot set up logging"))]
pub struct LogError {
    source: spdlog::Error,
}

/// Directs the log of this process to standard output, as `key=value` lines.
///
/// # Errors
///
/// Fails if the logging library rejects the configuration.
pub fn init(level: LogLevel) -> Result<(), LogError> {
    let line = pattern!(
        "time={year}-{month}-{day}T{hour}:{minute}:{second}.{millisecond} \
         level={level} {payload}{eol}"
    );
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .style_mode(StyleMode::Never)
        .formatter(PatternFormatter::new(line))
        .build_arc()
        .context(LogSnafu)?;
    let filter = LevelFilter::MoreSevereEqual(spdlog_level(level));
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(filter)
        .flush_level_filter(LevelFilter::All)
        .build_arc()
        .context(LogSnafu)?;
    spdlog::set_default_logger(logger);
    Ok(())
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
