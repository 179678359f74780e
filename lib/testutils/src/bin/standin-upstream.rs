//! Upstream stand-in as a program.

use std::process::ExitCode;

use endivescale_testutils::error::StandInError;
use endivescale_testutils::program;
use endivescale_testutils::upstream::Upstream;
use endivescale_testutils::upstream::behaviour::Behaviour;

const NAME: &str = "standin-upstream";

/// Slots where none are given.
const DEFAULT_SLOTS: usize = 40;

#[tokio::main]
async fn main() -> ExitCode {
    program::exit(NAME, run().await)
}

async fn run() -> Result<ExitCode, StandInError> {
    let mut options = program::options();
    options.optopt("", "listen", "address of requests", "IP:PORT");
    options.optopt("", "admin", "address of the ledger and of changes", "IP:PORT");
    options.optopt("", "slots", "requests worked on at once", "NUMBER");
    options.optopt("", "behaviour", "what the upstream does", "JSON");
    let Some(matches) = program::matches(NAME, &options)? else { return Ok(ExitCode::SUCCESS) };
    let upstream = Upstream::start(
        program::value(&matches, "listen", program::ANY)?,
        program::value(&matches, "admin", program::ANY)?,
        program::value(&matches, "slots", DEFAULT_SLOTS)?,
        program::value(&matches, "behaviour", Behaviour::default())?,
    )
    .await?;
    println!("{NAME}: listen={} admin={}", upstream.addr(), upstream.admin());
    program::wait_for_stop(&matches).await?;
    Ok(ExitCode::SUCCESS)
}
