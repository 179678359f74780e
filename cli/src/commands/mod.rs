//! The commands of the operators' client, each in its own module.

mod arguments;
mod burn;
mod check;
mod drain;
mod error;
mod explain;
mod status;
mod trace;

use std::process::ExitCode;

use snafu::ResultExt as _;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use self::arguments::Arguments;
use self::arguments::Help;
use self::error::CommandError;

const OVERVIEW: &str = "\
The operators' client of endivescale.

Usage: endivescale COMMAND [OPTIONS] [ARGUMENTS]

Commands:
  check    check rules and settings files
  explain  show the rule that a request matches, and who requested it
  status   show what daemons are doing, and why they refuse requests
  burn     show how fast each class uses up its error budget
  trace    show what happened to one request, from the logs of daemons
  drain    tell daemons to finish the requests in progress and stop

'endivescale COMMAND --help' describes the options of a command.

Exit codes:
  0  done, and nothing is wrong
  1  done, and something is wrong: a fault in a file, no rule that matches
  2  wrong usage
  3  not done: a file cannot be read, a daemon does not answer
";

/// Result of a command that completed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ExitStatus {
    /// The command found no fault.
    Success,
    /// A checked file has a fault, or no rule matches.
    Fault,
    /// A file could not be read, or a daemon did not answer.
    Incomplete,
}

/// Text that a command prints, and its result.
#[derive(Debug)]
struct Output {
    text: String,
    exit_status: ExitStatus,
}

impl Output {
    fn success(text: impl Into<String>) -> Self {
        Self { text: text.into(), exit_status: ExitStatus::Success }
    }
}

/// Runs the command that `args` names, prints its output and returns the exit code
/// of the program.
pub fn main(args: &[String]) -> ExitCode {
    match run(args) {
        Ok(output) => {
            print!("{}", output.text);
            ExitCode::from(exit_code(output.exit_status))
        }
        Err(err) => {
            eprintln!("endivescale: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}

/// Builds a single-threaded runtime, enough for the few connections of a command.
fn runtime() -> Result<Runtime, CommandError> {
    Builder::new_current_thread().enable_all().build().context(error::RuntimeSnafu)
}

fn exit_code(exit_status: ExitStatus) -> u8 {
    match exit_status {
        ExitStatus::Success => 0,
        ExitStatus::Fault => 1,
        ExitStatus::Incomplete => 3,
    }
}

fn run(args: &[String]) -> Result<Output, CommandError> {
    let Some((command, rest)) = args.split_first() else {
        return error::NoCommandSnafu.fail();
    };
    match command.as_str() {
        "check" => check::run(rest),
        "explain" => explain::run(rest),
        "status" => status::run(rest),
        "burn" => burn::run(rest),
        "drain" => drain::run(rest),
        "trace" => trace::run(rest),
        "help" | "--help" | "-h" => Ok(Output::success(OVERVIEW)),
        "--version" => {
            Ok(Output::success(concat!("endivescale ", env!("CARGO_PKG_VERSION"), "\n")))
        }
        _ => error::UnknownCommandSnafu { command }.fail(),
    }
}
