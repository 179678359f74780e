//! The commands of the operators' client, one file each.

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
  explain  tell which rule serves a request, and who asked for it
  status   tell what daemons are doing, and why they refuse what they refuse
  burn     tell how fast each class spends the failures that it may have
  trace    tell what became of one request, from the logs of daemons
  drain    tell daemons to finish what is in progress and stop

'endivescale COMMAND --help' describes the options of a command.

Exit codes:
  0  done, and nothing is wrong
  1  done, and something is wrong: a fault in a file, no rule that matches
  2  wrong usage
  3  not done: a file cannot be read, a daemon does not answer
";

/// How a command that ran to its end came out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Finding {
    /// Nothing is wrong.
    Good,
    /// Something is wrong with what was looked at.
    Bad,
    /// Something could not be looked at.
    Incomplete,
}

/// What a command has to say, and how it came out.
#[derive(Debug)]
struct Reply {
    text: String,
    finding: Finding,
}

impl Reply {
    fn good(text: impl Into<String>) -> Self {
        Self { text: text.into(), finding: Finding::Good }
    }
}

/// Runs the command line and returns the exit code of the program.
pub fn main(args: &[String]) -> ExitCode {
    match run(args) {
        Ok(reply) => {
            print!("{}", reply.text);
            ExitCode::from(code(reply.finding))
        }
        Err(err) => {
            eprintln!("endivescale: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}

/// Returns a runtime for the few connections of one command.
fn runtime() -> Result<Runtime, CommandError> {
    Builder::new_current_thread().enable_all().build().context(error::RuntimeSnafu)
}

fn code(finding: Finding) -> u8 {
    match finding {
        Finding::Good => 0,
        Finding::Bad => 1,
        Finding::Incomplete => 3,
    }
}

fn run(args: &[String]) -> Result<Reply, CommandError> {
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
        "help" | "--help" | "-h" => Ok(Reply::good(OVERVIEW)),
        "--version" => Ok(Reply::good(concat!("endivescale ", env!("CARGO_PKG_VERSION"), "\n"))),
        _ => error::UnknownCommandSnafu { command }.fail(),
    }
}
