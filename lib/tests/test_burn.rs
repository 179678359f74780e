use std::time::Duration;

use endivescale::process::burn::BurnReport;
use endivescale::process::burn::BurnTracker;
use endivescale::process::burn::Cause;
use endivescale::process::burn::Class;
use endivescale::process::burn::ClassReport;
use endivescale::process::burn::Ending;
use endivescale::process::burn::Fault;
use endivescale::process::burn::MAX_CLASSES;
use endivescale::process::burn::Objectives;
use endivescale::process::burn::Origin;
use endivescale::process::burn::Role;
use endivescale::process::burn::merge;
use endivescale::request::Outcome;
use endivescale::request::Reason;
use endivescale::version::Criticality;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const SHED: Ending = Ending::Failed(Cause {
    fault: Fault::Refused(Reason::Overloaded),
    outcome: Outcome::NotRun,
    origin: Origin::Here,
});
const WHOLE: Ending = Ending::Complete(Duration::from_millis(20));

fn class(service: &str) -> Class {
    Class { role: Role::Entry, service: service.into(), criticality: Criticality::Normal }
}

fn burn(instance: &str) -> BurnTracker {
    BurnTracker::new(instance.into(), Objectives::default())
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Requests and failures of each window, the shortest first.
fn counts(report: &BurnReport) -> Vec<(u64, u64)> {
    let only = &report.classes[0];
    only.windows.iter().map(|window| (window.tally.requests, window.tally.failed)).collect()
}

#[test]
fn each_window_forgets_at_its_own_length() {
    let mut burn = burn("a");
    burn.record(seconds(100), &class("listings"), 2, SHED);
    burn.record(seconds(100), &class("listings"), 2, WHOLE);
    assert_eq!(counts(&burn.report(seconds(100))), [(2, 1), (2, 1), (2, 1), (2, 1)]);
    assert_eq!(counts(&burn.report(seconds(104))), [(2, 1), (2, 1), (2, 1), (2, 1)]);
    assert_eq!(counts(&burn.report(seconds(105))), [(0, 0), (2, 1), (2, 1), (2, 1)]);
    assert_eq!(counts(&burn.report(seconds(160))), [(0, 0), (0, 0), (2, 1), (2, 1)]);
    assert_eq!(counts(&burn.report(seconds(400))), [(0, 0), (0, 0), (0, 0), (2, 1)]);
    assert_eq!(burn.report(seconds(4_000)).classes, []);
}

#[test]
fn burn_rate_of_one_spends_the_budget_exactly() {
    let mut burn = burn("a");
    for at in 0..100 {
        burn.record(seconds(1), &class("listings"), 1, if at == 0 { SHED } else { WHOLE });
    }
    let report = burn.report(seconds(1));
    let class = &report.classes[0];
    assert_eq!(class.allowed_per_10k, 100);
    assert_eq!(class.windows[0].tally.burn_rate(class.allowed_per_10k), 1.0);
}

#[test]
fn weight_of_failures_is_counted() {
    let mut burn = burn("a");
    burn.record(seconds(1), &class("listings"), 10, SHED);
    burn.record(seconds(1), &class("listings"), 3, WHOLE);
    let tally = burn.report(seconds(1)).classes[0].windows[0].tally;
    assert_eq!((tally.weight, tally.weight_failed), (13, 10));
}

macro_rules! spends {
    ($($name:ident: $reason:ident => $spends:literal;)*) => {$(
        #[test]
        fn $name() {
            let fault = Fault::Refused(Reason::$reason);
            let cause = Cause { fault, outcome: Outcome::NotRun, origin: Origin::Here };
            let mut burn = burn("a");
            burn.record(seconds(1), &class("listings"), 1, Ending::Failed(cause));
            let report = burn.report(seconds(1));
            assert_eq!(counts(&report)[0], if $spends { (1, 1) } else { (0, 0) });
            assert_eq!(report.classes[0].causes[0].fault, fault);
        }
    )*};
}

spends! {
    refusal_spends_budget: Overloaded => true;
    expiry_spends_budget: Expired => true;
    unknown_outcome_spends_budget: OutcomeUnknown => true;
    malformed_request_does_not: Malformed => false;
    forged_token_does_not: TokenForged => false;
}

#[test]
fn handing_out_a_token_is_not_counted() {
    let fault = Fault::Refused(Reason::TokenRequired);
    let cause = Cause { fault, outcome: Outcome::NotRun, origin: Origin::Here };
    let mut burn = burn("a");
    burn.record(seconds(1), &class("submission"), 1, Ending::Failed(cause));
    assert_eq!(burn.report(seconds(1)).classes, []);
}

#[test]
fn cancelled_request_counts_neither_way() {
    let mut burn = burn("a");
    burn.record(seconds(1), &class("listings"), 1, Ending::Cancelled);
    let tally = burn.report(seconds(1)).classes[0].windows[0].tally;
    assert_eq!((tally.requests, tally.failed, tally.cancelled), (0, 0, 1));
}

#[test]
fn names_that_callers_make_up_take_no_memory() {
    let unknown = Ending::Failed(Cause {
        fault: Fault::Refused(Reason::UnknownService),
        outcome: Outcome::NotRun,
        origin: Origin::Here,
    });
    let mut burn = burn("a");
    for number in 0..10_000 {
        burn.record(seconds(1), &class(&format!("name-{number}")), 1, unknown);
    }
    assert_eq!(burn.report(seconds(1)).classes.len(), 1);
    for number in 0..10_000 {
        burn.record(seconds(1), &class(&format!("name-{number}")), 1, WHOLE);
    }
    let report = burn.report(seconds(1));
    assert!(report.classes.len() <= MAX_CLASSES + 1, "{}", report.classes.len());
    let requests: u64 = report.classes.iter().map(|class| class.windows[0].tally.requests).sum();
    assert_eq!(requests, 10_000);
}

#[test]
fn latencies_are_those_of_the_last_minutes() {
    let mut burn = burn("a");
    burn.record(seconds(10), &class("listings"), 1, Ending::Complete(seconds(9)));
    for _ in 0..99 {
        burn.record(seconds(70), &class("listings"), 1, WHOLE);
    }
    let at = |now, share| burn.report(now).classes[0].latency_at(share).unwrap();
    let slowest = at(seconds(70), 1.0).unwrap();
    assert!(slowest >= seconds(9) && slowest < seconds(10), "{slowest:?}");
    assert!(at(seconds(70), 0.5).unwrap() < Duration::from_millis(21));
    assert!(at(seconds(130), 1.0).unwrap() < Duration::from_millis(21));
    assert_eq!(at(seconds(190), 1.0), None);
}

#[test]
fn report_survives_json() {
    let mut burn = burn("a");
    burn.record(seconds(1), &class("listings"), 1, SHED);
    burn.record(seconds(1), &class("listings"), 1, WHOLE);
    let report = burn.report(seconds(1));
    let json = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<BurnReport>(&json).unwrap(), report);
}

#[derive(Clone, Debug)]
struct Event {
    instance: usize,
    at: Duration,
    service: usize,
    ending: Ending,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let ending = match u8::arbitrary(g) % 4 {
            0 => SHED,
            1 => Ending::Cancelled,
            _ => Ending::Complete(Duration::from_micros(u64::arbitrary(g) % 10_000_000)),
        };
        Self {
            instance: usize::arbitrary(g) % 3,
            at: Duration::from_millis(u64::arbitrary(g) % 120_000),
            service: usize::arbitrary(g) % 3,
            ending,
        }
    }
}

/// A class without its histogram, whose bytes depend on how it was resized.
fn comparable(class: &ClassReport) -> (ClassReport, Vec<Option<Duration>>) {
    let shares = [0.0, 0.5, 0.9, 0.99, 1.0];
    let latencies = shares.iter().map(|share| class.latency_at(*share).unwrap()).collect();
    (ClassReport { latency: None, ..class.clone() }, latencies)
}

#[test]
fn merged_reports_equal_the_report_of_all_requests() {
    fn property(events: Vec<Event>) -> bool {
        let mut events = events;
        events.sort_by_key(|event| event.at);
        let mut apart = [burn("a"), burn("b"), burn("c")];
        let mut together = burn("all");
        for event in &events {
            let class = class(["listings", "archive", "matching"][event.service]);
            apart[event.instance].record(event.at, &class, 2, event.ending);
            together.record(event.at, &class, 2, event.ending);
        }
        let now = seconds(125);
        let merged = merge(apart.iter().rev().map(|burn| burn.report(now))).unwrap();
        let expected = together.report(now);
        assert_eq!(merged.instances.len(), 3);
        merged.classes.iter().map(comparable).eq(expected.classes.iter().map(comparable))
    }
    let fixed = Gen::from_size_and_seed(60, 12_03);
    QuickCheck::new().rng(fixed).tests(200).quickcheck(property as fn(Vec<Event>) -> bool);
}
