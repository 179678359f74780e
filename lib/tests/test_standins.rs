//! The stand-ins against one another, without any daemon between them.

use std::time::Duration;

use endivescale_testutils::caller;
use endivescale_testutils::caller::plan::Class;
use endivescale_testutils::caller::plan::Phase;
use endivescale_testutils::caller::plan::Plan;
use endivescale_testutils::caller::report::ClassReport;
use endivescale_testutils::http::Client;
use endivescale_testutils::platform::Mode;
use endivescale_testutils::platform::Platform;
use endivescale_testutils::program::ANY;
use endivescale_testutils::upstream::Upstream;
use endivescale_testutils::upstream::behaviour::Behaviour;
use endivescale_testutils::upstream::behaviour::CutPoint;
use endivescale_testutils::upstream::ledger::State;

fn plan(upstream: &Upstream) -> Plan {
    let class = Class {
        name: "browsing".to_owned(),
        service: "listings".to_owned(),
        method: "GET".to_owned(),
        path: "/calls".to_owned(),
        weight: 1,
        deadline_ms: 10_000,
        request_bytes: 100,
        answer_bytes: 40_000,
        answer_rate: None,
    };
    Plan {
        seed: 1,
        entries: vec![upstream.addr()],
        phases: vec![Phase { rate: 1000.0, for_ms: 100 }],
        classes: vec![class],
        hard_retries: 0,
        cancel_per_mille: 0,
    }
}

async fn upstream(behaviour: Behaviour) -> Upstream {
    Upstream::start(ANY, ANY, 8, behaviour).await.unwrap()
}

async fn seen(plan: Plan) -> ClassReport {
    caller::run(plan).await.classes.swap_remove("browsing").unwrap()
}

/// Counts the ledger's entries in a state once none is running any more.
async fn ended_as(upstream: &Upstream, state: State) -> usize {
    loop {
        let entries = upstream.entries();
        if entries.iter().all(|entry| entry.state != State::Running) {
            return entries.iter().filter(|entry| entry.state == state).count();
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn every_answer_is_whole_and_in_the_ledger() {
    let upstream = upstream(Behaviour::default()).await;
    let report = seen(plan(&upstream)).await;
    assert_eq!((report.asked, report.whole), (100, 100));
    assert_eq!(ended_as(&upstream, State::Whole).await, 100);
    assert!(upstream.entries().iter().all(|entry| entry.body_matches && entry.worked));
}

#[tokio::test]
async fn shed_work_is_seen_on_both_sides() {
    let upstream =
        upstream(Behaviour { shed: true, service_ms: 100.0, ..Behaviour::default() }).await;
    let report = seen(plan(&upstream)).await;
    assert_eq!(report.whole + report.not_run, 100);
    assert_eq!(ended_as(&upstream, State::Shed).await as u64, report.not_run);
    assert!(report.not_run > 0);
}

#[tokio::test]
async fn cut_answers_are_seen_as_broken() {
    let upstream = upstream(Behaviour { cut: CutPoint::AnswerBody, ..Behaviour::default() }).await;
    let report = seen(plan(&upstream)).await;
    assert_eq!((report.broken, report.wrong), (100, 0));
    assert_eq!(ended_as(&upstream, State::Failed).await, 100);
}

#[tokio::test]
async fn callers_that_leave_are_seen_as_cancellations() {
    let upstream = upstream(Behaviour { service_ms: 30_000.0, ..Behaviour::default() }).await;
    let mut plan = plan(&upstream);
    plan.classes[0].deadline_ms = 50;
    let report = seen(plan).await;
    assert_eq!(report.gave_up, 100);
    assert_eq!(ended_as(&upstream, State::Cancelled).await, upstream.entries().len());
}

#[tokio::test]
async fn the_platform_answers_watches_and_counts_them() {
    let platform = Platform::start(ANY).await.unwrap();
    let client = Client::default();
    let fetch = |path: &'static str| client.fetch(platform.addr(), "GET", path, "");
    assert_eq!(fetch("/v1/rules?after=0&wait_ms=1").await.unwrap().0.as_u16(), 204);
    let (watched, _) = tokio::join!(fetch("/v1/rules?after=0&wait_ms=60000"), async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        platform.put_rules(Some(7), "text")
    });
    assert_eq!(watched.unwrap().1, r#"{"text":"text","version":7}"#);
    platform.set_mode(Mode::Stale);
    platform.put_rules(None, "newer");
    assert_eq!(fetch("/v1/rules?after=7&wait_ms=1").await.unwrap().0.as_u16(), 204);
    platform.set_mode(Mode::Down);
    assert!(fetch("/v1/rules?after=7&wait_ms=1").await.is_err());
    platform.set_mode(Mode::Up);
    assert!(fetch("/v1/rules?after=7&wait_ms=1").await.is_ok());
    assert_eq!(platform.calls()["/v1/rules"], 5);
}
