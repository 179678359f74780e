//! What the stand-ins' thin programs share: their command line and their stop.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use getopts::Matches;
use getopts::Options;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Report;
use snafu::ResultExt;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::error::CommandLineSnafu;
use crate::error::FileSnafu;
use crate::error::JsonSnafu;
use crate::error::StandInError;

/// Longest life of a stand-in's program, in seconds, where none is given.
pub const DEFAULT_LIFE_S: u64 = 600;

/// Address with a port that the system picks.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Returns the options that every stand-in has.
pub fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "life-s", "stop by itself after this many seconds", "SECONDS");
    options.optflag("h", "help", "print this help");
    options
}

/// Parses the command line; `None` says that help was asked for and printed.
pub fn matches(name: &str, options: &Options) -> Result<Option<Matches>, StandInError> {
    let matches = options.parse(std::env::args().skip(1)).context(CommandLineSnafu)?;
    if matches.opt_present("help") {
        println!("{}", options.usage(&format!("Usage: {name} [OPTIONS]")));
        return Ok(None);
    }
    Ok(Some(matches))
}

/// Returns the value of an option, or `default` where it is not given.
pub fn value<T: FromStr>(
    matches: &Matches,
    option: &'static str,
    default: T,
) -> Result<T, StandInError> {
    match matches.opt_str(option) {
        None => Ok(default),
        Some(value) => value.parse().map_err(|_| StandInError::OptionValue { option, value }),
    }
}

/// Reads a file whole.
pub fn read(path: &str) -> Result<String, StandInError> {
    std::fs::read_to_string(path).context(FileSnafu { path })
}

/// Writes a file whole.
pub fn write(path: &str, text: &str) -> Result<(), StandInError> {
    std::fs::write(path, text).context(FileSnafu { path })
}

/// Parses a JSON text.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, StandInError> {
    serde_json::from_str(text).context(JsonSnafu)
}

/// Prints a value as JSON.
pub fn print<T: Serialize>(value: &T) -> Result<String, StandInError> {
    serde_json::to_string(value).context(JsonSnafu)
}

/// Waits for the end of the stand-in's life, SIGTERM or SIGINT.
pub async fn wait_for_stop(matches: &Matches) -> Result<(), StandInError> {
    let life = Duration::from_secs(value(matches, "life-s", DEFAULT_LIFE_S)?);
    let term = signal(SignalKind::terminate()).context(FileSnafu { path: "SIGTERM" });
    let interrupt = signal(SignalKind::interrupt()).context(FileSnafu { path: "SIGINT" });
    let (mut term, mut interrupt) = (term?, interrupt?);
    tokio::select! {
        () = tokio::time::sleep(life) => {}
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Turns the result of a program into its exit code and says what failed.
pub fn exit(name: &str, result: Result<ExitCode, StandInError>) -> ExitCode {
    match result {
        Ok(code) => code,
        Err(err) => {
            eprintln!("{name}: {}", Report::from_error(err));
            ExitCode::FAILURE
        }
    }
}
