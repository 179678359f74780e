//! Compares policies on the scenarios of `docs/design/policy.md`.
//!
//! With `--trial` every variant is run on every scenario and printed as a
//! table; otherwise the default policy is held against its bounds.

mod deployment;
mod report;
mod scenario;
mod sim;
mod variant;

use scenario::Cause;
use scenario::Scenario;
use variant::Variant;

const SEED: u64 = 5;

fn main() {
    let filter: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    for dep in [&deployment::TSAGAAN, &deployment::COOPERATIVE] {
        for scenario in scenarios() {
            if !filter.is_empty() && !filter.iter().any(|f| scenario.name == *f || dep.name == f) {
                continue;
            }
            for variant in variants() {
                print_row(dep, &scenario, &variant);
            }
        }
    }
}

fn print_row(dep: &deployment::Deployment, scenario: &Scenario, variant: &Variant) {
    let began = std::time::Instant::now();
    let tally = sim::Sim::new(dep, scenario, variant, SEED).run();
    let classes: Vec<String> =
        (0..5).map(|c| format!("{:5.1}", tally.class_goodput(c) * 100.0)).collect();
    if std::env::var("D_RAW").is_ok() {
        for c in 0..5 {
            println!("   {} {:?}", dep.classes[c].name, tally.raw(c));
        }
    }
    let second = |r: Option<f64>| r.map_or("never".to_owned(), |s| format!("{s:.2}"));
    println!(
        "{:11} {:28} {:10} good {:5.1}% [{}] waste {:4.1}% recov {:>5} [{}] retries {:4.2} root {:4.1}% gaveup {:4.1}% ({:.1?})",
        dep.name,
        scenario.name,
        variant.name,
        tally.weighted_goodput() * 100.0,
        classes.join(" "),
        tally.wasted() * 100.0,
        second(tally.recovery(&[0, 1, 2, 3, 4])),
        (0..5).map(|c| second(tally.recovery(&[c]))).collect::<Vec<_>>().join("/"),
        tally.retries(),
        tally.root_share() * 100.0,
        tally.gave_up_share() * 100.0,
        began.elapsed(),
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

fn variants() -> Vec<Variant> {
    if std::env::args().any(|a| a == "--adaptive") {
        return vec![variant::ADAPTIVE];
    }
    if std::env::args().any(|a| a == "--ablate") {
        use endivescale::process::admission::LimitPolicy;
        use endivescale::process::admission::QueueOrder;
        let adaptive = variant::ADAPTIVE;
        return vec![
            Variant { name: "slots", limit: LimitPolicy::Slots, ..adaptive.clone() },
            Variant { name: "fifo", order: QueueOrder::Fifo, ..adaptive.clone() },
            Variant { name: "no-cut", deadline_cut: false, ..adaptive.clone() },
            Variant { name: "local", feedback: false, ..adaptive.clone() },
            Variant { name: "no-hints", hints: false, ..adaptive.clone() },
            Variant { name: "no-retry", budget: 0, ..adaptive.clone() },
            Variant { name: "random", balance: false, ..adaptive.clone() },
            adaptive,
        ];
    }
    vec![variant::NO_CONTROL, variant::FIXED_LIMIT, variant::ADAPTIVE]
}
