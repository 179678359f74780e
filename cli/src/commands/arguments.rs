//! Parses the arguments of a command, with the options that all commands share.

use std::net::SocketAddr;

use getopts::Matches;
use getopts::Options;
use serde::Serialize;
use snafu::ResultExt as _;

use super::CommandError;
use super::ExitStatus;
use super::Output;
use super::error::ArgumentProblem;
use super::error::ArgumentsSnafu;
use super::error::OptionsSnafu;

/// Text that a command's `--help` prints in addition to its options.
#[derive(Clone, Copy, Debug)]
pub(super) struct Help {
    /// Name of the command.
    pub(super) command: &'static str,
    /// Synopsis of the arguments and options.
    pub(super) usage: &'static str,
    /// What the command does.
    pub(super) about: &'static str,
    /// Further explanations, examples and exit codes.
    pub(super) notes: &'static str,
}

/// The parsed arguments of one command.
pub(super) struct Arguments {
    help: Help,
    matches: Matches,
}

impl Arguments {
    /// Parses the arguments after the command name; returns the help text to print
    /// instead if `--help` is given.
    pub(super) fn parse(
        help: Help,
        mut opts: Options,
        args: &[String],
    ) -> Result<Result<Self, Output>, CommandError> {
        opts.optflag("", "json", "print JSON for scripts");
        opts.optflag("h", "help", "print this help");
        let command = help.command;
        let matches = opts.parse(args).context(OptionsSnafu { command })?;
        if matches.opt_present("help") {
            return Ok(Err(Output::success(help_text(help, &opts))));
        }
        Ok(Ok(Self { help, matches }))
    }

    /// Whether a flag was given.
    pub(super) fn has_flag(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    /// Returns the value of an option.
    pub(super) fn value(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name)
    }

    /// Returns every value of an option.
    pub(super) fn values(&self, name: &str) -> Vec<String> {
        self.matches.opt_strs(name)
    }

    /// Returns the positional arguments.
    pub(super) fn positional(&self) -> &[String] {
        &self.matches.free
    }

    /// Parses the positional arguments as addresses of daemons; there must be at
    /// least one.
    pub(super) fn daemon_addresses(&self) -> Result<Vec<SocketAddr>, CommandError> {
        if self.positional().is_empty() {
            return Err(self.usage_error(ArgumentProblem::MissingDaemon));
        }
        self.positional().iter().map(|text| self.parse_address(text)).collect()
    }

    /// Parses the address of a daemon.
    pub(super) fn parse_address(&self, text: &str) -> Result<SocketAddr, CommandError> {
        let invalid_address =
            |_| self.usage_error(ArgumentProblem::InvalidAddress { found: text.to_owned() });
        text.parse().map_err(invalid_address)
    }

    /// Builds the error for wrong arguments of this command.
    pub(super) fn usage_error(&self, problem: ArgumentProblem) -> CommandError {
        ArgumentsSnafu { command: self.help.command, problem }.build()
    }

    /// Renders a report as text, or as JSON if `--json` is given.
    pub(super) fn output<T>(&self, report: &T, exit_status: ExitStatus) -> Output
    where
        T: Serialize + std::fmt::Display,
    {
        let text = match self.has_flag("json") {
            true => json(report),
            false => report.to_string(),
        };
        Output { text, exit_status }
    }
}

fn json(report: &impl Serialize) -> String {
    let text = serde_json::to_string_pretty(report);
    text.expect("the keys of a report's maps serialize to JSON strings") + "\n"
}

fn help_text(help: Help, opts: &Options) -> String {
    let brief = format!("{}\n\nUsage: endivescale {} {}", help.about, help.command, help.usage);
    format!("{}\n{}", opts.usage(&brief), help.notes)
}
