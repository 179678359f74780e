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
const STOPPING_DAEMON: usize = 0;

/// Number of requests of each class in progress when the daemon stops.
const IN_PROGRESS: u64 = 20;

/// Service time of a submission, in milliseconds; longer than the notice period
/// of a stopping daemon.
const SUBMISSION_MS: f64 = 5_000.0;

/// Ways to stop a daemon.
#[derive(Clone, Copy, Debug)]
enum StopMethod {
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

pub(crate) fn plan(entries: Vec<SocketAddr>, classes: Vec<Class>, rate: f64, for_ms: u64) -> Plan {
    let phases = vec![Phase { rate, for_ms }];
    Plan { seed: 31, entries, phases, classes, hard_retries: 0, cancel_per_mille: 0 }
}

fn downloads() -> Class {
    let downloads = class("downloads", "listings", "GET", "/packs/guidelines");
    Class { answer_bytes: 100_000, answer_rate: Some(20_000), ..downloads }
}

pub(crate) fn submissions() -> Class {
    class("submissions", "submission", "POST", "/expressions/1")
}

pub(crate) fn single_class(mut report: Report) -> ClassReport {
    report.classes.swap_remove_index(0).unwrap().1
}

/// Results of stopping a daemon under load.
struct StopResult {
    /// Results of the downloads that were sent to the daemon before it stopped.
    downloads: ClassReport,
    /// Results of the submissions that were sent to the daemon before it stopped.
    submissions: ClassReport,
    /// Results of requests sent to the other daemons during the stop.
    others: Report,
    /// Whether the daemon exited by itself with status 0.
    exited_cleanly: bool,
}

/// Stops a daemon while downloads and submissions are in progress.
async fn stop(stop_method: StopMethod, patience: &str) -> StopResult {
    let mut cluster = TestCluster::start(patience).await;
    for upstream in &cluster.upstreams[2..] {
        upstream.change(|behaviour| behaviour.service_ms = SUBMISSION_MS);
    }
    let entries = vec![cluster.places[STOPPING_DAEMON].caller];
    let start_load =
        |class| tokio::spawn(caller::run(plan(entries.clone(), vec![class], 200.0, 100)));
    let (downloads, submissions) = (start_load(downloads()), start_load(submissions()));
    cluster.wait_running(2 * IN_PROGRESS as usize).await;
    let others: Vec<_> = cluster.places[1..].iter().map(|place| place.caller).collect();
    let browsing = class("browsing", "listings", "GET", "/open");
    let others = tokio::spawn(caller::run(plan(others, vec![browsing], 100.0, 6_000)));
    match stop_method {
        StopMethod::Signal(signal) => cluster.daemons[STOPPING_DAEMON].signal(signal).unwrap(),
        StopMethod::Drain => drain(&cluster.places[STOPPING_DAEMON]).await,
        StopMethod::List => {
            let instance = cluster.places[STOPPING_DAEMON].instance.clone();
            cluster.publish_vms("leaving", |place| place.instance == instance);
        }
    }
    let exited_cleanly = cluster.daemons[STOPPING_DAEMON].wait(MAX_WAIT).await.unwrap().success();
    StopResult {
        downloads: single_class(downloads.await.unwrap()),
        submissions: single_class(submissions.await.unwrap()),
        others: others.await.unwrap(),
        exited_cleanly,
    }
}

async fn drain(place: &Place) {
    let client = Path::new(env!("CARGO_BIN_EXE_endivescale"));
    let mut client = Program::start(client, &["drain", &place.operator.to_string()]).unwrap();
    assert!(client.wait(MAX_WAIT).await.unwrap().success());
}

macro_rules! stop_cases {
    ($($name:ident: $stop_method:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let result = stop($stop_method, "60s").await;
            assert_eq!(result.downloads.whole, IN_PROGRESS, "{:?}", result.downloads);
            assert_eq!(result.submissions.whole, IN_PROGRESS, "{:?}", result.submissions);
            let others = single_class(result.others);
            assert_eq!(others.whole + others.not_run, others.asked, "{others:?}");
            assert!(result.exited_cleanly);
        }
    )*};
}

stop_cases! {
    holds_stop_signalled: StopMethod::Signal(Signal::Term);
    holds_stop_listed: StopMethod::List;
    holds_stop_drained: StopMethod::Drain;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_stop_is_broken_by_too_little_patience() {
    let result = stop(StopMethod::Signal(Signal::Term), "1s").await;
    assert!(result.downloads.broken > 0, "{:?}", result.downloads);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_stop_is_broken_by_a_kill() {
    let result = stop(StopMethod::Signal(Signal::Kill), "60s").await;
    assert!(result.downloads.broken > 0, "{:?}", result.downloads);
    assert!(result.submissions.unknown > 0, "{:?}", result.submissions);
}

/// A hangup signal must not stop a daemon; without a handler, it would.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hangup_does_not_stop_daemon() {
    let cluster = TestCluster::start("60s").await;
    let entries = vec![cluster.places[STOPPING_DAEMON].caller];
    let load = tokio::spawn(caller::run(plan(entries, vec![submissions()], 50.0, 2_000)));
    cluster.daemons[STOPPING_DAEMON].signal(Signal::Hup).unwrap();
    let result = single_class(load.await.unwrap());
    assert_eq!(result.whole, result.asked, "{result:?}");
}

/// A stopping daemon must close a keep-alive connection only between two
/// responses. Sends requests on one connection until the daemon closes it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_stop_kept_connections_end_between_answers() {
    let mut cluster = TestCluster::start("60s").await;
    let addr = cluster.places[STOPPING_DAEMON].caller;
    let client = Client::default();
    let mut sent = 0;
    let ended = async || {
        sent += 1;
        if sent == 20 {
            cluster.daemons[STOPPING_DAEMON].signal(Signal::Term).unwrap();
        }
        let req = Request::get("/").header("host", "listings").header(MARK, "kept");
        let Ok((rsp, busy)) = client.send(addr, req.body(full("")).unwrap()).await else {
            return true;
        };
        let is_last = rsp.headers().get("connection").is_some_and(|value| value == "close");
        let is_refused = rsp.headers().get(OUTCOME).is_some_and(|value| value == "not-run");
        assert!(rsp.status().is_success() || is_refused, "{rsp:?}");
        rsp.into_body().collect().await.unwrap();
        busy.keep();
        assert!(!is_last || sent >= 20);
        false
    };
    wait_until("end of the listener", MAX_WAIT, ended).await.unwrap();
    assert!(sent >= 20);
    assert!(cluster.daemons[STOPPING_DAEMON].wait(MAX_WAIT).await.unwrap().success());
}
