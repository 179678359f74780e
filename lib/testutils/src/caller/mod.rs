//! Stand-in of the callers: open loop at a given rate and mix, with planned
//! cancellations and hard retries, checking each answer byte for byte.

mod exchange;
pub mod plan;
pub mod report;

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::http::Client;

use self::exchange::Course;
use self::exchange::Intent;
use self::plan::Plan;
use self::report::Collector;
use self::report::Finished;
use self::report::Report;

/// What the seed decided for one request.
struct Draw {
    class: usize,
    entry: usize,
    cancel_at: Option<u64>,
    cancel_after: Option<Duration>,
}

/// Carries out `plan` and returns once every request has ended.
pub async fn run(plan: Plan) -> Report {
    let plan = Arc::new(plan);
    let client = Arc::new(Client::default());
    let (tx, mut rx) = mpsc::unbounded_channel();
    let mut collector = Collector::new(plan.classes.iter().map(|class| class.name.as_str()));
    tokio::spawn(send_all(plan, client, tx));
    while let Some(finished) = rx.recv().await {
        collector.add(finished);
    }
    collector.report()
}

/// Starts each request at its time, whatever became of the ones before it.
async fn send_all(plan: Arc<Plan>, client: Arc<Client>, tx: mpsc::UnboundedSender<Finished>) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut phase_end = Duration::ZERO;
    let mut number = 0;
    for phase in &plan.phases {
        phase_end += Duration::from_millis(phase.for_ms);
        let gap = Duration::from_secs_f64(1.0 / phase.rate.max(1e-3));
        while due < phase_end {
            tokio::time::sleep_until(start + due).await;
            let draw = draw(&plan, &mut rng);
            tokio::spawn(one(plan.clone(), client.clone(), draw, number, due, tx.clone()));
            number += 1;
            due += gap;
        }
        due = due.max(phase_end);
    }
}

fn draw(plan: &Plan, rng: &mut ChaCha8Rng) -> Draw {
    let total: u32 = plan.classes.iter().map(|class| class.weight).sum();
    let mut ticket = rng.random_range(0..total.max(1));
    let mut class = 0;
    while class + 1 < plan.classes.len() && ticket >= plan.classes[class].weight {
        ticket -= plan.classes[class].weight;
        class += 1;
    }
    let entry = rng.random_range(0..plan.entries.len());
    let cancels = rng.random_range(0..1000) < plan.cancel_per_mille;
    let in_body = rng.random_bool(0.5);
    let share: f64 = rng.random_range(0.0..1.0);
    let size = plan.classes[class].answer_bytes;
    let cancel_at = (cancels && in_body).then_some((size as f64 * share) as u64);
    let cancel_after =
        (cancels && !in_body).then_some(Duration::from_secs_f64(share * MAX_CANCEL_S));
    Draw { class, entry, cancel_at, cancel_after }
}

/// Latest moment of a planned cancellation by time, in seconds.
const MAX_CANCEL_S: f64 = 0.03;

async fn one(
    plan: Arc<Plan>,
    client: Arc<Client>,
    draw: Draw,
    number: u64,
    asked: Duration,
    tx: mpsc::UnboundedSender<Finished>,
) {
    let class = &plan.classes[draw.class];
    let mark = format!("{}-{}-{number}", plan.seed, class.name);
    let intent = Intent {
        class,
        mark: &mark,
        entries: &plan.entries,
        first_entry: draw.entry,
        hard_retries: plan.hard_retries,
        cancel_at: draw.cancel_at,
        cancel_after: draw.cancel_after,
    };
    let mut course = Course::default();
    let started = Instant::now();
    let seen = exchange::run(&client, &intent, &mut course).await;
    // The receiver lives until the last sender is gone.
    let _ = tx.send(Finished {
        class: draw.class,
        asked_ms: asked.as_millis() as u64,
        took_us: started.elapsed().as_micros() as u64,
        sent: course.sent,
        seen,
        reasons: course.reasons,
        told_not_run: course.told_not_run,
    });
}
