//! The demonstration: a surge against separate processes on loopback, and the
//! promises checked by the upstreams' ledgers.

mod deployment;
mod fleet;
mod promises;
mod table;

use std::time::Duration;

use crate::caller;
use crate::caller::plan::Plan;
use crate::error::StandInError;

use self::deployment::Timing;
use self::fleet::Fleet;
use self::promises::Broken;

/// Seed of the demonstration's callers.
const SEED: u64 = 20_261;

/// Runs the demonstration with the programs beside this one; returns the
/// promises that were broken.
pub async fn run() -> Result<Vec<String>, StandInError> {
    let timing = Timing::default();
    let mut fleet = Fleet::start().await?;
    println!(
        "demo: {} daemons beside {} upstreams; calm {} s, surge {} s with matching slowed, calm {} s",
        fleet.size(),
        fleet.size(),
        timing.before.as_secs(),
        timing.surge.as_secs(),
        timing.after.as_secs(),
    );
    let plan: Plan = deployment::plan(SEED, fleet.entries(), &timing);
    let names: Vec<String> = plan.classes.iter().map(|class| class.name.clone()).collect();
    let (report, slowed) = tokio::join!(caller::run(plan), slow_matching(&fleet, &timing));
    slowed?;
    let ledgers = fleet.ledgers().await?;
    let stopped = fleet.stop().await;
    let rows = table::rows(&names, &report, &ledgers, &timing);
    print!("{}", table::Table(&rows));
    for (name, class) in &report.classes {
        println!("{name}: {:?}", class.reasons);
    }
    let mut broken = promises::broken(&report, &ledgers, &rows);
    if let Err(err) = stopped {
        broken.push(Broken::Stop { cause: err.to_string() });
    }
    Ok(broken.iter().map(ToString::to_string).collect())
}

/// Slows the deep service for the length of the surge.
async fn slow_matching(fleet: &Fleet, timing: &Timing) -> Result<(), StandInError> {
    tokio::time::sleep(timing.before).await;
    fleet.set_matching_ms(deployment::MATCHING_SLOW_MS).await?;
    tokio::time::sleep(timing.surge).await;
    fleet.set_matching_ms(deployment::MATCHING_MS).await
}

/// Longest wait for the processes of the run to become ready or to stop.
const READY_CAP: Duration = Duration::from_secs(15);
