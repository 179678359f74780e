//! `endivescale trace`: shows what happened to one request, from daemons' logs.

use std::collections::BTreeSet;
use std::ffi::OsStr;
use std::path::Path;

use endivescale::operators::LogFile;
use endivescale::operators::trace;
use getopts::Options;
use snafu::ResultExt as _;

use super::Arguments;
use super::CommandError;
use super::ExitStatus;
use super::Help;
use super::Output;
use super::error::ArgumentProblem;
use super::error::NoSuchRequestSnafu;
use super::error::ReadFileSnafu;

const HELP: Help = Help {
    command: "trace",
    usage: "ID FILE...",
    about: "Shows what happened to one request and its calls, from the logs of daemons.",
    notes: "\
ID is the name that the sender gave the request, or the 'chain' of a log line.
FILE is the log of one daemon.

Exit codes: 0 the lines were found, 2 wrong usage, 3 a file cannot be read or no
line names the request.
",
};

pub(super) fn run(args: &[String]) -> Result<Output, CommandError> {
    let args = match Arguments::parse(HELP, Options::new(), args)? {
        Ok(args) => args,
        Err(help) => return Ok(help),
    };
    let [id, names @ ..] = args.positional() else {
        return Err(args.usage_error(ArgumentProblem::MissingId));
    };
    if names.is_empty() {
        return Err(args.usage_error(ArgumentProblem::MissingFile));
    }
    let read = |name: &String| {
        let text = std::fs::read(name).context(ReadFileSnafu { file: name })?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    };
    let texts = names.iter().map(read).collect::<Result<Vec<_>, CommandError>>()?;
    let shown = shown_names(names);
    let files = shown.iter().zip(&texts).map(|(name, text)| LogFile { name, text });
    let report = trace(id, &files.collect::<Vec<_>>());
    if report.lines.is_empty() {
        let left_out = report.left_out.values().sum::<u64>();
        return NoSuchRequestSnafu { id, files: names.len(), left_out }.fail();
    }
    Ok(args.output(&report, ExitStatus::Success))
}

/// Returns the file names without their directories, or the full paths if two
/// file names are equal.
fn shown_names(names: &[String]) -> Vec<&str> {
    let bare = |name| Path::new(name).file_name().and_then(OsStr::to_str).unwrap_or(name);
    let short: Vec<&str> = names.iter().map(|name| bare(name)).collect();
    let distinct: BTreeSet<&str> = short.iter().copied().collect();
    match distinct.len() == short.len() {
        true => short,
        false => names.iter().map(String::as_str).collect(),
    }
}
