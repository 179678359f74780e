//! Compares policies on the scenarios of `docs/design/policy.md`.
//!
//! With `--trial` every variant is run on every scenario and printed as a
//! table; otherwise the default policy is held against its bounds.

mod deployment;
#[path = "../cost/figure.rs"]
mod figure;
mod report;
mod scenario;
mod sim;
mod variant;

use std::process::ExitCode;

use deployment::Deployment;
use figure::Figures;
use report::Tally;
use scenario::Cause;
use scenario::Scenario;
use variant::Variant;

const SEED: u64 = 5;

/// Share of the critical answers that capacity allows.
const CRITICAL_PERCENT: f64 = 99.0;

/// Share of the weighted answers that capacity allows, at three and at ten
/// times the capacity.
const WEIGHTED_PERCENT: f64 = 95.0;
const WEIGHTED_PERCENT_AT_TEN: f64 = 90.0;

/// Share of the upstreams' work that may serve no whole answer.
const WASTED_PERCENT: f64 = 3.0;

/// Time from the end of the cause until critical requests are answered again.
const RECOVERY_SECONDS: f64 = 2.0;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let trial = args.iter().any(|arg| arg == "--trial");
    let names: Vec<&String> = args.iter().filter(|arg| !arg.starts_with("--")).collect();
    let mut figures = Figures::default();
    for dep in [&deployment::TSAGAAN, &deployment::COOPERATIVE] {
        let wanted = |s: &Scenario| names.is_empty() || names.iter().any(|name| **name == s.name);
        for scenario in scenarios().into_iter().filter(wanted) {
            let tallies =
                compare(dep, &scenario, if trial { &variant::TRIALS } else { &variant::COMPARED });
            for (variant, tally) in &tallies {
                print_row(dep, &scenario, variant, tally);
            }
            if !trial {
                judge(dep, &scenario, &tallies, &mut figures);
            }
        }
    }
    figures.exit_code()
}

/// Runs every variant on one scenario, with the same requests.
fn compare<'a>(
    dep: &Deployment,
    scenario: &Scenario,
    variants: &'a [Variant],
) -> Vec<(&'a Variant, Tally)> {
    std::thread::scope(|scope| {
        let run = |variant| move || (variant, sim::Sim::new(dep, scenario, variant, SEED).run());
        let threads: Vec<_> = variants.iter().map(|variant| scope.spawn(run(variant))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a run ends")).collect()
    })
}

/// Holds the default policy, which comes last, against the targets and against
/// the better of the baselines.
fn judge(
    dep: &Deployment,
    scenario: &Scenario,
    tallies: &[(&Variant, Tally)],
    figures: &mut Figures,
) {
    let Some(((_, adaptive), baselines)) = tallies.split_last() else { return };
    let best =
        |value: fn(&Tally) -> f64| baselines.iter().map(|(_, t)| value(t)).fold(0.0, f64::max);
    let critical: fn(&Tally) -> f64 = |tally| tally.class_goodput(0) * 100.0;
    let weighted: fn(&Tally) -> f64 = |tally| tally.weighted_goodput() * 100.0;
    let (critical_bound, weighted_bound) = match scenario.name.as_str() {
        "demand-1.5" | "demand-3" => (CRITICAL_PERCENT, WEIGHTED_PERCENT),
        "demand-10" => (best(critical), WEIGHTED_PERCENT_AT_TEN),
        _ => (best(critical).min(CRITICAL_PERCENT), best(weighted).min(WEIGHTED_PERCENT)),
    };
    let name = |figure: &str| format!("policy/{}/{}/{figure}", dep.name, scenario.name);
    figures.at_least(&name("critical_goodput"), critical(adaptive), "%", critical_bound);
    figures.at_least(&name("weighted_goodput"), weighted(adaptive), "%", weighted_bound);
    figures.at_most(&name("wasted_work"), adaptive.wasted() * 100.0, "%", WASTED_PERCENT);
    let recovery = adaptive.recovery(&[0]).unwrap_or(f64::INFINITY);
    figures.at_most(&name("critical_recovery"), recovery, "s", RECOVERY_SECONDS);
}

fn print_row(dep: &Deployment, scenario: &Scenario, variant: &Variant, tally: &Tally) {
    let classes = 0..dep.classes.len();
    let goodput = |class: usize| {
        format!("{} {:.1}", dep.classes[class].name, tally.class_goodput(class) * 100.0)
    };
    let goodput: Vec<String> = classes.clone().map(goodput).collect();
    let recovery =
        |class| tally.recovery(&[class]).map_or("never".to_owned(), |s| format!("{s:.2}"));
    let recovery: Vec<String> = classes.map(recovery).collect();
    println!(
        "# {} {} {}: weighted {:.1}% by class [{}]% wasted {:.1}% recovered [{}] s, retries {:.2}, \
         refused at root {:.1}%, deadline passed {:.1}%",
        dep.name,
        scenario.name,
        variant.name,
        tally.weighted_goodput() * 100.0,
        goodput.join(" "),
        tally.wasted() * 100.0,
        recovery.join(" "),
        tally.retries(),
        tally.root_share() * 100.0,
        tally.gave_up_share() * 100.0,
    );
}

fn scenarios() -> Vec<Scenario> {
    let surge = Cause::Demand(3.0);
    let deep = [Cause::DeepSlow(5.0), Cause::Demand(2.0), Cause::HardRetries];
    let others: [(&str, Vec<Cause>); 7] = [
        ("killed", vec![Cause::Killed { deep_only: true }]),
        ("zone-lost", vec![Cause::Killed { deep_only: false }]),
        ("fewer-slots", vec![Cause::FewerSlots(0.5)]),
        ("cold", vec![Cause::Cold(3.0)]),
        ("downloads", vec![Cause::Downloads(20.0)]),
        ("frozen", vec![Cause::Frozen]),
        ("hard", vec![Cause::HardRetries]),
    ];
    let mut all = vec![
        Scenario { name: "demand-1.5".into(), causes: vec![Cause::Demand(1.5)] },
        Scenario { name: "demand-3".into(), causes: vec![surge] },
        Scenario { name: "demand-10".into(), causes: vec![Cause::Demand(10.0)] },
        Scenario { name: "deep-slow".into(), causes: deep.to_vec() },
    ];
    for (name, causes) in others {
        all.push(Scenario { name: name.into(), causes: causes.clone() });
        all.push(Scenario {
            name: format!("demand-3+{name}"),
            causes: [vec![surge], causes.clone()].concat(),
        });
        if name != "hard" {
            all.push(Scenario {
                name: format!("deep-slow+{name}"),
                causes: [deep.to_vec(), causes].concat(),
            });
        }
    }
    all
}
