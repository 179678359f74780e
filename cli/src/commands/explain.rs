//! `endivescale explain`: shows the rule that a request matches.

use endivescale::operators;
use endivescale::operators::Request;
use endivescale::operators::explain;
use endivescale::process::status::RulesReport;
use endivescale::version::rules::Rules;
use getopts::Options;
use http::Method;
use snafu::ResultExt as _;

use super::Arguments;
use super::CommandError;
use super::ExitStatus;
use super::Help;
use super::Output;
use super::error::ArgumentProblem;
use super::error::DaemonSnafu;
use super::error::ReadFileSnafu;
use super::error::RulesSnafu;
use super::runtime;

const HELP: Help = Help {
    command: "explain",
    usage: "(--rules FILE | --daemon ADDRESS) SERVICE METHOD PATH",
    about: "Shows the rule that a request matches, its location and who requested the rule.",
    notes: "\
Example:
  endivescale explain --rules examples/tsagaan.rules submission POST /expressions/17

Exit codes: 0 a rule matches, 1 no rule matches or the rules have faults, 2
wrong usage, 3 the file cannot be read or the daemon does not answer.
",
};

/// Rules, with the name and version of their source.
struct RulesSource {
    name: String,
    version: Option<u64>,
    rules: Rules,
}

pub(super) fn run(args: &[String]) -> Result<Output, CommandError> {
    let mut opts = Options::new();
    opts.optopt("", "rules", "look the request up in a rules file", "FILE");
    opts.optopt("", "daemon", "look it up in the rules in force at a daemon", "ADDRESS");
    let args = match Arguments::parse(HELP, opts, args)? {
        Ok(args) => args,
        Err(help) => return Ok(help),
    };
    let [service, method, path] = args.positional() else {
        return Err(args
            .usage_error(ArgumentProblem::WrongArgumentCount { found: args.positional().len() }));
    };
    let invalid_method =
        |_| args.usage_error(ArgumentProblem::InvalidMethod { found: method.clone() });
    let method = &Method::from_bytes(method.as_bytes()).map_err(invalid_method)?;
    if !path.starts_with('/') {
        return Err(args.usage_error(ArgumentProblem::InvalidPath { found: path.clone() }));
    }
    let source = match (args.value("rules"), args.value("daemon")) {
        (Some(file), None) => source_from_file(file)?,
        (None, Some(address)) => source_from_daemon(&args, &address)?,
        _ => return Err(args.usage_error(ArgumentProblem::NotOneSource)),
    };
    let req = Request { service, method, path };
    let report = explain(&source.name, source.version, &source.rules, req);
    let exit_status = if report.matched { ExitStatus::Success } else { ExitStatus::Fault };
    Ok(args.output(&report, exit_status))
}

fn source_from_file(file: String) -> Result<RulesSource, CommandError> {
    let text = std::fs::read_to_string(&file).context(ReadFileSnafu { file: &file })?;
    let rules = Rules::parse(&file, &text).context(RulesSnafu)?;
    Ok(RulesSource { name: file, version: None, rules })
}

fn source_from_daemon(args: &Arguments, address: &str) -> Result<RulesSource, CommandError> {
    let address = args.parse_address(address)?;
    let result = runtime()?.block_on(operators::query::<RulesReport>(address, "/rules"));
    let report = result.context(DaemonSnafu { address })?;
    let name = format!("rules of {address}");
    let rules = Rules::parse(&name, &report.text).context(RulesSnafu)?;
    Ok(RulesSource { name, version: Some(report.version), rules })
}
