//! Command line client for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    endivescale_cli::commands::main(&args)
}
