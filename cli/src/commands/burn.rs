//! `endivescale burn`: shows how fast each class uses up its error budget.

use endivescale::operators;
use endivescale::operators::BurnSummary;
use endivescale::process::burn::Role;
use getopts::Options;
use snafu::ResultExt as _;

use super::Arguments;
use super::CommandError;
use super::ExitStatus;
use super::Help;
use super::Output;
use super::error::ArgumentProblem;
use super::error::MergeSnafu;
use super::runtime;

const HELP: Help = Help {
    command: "burn",
    usage: "[--role ROLE] ADDRESS...",
    about: "Shows how fast each class of requests uses up its error budget.",
    notes: "\
The reports of all daemons are added up. ROLE 'entry' covers the requests of
callers, 'outbound' the upstreams' own calls, 'owner' the work at the upstreams;
without --role, all three are shown.

A burn rate of 1 uses up exactly the budget, 10 ten times as fast. REQUESTS,
FAILED and CANCELLED count the last hour, P50 and P99 the last one to two
minutes. ORIGIN shows whether the failure was decided in this role (here) or
further down the call chain (below).

Exit codes: 0 every daemon answered, 2 wrong usage, 3 a daemon did not answer.
",
};

pub(super) fn run(args: &[String]) -> Result<Output, CommandError> {
    let mut opts = Options::new();
    opts.optopt("", "role", "show only entry, outbound or owner", "ROLE");
    let args = match Arguments::parse(HELP, opts, args)? {
        Ok(args) => args,
        Err(help) => return Ok(help),
    };
    let role = role(&args)?;
    let daemons = args.daemon_addresses()?;
    let answers = runtime()?.block_on(operators::query_all(&daemons, "/burn"));
    let summary = BurnSummary::new(answers, role).context(MergeSnafu)?;
    let exit_status =
        if summary.is_complete() { ExitStatus::Success } else { ExitStatus::Incomplete };
    Ok(args.output(&summary, exit_status))
}

fn role(args: &Arguments) -> Result<Option<Role>, CommandError> {
    let Some(found) = args.value("role") else { return Ok(None) };
    let role =
        found.parse().map_err(|_| args.usage_error(ArgumentProblem::InvalidRole { found }))?;
    Ok(Some(role))
}
