//! `endivescale status`: shows what daemons are doing.

use endivescale::operators;
use endivescale::operators::StatusSummary;
use getopts::Options;

use super::Arguments;
use super::CommandError;
use super::ExitStatus;
use super::Help;
use super::Output;
use super::runtime;

const HELP: Help = Help {
    command: "status",
    usage: "[--peers] ADDRESS...",
    about: "Shows what daemons are doing, and why they refuse requests.",
    notes: "\
ADDRESS is the operator listener of a daemon, 'listen.operator' in its settings.

Columns: LIMIT is the adaptive concurrency limit of the upstream and its slots,
BUSY the requests there, WAITING those in the queue by criticality, LEVEL the
admission level advertised to callers: requests above the criticality named are
admitted, and that share of the criticality itself. TOKENS are the used
idempotency tokens remembered, PEERS the instances called; a peer that is lost
has stopped answering or is leaving.

Exit codes: 0 every daemon answered, 2 wrong usage, 3 a daemon did not answer.
",
};

pub(super) fn run(args: &[String]) -> Result<Output, CommandError> {
    let mut opts = Options::new();
    opts.optflag("", "peers", "list the peers of several daemons, too");
    let args = match Arguments::parse(HELP, opts, args)? {
        Ok(args) => args,
        Err(help) => return Ok(help),
    };
    let daemons = args.daemon_addresses()?;
    let answers = runtime()?.block_on(operators::query_all(&daemons, "/status"));
    let summary = StatusSummary::new(answers, args.has_flag("peers"));
    let exit_status =
        if summary.is_complete() { ExitStatus::Success } else { ExitStatus::Incomplete };
    Ok(args.output(&summary, exit_status))
}
