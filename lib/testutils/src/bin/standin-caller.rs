//! Caller stand-in as a program: carries out a plan and prints its report.

use std::process::ExitCode;

use endivescale_testutils::caller;
use endivescale_testutils::caller::plan::Plan;
use endivescale_testutils::error::StandInError;
use endivescale_testutils::program;

const NAME: &str = "standin-caller";

#[tokio::main]
async fn main() -> ExitCode {
    program::exit(NAME, run().await)
}

async fn run() -> Result<ExitCode, StandInError> {
    let mut options = program::options();
    options.reqopt("", "plan", "what to send, as JSON", "FILE");
    options.optopt("", "report", "where to write the report instead of printing it", "FILE");
    let Some(matches) = program::matches(NAME, &options)? else { return Ok(ExitCode::SUCCESS) };
    let path = matches.opt_str("plan").unwrap_or_default();
    let plan: Plan = program::parse(&program::read(&path)?)?;
    let report = tokio::select! {
        report = caller::run(plan) => report,
        stopped = program::wait_for_stop(&matches) => {
            stopped?;
            return Ok(ExitCode::FAILURE);
        }
    };
    match matches.opt_str("report") {
        Some(path) => program::write(&path, &program::print(&report)?)?,
        None => println!("{}", program::print(&report)?),
    }
    Ok(ExitCode::SUCCESS)
}
