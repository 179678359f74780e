//! Log lines of the process: one for each change of state, and one for each
//! decision on a request other than to serve it plainly.
//!
//! Lines on requests are bounded by kind and second; all are counted, see
//! [`super::metrics`]. The words of each line are listed in `docs/operators.md`.

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

pub use self::bound::LineBound;
pub use self::bound::Verdict;
pub use self::decision::Decision;
pub use self::decision::DecisionLog;
pub use self::decision::Final;
pub use self::decision::Subject;
pub use self::state_change::DrainCause;
pub use self::state_change::StateChange;
use super::settings::LogLevel;

/// The log could not be set up.
#[derive(Debug, Snafu)]
#[snafu(display("cannot set up the log"))]
pub struct LogError {
    source: spdlog::Error,
}

/// Sends the log of this process to standard output, as `key=value` lines.
///
/// # Errors
///
/// Fails if the logging library refuses the configuration.
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
    let filter = LevelFilter::MoreSevereEqual(threshold(level));
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
    spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(threshold(level)));
}

/// Writes the line of one change of state.
pub fn write(change: &StateChange) {
    spdlog::log!(change.level(), "{change}");
}

fn threshold(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
