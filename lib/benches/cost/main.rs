//! What the daemons of one hop cost, measured at real processes on loopback.
//!
//! Every bound is a stated target or a ratio to a baseline of the same run; see
//! `docs/CAPACITY.md`.

mod figure;
mod fleet;
mod memory;
mod time;

use std::process::ExitCode;

use figure::Figures;
use fleet::Fleet;

#[tokio::main(worker_threads = 2)]
async fn main() -> ExitCode {
    let fleet = match Fleet::start().await {
        Ok(fleet) => fleet,
        Err(err) => {
            eprintln!("cost: {}", snafu::Report::from_error(err));
            return ExitCode::FAILURE;
        }
    };
    let mut figures = Figures::default();
    time::measure(&fleet, &mut figures).await;
    memory::measure(&fleet, &mut figures).await;
    figures.exit_code()
}
