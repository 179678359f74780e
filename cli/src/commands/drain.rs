//! `endivescale drain`: tells daemons to finish their requests and stop.

use endivescale::operators;
use endivescale::operators::DrainSummary;
use getopts::Options;

use super::Arguments;
use super::CommandError;
use super::ExitStatus;
use super::Help;
use super::Output;
use super::runtime;

const HELP: Help = Help {
    command: "drain",
    usage: "ADDRESS...",
    about: "Tells daemons to refuse new requests, finish those in progress, and stop.",
    notes: "\
A draining daemon refuses new requests with the outcome not-run and informs its
peers, which stop sending requests to it. The daemon exits when nothing is in
progress, and after 'stop.patience' of its settings at the latest. A drain
cannot be undone: start the daemon again. Draining a daemon twice has no further
effect.

Exit codes: 0 every daemon drains, 2 wrong usage, 3 a daemon did not answer.
",
};

pub(super) fn run(args: &[String]) -> Result<Output, CommandError> {
    let args = match Arguments::parse(HELP, Options::new(), args)? {
        Ok(args) => args,
        Err(help) => return Ok(help),
    };
    let daemons = args.daemon_addresses()?;
    let summary = DrainSummary { daemons: runtime()?.block_on(operators::drain(&daemons)) };
    let exit_status =
        if summary.is_complete() { ExitStatus::Success } else { ExitStatus::Incomplete };
    Ok(args.output(&summary, exit_status))
}
