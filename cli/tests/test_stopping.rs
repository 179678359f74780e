//! Checks that a planned stop interrupts no request in progress;
//! see `docs/design/stopping.md`.

use std::net::SocketAddr;
use std::path::Path;

use endivescale_testutils::caller;
use endivescale_testutils::caller::plan::Class;
use endivescale_testutils::caller::plan::Phase;
use endivescale_testutils::caller::plan::Plan;
use endivescale_testutils::caller::report::ClassReport;
use endivescale_testutils::caller::report::Report;
use endivescale_testutils::headers::MARK;
use endivescale_testutils::headers::OUTCOME;
use endivescale_testutils::http::Client;
use endivescale_testutils::http::full;
use endivescale_testutils::place::Place;
use endivescale_testutils::process::Program;
use endivescale_testutils::process::Signal;
use endivescale_testutils::process::wait_until;
use http::Request;
use http_body_util::BodyExt as _;

use crate::processes::MAX_WAIT;
use crate::processes::TestCluster;

/// Index of the daemon that stops, one of the `listings` service.
const LEAVER: usize = 0;

/// Number of requests of each class in progress when the daemon stops.
const IN_PROGRESS: u64 = 20;

/// Service time of a submission, in milliseconds; longer than the notice period
/// of a stopping daemon.
const SUBMISSION_MS: f64 = 5_000.0;

/// Ways to stop a daemon.
#[derive(Clone, Copy, Debug)]
enum How {
    Signal(Signal),
    /// Publishing a VM list that shows the daemon as leaving.
    List,
    /// Running the `drain` command of the operators' client.
    Drain,
}

fn class(name: &str, service: &str, method: &str, path: &str) -> Class {
    Class {
        name: name.to_owned(),
        service: service.to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        weight: 1,
        deadline_ms: 40_000,
        request_bytes: 100,
        answer_bytes: 2_000,
        answer_rate: None,
    }
}

fn plan(entries: Vec<SocketAddr>, classes: Vec<Class>, rate: f64, for_ms: u64) -> Plan {
    let phases = vec![Phase { rate, for_ms }];
    Plan { seed: 31, entries, phases, classes, hard_retries: 0, cancel_per_mille: 0 }
}

fn downloads() -> Class {
    let downloads = class("downloads", "listings", "GET", "/packs/guidelines");
    Class { answer_bytes: 100_000, answer_rate: Some(20_000), ..downloads }
}

fn submissions() -> Class {
    class("submissions", "submission", "POST", "/expressions/1")
}

fn only(mut report: Report) -> ClassReport {
    report.classes.swap_remove_index(0).unwrap().1
}

/// Results of stopping a daemon under load.
struct Begun {
    /// Results of the downloads that were sent to the daemon before it stopped.
    downloads: ClassReport,
    /// Results of the submissions that were sent to the daemon before it stopped.
    submissions: ClassReport,
    /// Results of requests sent to the other daemons during the stop.
    others: Report,
    /// Whether the daemon exited by itself with status 0.
    well: bool,
}

/// Stops a daemon while downloads and submissions are in progress.
async fn stop(how: How, patience: &str) -> Begun {
    let mut cluster = TestCluster::start(patience).await;
    for upstream in &cluster.upstreams[2..] {
        upstream.change(|it| it.service_ms = SUBMISSION_MS);
    }
    let leaver = vec![cluster.places[LEAVER].caller];
    let begun = |class| tokio::spawn(caller::run(plan(leaver.clone(), vec![class], 200.0, 100)));
    let (downloads, submissions) = (begun(downloads()), begun(submissions()));
    cluster.wait_running(2 * IN_PROGRESS as usize).await;
    let others: Vec<_> = cluster.places[1..].iter().map(|place| place.caller).collect();
    let browsing = class("browsing", "listings", "GET", "/open");
    let others = tokio::spawn(caller::run(plan(others, vec![browsing], 100.0, 6_000)));
    match how {
        How::Signal(signal) => cluster.daemons[LEAVER].signal(signal).unwrap(),
        How::Drain => drain(&cluster.places[LEAVER]).await,
        How::List => {
            let leaver = cluster.places[LEAVER].instance.clone();
            cluster.publish_vms("leaving", |place| place.instance == leaver);
        }
    }
    let well = cluster.daemons[LEAVER].wait(MAX_WAIT).await.unwrap().success();
    Begun {
        downloads: only(downloads.await.unwrap()),
        submissions: only(submissions.await.unwrap()),
        others: others.await.unwrap(),
        well,
    }
}

async fn drain(place: &Place) {
    let client = Path::new(env!("CARGO_BIN_EXE_endivescale"));
    let mut client = Program::start(client, &["drain", &place.operator.to_string()]).unwrap();
    assert!(client.wait(MAX_WAIT).await.unwrap().success());
}

macro_rules! stop_cases {
    ($($name:ident: $how:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let seen = stop($how, "60s").await;
            assert_eq!(seen.downloads.whole, IN_PROGRESS, "{:?}", seen.downloads);
            assert_eq!(seen.submissions.whole, IN_PROGRESS, "{:?}", seen.submissions);
            let others = only(seen.others);
            assert_eq!(others.whole + others.not_run, others.asked, "{others:?}");
            assert!(seen.well);
        }
    )*};
}

stop_cases! {
    holds_stop_signalled: How::Signal(Signal::Term);
    holds_stop_listed: How::List;
    holds_stop_drained: How::Drain;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_stop_is_broken_by_too_little_patience() {
    let seen = stop(How::Signal(Signal::Term), "1s").await;
    assert!(seen.downloads.broken > 0, "{:?}", seen.downloads);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_stop_is_broken_by_a_kill() {
    let seen = stop(How::Signal(Signal::Kill), "60s").await;
    assert!(seen.downloads.broken > 0, "{:?}", seen.downloads);
    assert!(seen.submissions.unknown > 0, "{:?}", seen.submissions);
}

/// A hangup signal must not stop a daemon; without a handler, it would.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hangup_ends_no_daemon() {
    let cluster = TestCluster::start("60s").await;
    let leaver = vec![cluster.places[LEAVER].caller];
    let asked = tokio::spawn(caller::run(plan(leaver, vec![submissions()], 50.0, 2_000)));
    cluster.daemons[LEAVER].signal(Signal::Hup).unwrap();
    let seen = only(asked.await.unwrap());
    assert_eq!(seen.whole, seen.asked, "{seen:?}");
}

/// A stopping daemon must close a keep-alive connection only between two
/// responses. Sends requests on one connection until the daemon closes it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_stop_kept_connections_end_between_answers() {
    let mut cluster = TestCluster::start("60s").await;
    let leaver = cluster.places[LEAVER].caller;
    let client = Client::default();
    let mut asked = 0;
    let ended = async || {
        asked += 1;
        if asked == 20 {
            cluster.daemons[LEAVER].signal(Signal::Term).unwrap();
        }
        let req = Request::get("/").header("host", "listings").header(MARK, "kept");
        let Ok((answer, busy)) = client.send(leaver, req.body(full("")).unwrap()).await else {
            return true;
        };
        let is_last = answer.headers().get("connection").is_some_and(|value| value == "close");
        let is_refused = answer.headers().get(OUTCOME).is_some_and(|value| value == "not-run");
        assert!(answer.status().is_success() || is_refused, "{answer:?}");
        answer.into_body().collect().await.unwrap();
        busy.keep();
        assert!(!is_last || asked >= 20);
        false
    };
    wait_until("end of the listener", MAX_WAIT, ended).await.unwrap();
    assert!(asked >= 20);
    assert!(cluster.daemons[LEAVER].wait(MAX_WAIT).await.unwrap().success());
}
