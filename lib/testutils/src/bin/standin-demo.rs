//! The demonstration as a program; `scripts/demo` builds and runs it.

use std::process::ExitCode;

use endivescale_testutils::demo;
use endivescale_testutils::error::StandInError;
use endivescale_testutils::program;

const NAME: &str = "standin-demo";

#[tokio::main]
async fn main() -> ExitCode {
    let result = run().await;
    if result.is_err() {
        println!("demo: failed: the run could not be carried out");
    }
    program::exit(NAME, result)
}

async fn run() -> Result<ExitCode, StandInError> {
    let broken = demo::run().await?;
    if broken.is_empty() {
        println!("demo: ok");
        return Ok(ExitCode::SUCCESS);
    }
    println!("demo: failed: {}", broken.join("; "));
    Ok(ExitCode::FAILURE)
}
