use std::time::Duration;

use endivescale::process::admission::Admission;
use endivescale::process::admission::AdmissionConfig;
use endivescale::process::admission::Arrival;
use endivescale::process::admission::Completion;
use endivescale::process::admission::Decision;
use endivescale::process::admission::Level;
use endivescale::process::admission::ShedReason;
use endivescale::process::admission::Ticket;
use endivescale::process::admission::Verdict;
use endivescale::process::admission::Work;
use endivescale::version::Criticality;
use endivescale::version::PlanKey;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn work(criticality: Criticality) -> Work {
    let deadline = ms(2000);
    Work {
        criticality,
        hash: 100,
        depth: 0,
        deadline,
        objective: None,
        kind: PlanKey(0),
        may_wait: true,
        weight: 1,
    }
}

fn one_slot() -> AdmissionConfig {
    AdmissionConfig { queue_entries: 2, ..AdmissionConfig::new(1) }
}

/// Load pattern: an upstream refuses half of what it gets, and the owner sends it again with
/// success. The refusals must show, or callers send it as much as a sound one.
#[test]
fn refused_attempts_lower_the_success_ratio() {
    let mut admission = Admission::new(&one_slot());
    for n in 0..200 {
        let now = ms(n * 10);
        let work = Work { deadline: now + ms(2000), ..work(Criticality::Normal) };
        let ticket = ticket(admission.arrive(now, work));
        admission.record_resend();
        admission.complete(now + ms(5), ticket, Completion::Answered);
    }
    assert!((0.4..0.6).contains(&admission.success_ratio()), "{}", admission.success_ratio());
}

fn ticket(arrival: Arrival) -> Ticket {
    match arrival {
        Arrival::Admitted(ticket) | Arrival::Queued(ticket) => ticket,
        Arrival::Shed(shed) => panic!("shed: {shed:?}"),
    }
}

fn poll(admission: &mut Admission, now: Duration) -> Vec<Decision> {
    let mut decisions = Vec::new();
    admission.poll(now, &mut decisions);
    decisions
}

fn reasons(decisions: &[Decision]) -> Vec<(Ticket, ShedReason)> {
    let shed = |d: &Decision| match d.verdict {
        Verdict::Shed(shed) => Some((d.ticket, shed.reason)),
        Verdict::Admitted => None,
    };
    decisions.iter().filter_map(shed).collect()
}

fn admitted(decisions: &[Decision]) -> Vec<Ticket> {
    decisions.iter().filter(|d| d.verdict == Verdict::Admitted).map(|d| d.ticket).collect()
}

#[test]
fn freed_slot_goes_to_the_most_critical() {
    let mut admission = Admission::new(&one_slot());
    let first = ticket(admission.arrive(ms(0), work(Criticality::Normal)));
    admission.arrive(ms(1), work(Criticality::Normal));
    let critical = ticket(admission.arrive(ms(2), work(Criticality::Critical)));
    admission.complete(ms(3), first, Completion::Answered);
    assert_eq!(admitted(&poll(&mut admission, ms(3))), [critical]);
}

#[test]
fn deeper_work_of_one_criticality_goes_first() {
    let mut admission = Admission::new(&one_slot());
    let first = ticket(admission.arrive(ms(0), work(Criticality::Normal)));
    admission.arrive(ms(1), work(Criticality::Normal));
    let deep = Work { depth: 5, ..work(Criticality::Normal) };
    let deep = ticket(admission.arrive(ms(2), deep));
    admission.complete(ms(3), first, Completion::Answered);
    assert_eq!(admitted(&poll(&mut admission, ms(3))), [deep]);
}

#[test]
fn full_queue_sheds_the_least_critical() {
    let mut admission = Admission::new(&one_slot());
    admission.arrive(ms(0), work(Criticality::High));
    admission.arrive(ms(0), work(Criticality::Normal));
    let download = ticket(admission.arrive(ms(0), work(Criticality::Deferrable)));
    let critical = admission.arrive(ms(1), work(Criticality::Critical));
    assert!(matches!(critical, Arrival::Queued(_)));
    assert_eq!(reasons(&poll(&mut admission, ms(1))), [(download, ShedReason::QueueFull)]);
    let refused = admission.arrive(ms(1), work(Criticality::Deferrable));
    assert!(matches!(refused, Arrival::Shed(shed) if shed.reason == ShedReason::QueueFull));
}

#[test]
fn queued_work_is_dropped_at_its_latest_start() {
    let mut admission = Admission::new(&one_slot());
    let first = ticket(admission.arrive(ms(0), work(Criticality::Normal)));
    admission.complete(ms(400), first, Completion::Answered);
    ticket(admission.arrive(ms(400), work(Criticality::Normal)));
    let waiting = ticket(admission.arrive(ms(400), work(Criticality::Normal)));
    let wakeup = admission.next_wakeup().unwrap();
    assert!(wakeup <= ms(1600));
    assert!(reasons(&poll(&mut admission, ms(1599))).is_empty());
    assert_eq!(reasons(&poll(&mut admission, ms(1600))), [(waiting, ShedReason::Deadline)]);
}

#[test]
fn work_that_may_not_wait_leaves_the_queue_early() {
    let mut admission = Admission::new(&one_slot());
    admission.arrive(ms(0), work(Criticality::Normal));
    let no_wait = Work { may_wait: false, ..work(Criticality::Normal) };
    let waiting = ticket(admission.arrive(ms(0), no_wait));
    assert_eq!(reasons(&poll(&mut admission, ms(250))), [(waiting, ShedReason::NoWait)]);
}

#[test]
fn unmeasured_silence_lets_work_start_again() {
    let mut admission = Admission::new(&one_slot());
    let slow = ticket(admission.arrive(ms(0), work(Criticality::Normal)));
    admission.complete(ms(1900), slow, Completion::TimedOut);
    let urgent = |now| Work { deadline: now + ms(500), ..work(Criticality::Normal) };
    assert!(matches!(admission.arrive(ms(1900), urgent(ms(1900))), Arrival::Shed(_)));
    assert!(matches!(admission.arrive(ms(6000), urgent(ms(6000))), Arrival::Admitted(_)));
}

#[test]
fn level_closes_under_overload_and_opens_after_it() {
    let mut admission = Admission::new(&AdmissionConfig::new(1));
    let mut running = None;
    for step in 1..200 {
        let now = ms(step * 10);
        let hash = (step * 7919 % 65536) as u16;
        let deadline = now + ms(1000);
        let fresh = Work { hash, deadline, ..work(Criticality::Normal) };
        if let Arrival::Admitted(ticket) = admission.arrive(now, fresh) {
            running = Some(ticket);
        }
        if step % 4 == 0 {
            admission.complete(now, running.unwrap(), Completion::Answered);
            running = admitted(&poll(&mut admission, now)).last().copied();
        }
    }
    let closed = admission.level();
    assert!(!closed.admits(Criticality::Normal, u16::MAX), "{closed}");
    assert!(closed.admits(Criticality::High, u16::MAX), "{closed}");
    for step in 0..100 {
        poll(&mut admission, ms(4000 + step * 100));
    }
    assert_eq!(admission.level(), Level::OPEN);
}

#[test]
fn callers_refused_together_come_back_apart() {
    let mut admission = Admission::new(&one_slot());
    for _ in 0..3 {
        admission.arrive(ms(0), work(Criticality::Critical));
    }
    let mut times: Vec<_> = (0..8u16)
        .map(|n| Work { hash: n * 8000, ..work(Criticality::Normal) })
        .map(|work| match admission.arrive(ms(1), work) {
            Arrival::Shed(shed) => shed.retry_after,
            arrival => panic!("not shed: {arrival:?}"),
        })
        .collect();
    times.dedup();
    assert_eq!(times.len(), 8);
}

macro_rules! level_text {
    ($($name:ident: $text:expr => $parsed:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!($text.parse::<Level>().ok(), $parsed);
        })*
    };
}

level_text! {
    level_open_parses: Level::OPEN.to_string() => Some(Level::OPEN);
    level_with_hash_parses: "1;00ff" => Some(Level { criticality: Criticality::High, threshold: 255 });
    level_of_unknown_rank_is_refused: "9;00ff" => None;
    level_without_hash_is_refused: "1" => None;
}
