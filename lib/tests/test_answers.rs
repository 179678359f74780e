//! Whole answers, one's own only; see `docs/design/answers.md`.

use std::net::SocketAddr;
use std::time::Duration;

use endivescale_testutils::caller;
use endivescale_testutils::caller::plan::Class;
use endivescale_testutils::caller::plan::Phase;
use endivescale_testutils::caller::plan::Plan;
use endivescale_testutils::caller::report::ClassReport;
use endivescale_testutils::caller::report::Report;
use endivescale_testutils::headers::ANSWER_BYTES;
use endivescale_testutils::headers::MARK;
use endivescale_testutils::headers::OUTCOME;
use endivescale_testutils::headers::REASON;
use endivescale_testutils::headers::TOKEN;
use endivescale_testutils::http::Client;
use endivescale_testutils::link::Link;
use endivescale_testutils::link::LinkMode;
use endivescale_testutils::mark::MarkStream;
use endivescale_testutils::mark::Side;
use endivescale_testutils::process::wait_until;
use endivescale_testutils::program::ANY;
use endivescale_testutils::upstream::Upstream;
use endivescale_testutils::upstream::behaviour::Behaviour;
use endivescale_testutils::upstream::behaviour::CutPoint;
use endivescale_testutils::upstream::ledger::State;
use http::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::broken_relay;
use crate::broken_relay::Fault;
use crate::cluster::CAP;
use crate::cluster::Cluster;
use crate::cluster::ask;

const SERVICES: [&str; 3] = ["listings", "submission", "matching"];

fn class(name: &str, service: &str, method: &str, path: &str, answer_bytes: u64) -> Class {
    Class {
        name: name.to_owned(),
        service: service.to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        weight: 1,
        deadline_ms: 30_000,
        request_bytes: 0,
        answer_bytes,
        answer_rate: None,
    }
}

/// Calls of a run; more rounds follow until [`MIN_WHOLE`] are answered whole.
const MIN_ASKED: u64 = 3_000;

/// Whole answers that a run must see to say something.
const MIN_WHOLE: u64 = 1_000;

/// Rounds after which a run has failed to get its whole answers.
const MAX_ROUNDS: u64 = 60;

/// A round of short, long and paced answers, some broken off.
fn mixed_plan(seed: u64, entries: Vec<SocketAddr>) -> Plan {
    let submissions = class("submissions", "submission", "POST", "/expressions/1", 3_000);
    let links = class("links", "matching", "GET", "/links", 15_000);
    // Longer than what an owner holds whole, so that it is passed on as it comes.
    let tables = class("tables", "matching", "GET", "/tables", 150_000);
    Plan {
        seed,
        entries,
        phases: vec![Phase { rate: 500.0, for_ms: 1_000 }],
        classes: vec![
            class("short", "listings", "GET", "/short", 100),
            class("long", "listings", "GET", "/long", 60_000),
            Class { request_bytes: 2_000, ..submissions },
            Class { answer_rate: Some(150_000), ..links },
            Class { answer_rate: Some(1_500_000), ..tables },
        ],
        hard_retries: 0,
        cancel_per_mille: 300,
    }
}

/// Numbers of the report without the lists that would drown them.
fn summary(mut report: Report) -> Report {
    for seen in report.classes.values_mut() {
        seen.told_not_run.clear();
        seen.timeline.clear();
    }
    report
}

fn total(report: &Report, count: impl Fn(&ClassReport) -> u64) -> u64 {
    report.classes.values().map(count).sum()
}

async fn mixed(seed: u64, cut: CutPoint) {
    let cluster = Cluster::start(&SERVICES, 2, 64).await;
    for instance in &cluster.instances {
        instance.upstream.change(|it| (it.cut, it.cut_times) = (cut, Some(100)));
    }
    let (mut asked, mut whole) = (0, 0);
    for round in 0..MAX_ROUNDS {
        let plan = mixed_plan(seed * MAX_ROUNDS + round, cluster.entries());
        let report = summary(caller::run(plan).await);
        assert_eq!(total(&report, |seen| seen.wrong), 0, "{report:?}");
        if cut == CutPoint::Nowhere {
            assert_eq!(total(&report, |seen| seen.broken), 0, "{report:?}");
        }
        asked += total(&report, |seen| seen.asked);
        whole += total(&report, |seen| seen.whole);
        if asked >= MIN_ASKED && whole >= MIN_WHOLE {
            break;
        }
    }
    assert!(asked >= MIN_ASKED && whole >= MIN_WHOLE, "{whole} of {asked}");
    let entries = cluster.ended_entries().await;
    assert!(entries.iter().all(|entry| entry.body_matches || entry.state != State::Whole));
}

macro_rules! mixed_cases {
    ($($name:ident: $seed:expr, $cut:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            mixed($seed, $cut).await;
        }
    )*};
}

mixed_cases! {
    holds_answers_mixed_with_cancellations: 11, CutPoint::Nowhere;
    holds_answers_mixed_after_cut_bodies: 12, CutPoint::AnswerBody;
    holds_answers_mixed_after_cut_heads: 13, CutPoint::AnswerHead;
    holds_answers_mixed_after_cut_requests: 14, CutPoint::BeforeWork;
}

/// Cuts all connections between the daemons over and over while answers are
/// on their way.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_answers_mixed_with_cuts_between_daemons() {
    let mut cluster = Cluster::start(&SERVICES, 2, 64).await;
    let mut links = Vec::new();
    for instance in &mut cluster.instances {
        let link = Link::start(instance.place.peer).await.unwrap();
        instance.place.peer = link.addr();
        links.push(link);
    }
    cluster.list("live", |_| false);
    let (mut broken, mut whole) = (0, 0);
    for round in 0..MAX_ROUNDS {
        let calls = tokio::spawn(caller::run(mixed_plan(900 + round, cluster.entries())));
        while !calls.is_finished() {
            for link in &links {
                link.set(LinkMode::Cut);
                link.set(LinkMode::Pass);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        let report = summary(calls.await.unwrap());
        assert_eq!(total(&report, |seen| seen.wrong), 0, "{report:?}");
        broken += total(&report, |seen| seen.broken);
        whole += total(&report, |seen| seen.whole);
        if broken > 0 && whole >= MIN_WHOLE {
            break;
        }
    }
    assert!(broken > 0 && whole >= MIN_WHOLE, "{broken} broken, {whole} whole");
}

/// What the callers of a relay with a fault see of the same mix.
async fn wrong_through(fault: Fault, cut: CutPoint) -> u64 {
    let behaviour = Behaviour { cut, ..Behaviour::default() };
    let upstream = Upstream::start(ANY, ANY, 64, behaviour).await.unwrap();
    let relay = broken_relay::start(upstream.addr(), fault).await;
    let mut plan = mixed_plan(11, vec![relay]);
    plan.classes.retain(|class| class.method == "GET");
    total(&caller::run(plan).await, |seen| seen.wrong)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_answers_is_broken_by_reuse_of_an_unread_answer() {
    assert!(wrong_through(Fault::UnreadAnswer, CutPoint::Nowhere).await > 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_answers_is_broken_by_a_cut_taken_for_an_end() {
    assert!(wrong_through(Fault::CutAsEnd, CutPoint::AnswerBody).await > 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_answers_cut_under_a_token_is_never_given_as_whole() {
    let cluster = Cluster::start(&["submission"], 2, 8).await;
    for upstream in cluster.upstreams("submission") {
        upstream.change(|it| it.cut = CutPoint::AnswerBody);
    }
    let client = Client::default();
    let entries = cluster.entries();
    let post = || {
        let req = Request::post("/expressions/1").header("host", "submission");
        req.header(MARK, "cut").header(ANSWER_BYTES, 5_000)
    };
    let first = ask(&client, entries[0], post()).await.unwrap();
    let token = first.headers[TOKEN].clone();
    for entry in [entries[0], entries[1], entries[0]] {
        let read = ask(&client, entry, post().header(TOKEN, &token)).await.unwrap();
        assert!(!read.status.is_success(), "{read:?}");
        assert_eq!(read.headers[OUTCOME], "ran", "{read:?}");
    }
    assert_eq!(cluster.ended_entries().await.len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_answers_pipelined_come_in_order() {
    let cluster = Cluster::start(&["listings"], 2, 8).await;
    let mut stream = TcpStream::connect(cluster.entries()[0]).await.unwrap();
    let marks: Vec<String> = (0..100).map(|number| format!("pipelined-{number}")).collect();
    let requests: String = marks
        .iter()
        .map(|mark| format!("GET / HTTP/1.1\r\nhost: listings\r\n{MARK}: {mark}\r\n\r\n"))
        .collect();
    stream.write_all(requests.as_bytes()).await.unwrap();
    for mark in &marks {
        let (head, body) = read_answer(&mut stream).await;
        assert!(head.contains(&format!("{MARK}: {mark}\r\n")), "{head}");
        assert!(MarkStream::new(mark, Side::Answer).matches(0, &body));
    }
}

/// Reads one answer with a content length.
async fn read_answer(stream: &mut TcpStream) -> (String, Vec<u8>) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    let head = String::from_utf8(head).unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")).unwrap();
    let mut body = vec![0; length.parse().unwrap()];
    stream.read_exact(&mut body).await.unwrap();
    (head, body)
}

/// Answers every request with the same bytes, then closes if told so.
async fn scripted_upstream(addr: SocketAddr, answer: &'static str, close: bool) {
    let mut listener = None;
    wait_until("address of the stopped upstream", CAP, async || {
        listener = TcpListener::bind(addr).await.ok();
        listener.is_some()
    })
    .await
    .unwrap();
    let listener = listener.unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                while stream.read(&mut buf).await.is_ok_and(|len| len > 0) {
                    let sent = stream.write_all(answer.as_bytes()).await;
                    if sent.is_err() || close {
                        return;
                    }
                }
            });
        }
    });
}

/// Puts a scripted upstream in the place of the only stand-in.
async fn ask_scripted(
    answer: &'static str,
    close: bool,
    times: usize,
) -> Vec<crate::cluster::Read> {
    let mut cluster = Cluster::start(&["listings"], 1, 8).await;
    let instance = cluster.instances.remove(0);
    drop(instance.upstream);
    scripted_upstream(instance.place.upstream, answer, close).await;
    let client = Client::default();
    let mut reads = Vec::new();
    for _ in 0..times {
        let req = Request::get("/").header("host", "listings");
        reads.extend(ask(&client, instance.place.caller, req).await);
    }
    reads
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_answers_without_a_length_are_refused_since_a_cut_would_not_show() {
    let answer = "HTTP/1.1 200 OK\r\n\r\nhalf of an answ";
    let reads = ask_scripted(answer, true, 3).await;
    for read in &reads {
        assert_eq!(read.headers[REASON], "answer-undelimited", "{read:?}");
        assert_eq!(read.headers[OUTCOME], "ran", "{read:?}");
    }
    assert_eq!(reads.len(), 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_answers_shorter_than_their_length_are_broken() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf";
    for read in ask_scripted(answer, true, 3).await {
        assert!(!read.whole || !read.status.is_success(), "{read:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_answers_with_bytes_after_their_end_spoil_no_other() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmineHTTP/1.1 200 OK\r\n\
                  content-length: 6\r\n\r\nothers";
    for read in ask_scripted(answer, false, 20).await {
        assert!(!read.status.is_success() || read.body == b"mine", "{read:?}");
    }
}
