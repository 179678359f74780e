use std::collections::VecDeque;
use std::time::Duration;

use endivescale::process::admission::Admission;
use endivescale::process::admission::AdmissionConfig;
use endivescale::process::admission::Arrival;
use endivescale::process::admission::Completion;
use endivescale::process::admission::Level;
use endivescale::process::admission::Verdict;
use endivescale::process::admission::Work;
use endivescale::version::Criticality;
use endivescale::version::PlanKey;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// Seed of the arrivals.
const SEED: u64 = 90;
/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(1);
/// Time of one request in its slot.
const SERVICE: Duration = Duration::from_millis(100);
/// Time until callers apply a level.
const FEEDBACK: Duration = Duration::from_millis(150);
/// Length of the surge.
const SURGE: Duration = Duration::from_secs(20);
/// Requests wanted for each one that fits.
const DEMAND: f64 = 4.0;
/// Least share of its slots' time that the upstream must be at work: by the
/// formula for random arrivals at an even load, 0.855 for three slots and four
/// requests waiting.
const BUSY: f64 = 0.85;

/// Returns the share of its slots' time that an upstream works in a surge whose
/// callers apply the admission level late.
fn busy_share(slots: usize) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut admission = Admission::new(&AdmissionConfig::new(slots));
    let mut levels = VecDeque::from([Level::OPEN]);
    let mut running = VecDeque::new();
    let mut served = 0u32;
    let per_step = DEMAND * slots as f64 * STEP.as_secs_f64() / SERVICE.as_secs_f64();
    let steps = SURGE.as_millis() / STEP.as_millis();
    for now in (0..steps as u32).map(|step| STEP * step) {
        while running.front().is_some_and(|(end, _)| *end <= now) {
            let (_, ticket) = running.pop_front().unwrap();
            admission.complete(now, ticket, Completion::Answered);
            served += 1;
        }
        let (hash, arrives) = (rng.random(), rng.random_bool(per_step.min(1.0)));
        let criticality = Criticality::Critical;
        if arrives && levels[0].admits(criticality, hash) {
            let deadline = now + Duration::from_secs(4);
            let work = Work {
                criticality,
                hash,
                depth: 1,
                deadline,
                objective: None,
                kind: PlanKey(0),
                may_wait: true,
                weight: 1,
            };
            if let Arrival::Admitted(ticket) = admission.arrive(now, work) {
                running.push_back((now + SERVICE, ticket));
            }
        }
        let mut decisions = Vec::new();
        admission.poll(now, &mut decisions);
        let started = decisions.iter().filter(|decision| decision.verdict == Verdict::Admitted);
        running.extend(started.map(|decision| (now + SERVICE, decision.ticket)));
        levels.push_back(admission.level());
        if levels.len() as u128 > FEEDBACK.as_millis() / STEP.as_millis() {
            levels.pop_front();
        }
    }
    let fits = slots as f64 * SURGE.as_secs_f64() / SERVICE.as_secs_f64();
    f64::from(served) / fits
}

macro_rules! cases {
    ($($name:ident: $slots:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let share = busy_share($slots);
                assert!(share >= BUSY, "{} slots were at work {share:.3} of the time", $slots);
            }
        )*
    };
}

cases! {
    three_slots_are_kept_at_work_in_a_surge: 3;
    fifteen_slots_are_kept_at_work_in_a_surge: 15;
}
