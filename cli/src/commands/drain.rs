//! `endivescale drain`: tells daemons to finish and stop.

use endivescale::operators;
use endivescale::operators::DrainSummary;
use getopts::Options;

use super::Arguments;
use super::CommandError;
use super::Finding;
use super::Help;
use super::Reply;
use super::runtime;

const HELP: Help = Help {
    command: "drain",
    usage: "ADDRESS...",
    about: "Tells daemons to refuse new work, to finish what is in progress, and to stop.",
    notes: "\
A daemon that drains answers new requests as not run and tells its peers, which
send it nothing more. It ends by itself when nothing is in progress, and after
'stop.patience' of its settings at the latest. A drain cannot be taken back:
start the daemon again. Telling a daemon twice changes nothing.

Exit codes: 0 every daemon drains, 2 wrong usage, 3 a daemon did not answer.
",
};

pub(super) fn run(args: &[String]) -> Result<Reply, CommandError> {
    let args = match Arguments::parse(HELP, Options::new(), args)? {
        Ok(args) => args,
        Err(help) => return Ok(help),
    };
    let daemons = args.daemons()?;
    let summary = DrainSummary { daemons: runtime()?.block_on(operators::drain(&daemons)) };
    let finding = if summary.is_complete() { Finding::Good } else { Finding::Incomplete };
    Ok(args.reply(&summary, finding))
}
