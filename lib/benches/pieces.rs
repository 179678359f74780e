//! Time taken by the small pieces that every request passes through.

use std::hint::black_box;
use std::time::Duration;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use endivescale::connection::control_frames::ControlLimit;
use endivescale::connection::control_frames::FrameReader;
use endivescale::process::Incarnation;
use endivescale::process::admission::Admission;
use endivescale::process::admission::AdmissionConfig;
use endivescale::process::admission::Arrival;
use endivescale::process::admission::Completion;
use endivescale::process::admission::Work;
use endivescale::request::Context;
use endivescale::request::RequestId;
use endivescale::version::Criticality;
use endivescale::version::PlanKey;
use endivescale::version::rules::Rules;

fn work(now: Duration, hash: u16) -> Work {
    Work {
        criticality: Criticality::Normal,
        hash,
        depth: 0,
        kind: PlanKey(0),
        deadline: now + Duration::from_secs(1),
        objective: None,
        may_wait: true,
        weight: 1,
    }
}

fn admission(c: &mut Criterion) {
    let mut idle = Admission::new(&AdmissionConfig::new(40));
    let mut decisions = Vec::new();
    let mut now = Duration::ZERO;
    c.bench_function("admission/free slot", |b| {
        b.iter(|| {
            now += Duration::from_micros(100);
            if let Arrival::Admitted(ticket) = idle.arrive(now, work(now, 7)) {
                idle.complete(now, ticket, Completion::Answered);
            }
            idle.poll(now, &mut decisions);
            decisions.clear();
        });
    });
    let mut full = Admission::new(&AdmissionConfig::new(40));
    let mut running = Vec::new();
    let mut hash = 0u16;
    c.bench_function("admission/overloaded", |b| {
        b.iter(|| {
            now += Duration::from_micros(100);
            hash = hash.wrapping_mul(31).wrapping_add(7);
            if let Arrival::Admitted(ticket) = full.arrive(now, work(now, hash)) {
                running.push(ticket);
            }
            if hash.is_multiple_of(3)
                && let Some(ticket) = running.pop()
            {
                full.complete(now, ticket, Completion::Answered);
            }
            full.poll(now, &mut decisions);
            running.extend(decisions.drain(..).map(|decision| decision.ticket));
        });
    });
}

fn context(c: &mut Criterion) {
    let cx = Context {
        id: RequestId(7),
        criticality: Criticality::High,
        hash: 0xbeef,
        remaining: Duration::from_millis(250),
        objective: None,
        retries: 3,
        depth: 4,
        non_idempotent: true,
        rerun: false,
        may_wait: true,
        repeat: None,
        weight: 4,
        sender: Incarnation(9),
    };
    let text = cx.to_string();
    c.bench_function("context/print", |b| b.iter(|| black_box(&cx).to_string()));
    c.bench_function("context/parse", |b| b.iter(|| black_box(&text).parse::<Context>()));
}

fn rules(c: &mut Criterion) {
    for lines in [10, 100, 1_000] {
        let text: String = (0..lines)
            .map(|n| format!("svc{} GET /a{n}/** criticality=normal weight=1 retries=1 deadline=1s  # asked by the bench\n", n % 50))
            .collect();
        let rules = Rules::parse("bench", &text).expect("the rules are well formed");
        let path = format!("/a{}/b", lines - 1);
        let service = format!("svc{}", (lines - 1) % 50);
        c.bench_function(&format!("rules/find in {lines}"), |b| {
            b.iter(|| black_box(rules.find(&service, &http::Method::GET, &path)).line);
        });
    }
}

fn control_frames(c: &mut Criterion) {
    const HEAD_LEN: u8 = 200;
    let (mut reader, mut limit) = (FrameReader::new(0), ControlLimit::new());
    let mut head = vec![0; 9 + usize::from(HEAD_LEN)];
    head[..9].copy_from_slice(&[0, 0, HEAD_LEN, 1, 4, 0, 0, 0, 1]);
    c.bench_function("control frames/head", |b| {
        b.iter(|| {
            let counts = reader.read(black_box(&head));
            limit.record_written(head.len());
            limit.record_read(counts, Duration::ZERO)
        });
    });
}

criterion_group! {
    name = pieces;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .sample_size(20);
    targets = admission, context, rules, control_frames
}
criterion_main!(pieces);
