//! `endivescale status`: tells what daemons are doing.

use endivescale::operators;
use endivescale::operators::StatusSummary;
use getopts::Options;

use super::Arguments;
use super::CommandError;
use super::Finding;
use super::Help;
use super::Reply;
use super::runtime;

const HELP: Help = Help {
    command: "status",
    usage: "[--peers] ADDRESS...",
    about: "Tells what daemons are doing, and why they refuse what they refuse.",
    notes: "\
ADDRESS is the operator listener of a daemon, 'listen.operator' in its settings.

Columns: LIMIT is the learned limit of requests at the upstream and its slots,
BUSY the requests there, WAITING those in the queue by criticality, LEVEL what
callers are told to send: all above the criticality named, and that share of
it. TOKENS are the used idempotency tokens remembered, PEERS the instances
called; those that are lost stopped answering or leave.

Exit codes: 0 every daemon answered, 2 wrong usage, 3 a daemon did not answer.
",
};

pub(super) fn run(args: &[String]) -> Result<Reply, CommandError> {
    let mut opts = Options::new();
    opts.optflag("", "peers", "list the peers of several daemons, too");
    let args = match Arguments::parse(HELP, opts, args)? {
        Ok(args) => args,
        Err(help) => return Ok(help),
    };
    let daemons = args.daemons()?;
    let answers = runtime()?.block_on(operators::ask_all(&daemons, "/status"));
    let summary = StatusSummary::new(answers, args.has("peers"));
    let finding = if summary.is_complete() { Finding::Good } else { Finding::Incomplete };
    Ok(args.reply(&summary, finding))
}
