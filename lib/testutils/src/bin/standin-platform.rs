//! Platform stand-in as a program.

use std::process::ExitCode;

use endivescale_testutils::error::StandInError;
use endivescale_testutils::platform::Platform;
use endivescale_testutils::program;

const NAME: &str = "standin-platform";

#[tokio::main]
async fn main() -> ExitCode {
    program::exit(NAME, run().await)
}

async fn run() -> Result<ExitCode, StandInError> {
    let mut options = program::options();
    options.optopt("", "listen", "address of readers and admin", "IP:PORT");
    options.optopt("", "rules", "rules file to publish at the start", "FILE");
    let Some(matches) = program::matches(NAME, &options)? else { return Ok(ExitCode::SUCCESS) };
    let platform = Platform::start(program::value(&matches, "listen", program::ANY)?).await?;
    if let Some(path) = matches.opt_str("rules") {
        platform.put_rules(None, &program::read(&path)?);
    }
    println!("{NAME}: listen={}", platform.addr());
    program::wait_for_stop(&matches).await?;
    Ok(ExitCode::SUCCESS)
}
