//! Errors of the commands and their exit codes.

use std::net::SocketAddr;

use endivescale::operators::ClientError;
use endivescale::process::burn::MergeError;
use endivescale::version::rules::RulesError;
use snafu::Snafu;

const EXIT_WRONG_USAGE: u8 = 2;
const EXIT_NOT_DONE: u8 = 3;

/// Error that prevented a command from completing.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum CommandError {
    #[snafu(display("no command given\nHint: 'endivescale help' lists the commands"))]
    NoCommand,
    #[snafu(display("'{command}' is not a command\nHint: 'endivescale help' lists the commands"))]
    UnknownCommand { command: String },
    #[snafu(display("{source}\nHint: 'endivescale {command} --help' describes the options"))]
    Options { command: &'static str, source: getopts::Fail },
    #[snafu(display("{problem}\nHint: 'endivescale {command} --help' describes the arguments"))]
    Arguments { command: &'static str, problem: ArgumentProblem },
    #[snafu(display("cannot read {file}: {source}"))]
    ReadFile { file: String, source: std::io::Error },
    #[snafu(display("{source}\nHint: 'endivescale check --rules FILE' checks a file"))]
    Rules { source: RulesError },
    #[snafu(display("{address}: {source}"))]
    Daemon { address: SocketAddr, source: ClientError },
    #[snafu(display("cannot merge the reports: {source}"))]
    Merge { source: MergeError },
    #[snafu(display(
        "no line in {files} files names '{id}', and {left_out} lines were left out\n\
         Hint: give the logs of all daemons that the request may have reached"
    ))]
    NoSuchRequest { id: String, files: usize, left_out: u64 },
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime { source: std::io::Error },
}

/// What is wrong with the arguments of a command.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum ArgumentProblem {
    #[snafu(display("no file given"))]
    MissingFile,
    #[snafu(display("expected ID FILE..., found no ID"))]
    MissingId,
    #[snafu(display("no daemon given"))]
    MissingDaemon,
    #[snafu(display("'{found}' is not an address; expected an IP address and port"))]
    InvalidAddress { found: String },
    #[snafu(display("expected SERVICE METHOD PATH, found {found} arguments"))]
    WrongArgumentCount { found: usize },
    #[snafu(display("'{found}' is not an HTTP method"))]
    InvalidMethod { found: String },
    #[snafu(display("'{found}' is not a path; a path begins with '/'"))]
    InvalidPath { found: String },
    #[snafu(display("'{found}' is not a role; expected entry, outbound or owner"))]
    InvalidRole { found: String },
    #[snafu(display("expected either --rules or --daemon"))]
    NotOneSource,
}

impl CommandError {
    /// Returns the exit code of the program.
    pub(super) fn exit_code(&self) -> u8 {
        match self {
            Self::NoCommand
            | Self::UnknownCommand { .. }
            | Self::Options { .. }
            | Self::Arguments { .. } => EXIT_WRONG_USAGE,
            Self::Rules { .. } => super::exit_code(super::ExitStatus::Fault),
            Self::ReadFile { .. }
            | Self::Daemon { .. }
            | Self::Merge { .. }
            | Self::NoSuchRequest { .. }
            | Self::Runtime { .. } => EXIT_NOT_DONE,
        }
    }
}
