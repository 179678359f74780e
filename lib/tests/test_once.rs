//! Two requests that differ only in their bodies are two requests.

use std::net::SocketAddr;

use endivescale::request::OUTCOME;
use endivescale::request::REASON;
use endivescale::request::TOKEN;
use endivescale_testutils::headers::CONTEXT;
use endivescale_testutils::headers::MARK;
use endivescale_testutils::http::Client;
use endivescale_testutils::http::full;
use endivescale_testutils::process::wait_until;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::request::Builder;

use crate::cluster::CAP;
use crate::cluster::Cluster;
use crate::cluster::ask;

/// Time for which the calling request stays in progress, in milliseconds.
const PARENT_MS: f64 = 3_000.0;
/// Longer than the bodies that a daemon holds, in bytes.
const LONG_BODY_BYTES: usize = 100_000;

async fn post(addr: SocketAddr, req: Builder, body: &str) -> (StatusCode, HeaderMap) {
    let client = Client::default();
    let (rsp, _busy) = client.send(addr, req.body(full(body.to_owned())).unwrap()).await.unwrap();
    (rsp.status(), rsp.headers().clone())
}

fn submission(mark: &str) -> Builder {
    Request::post("/expressions/7").header("host", "submission").header(MARK, mark)
}

fn told(headers: &HeaderMap) -> [&str; 2] {
    [OUTCOME, REASON].map(|name| headers.get(name).map_or("", |value| value.to_str().unwrap()))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_once_token_is_bound_to_the_body() {
    let cluster = Cluster::start(&["submission", "listings"], 1, 8).await;
    let entry = cluster.entries()[1];
    let (_, headers) = post(entry, submission("one"), "ten litres").await;
    let token = &headers[TOKEN];
    let (status, _) = post(entry, submission("one").header(TOKEN, token), "ten litres").await;
    assert_eq!(status, StatusCode::OK);
    let (_, headers) = post(entry, submission("one").header(TOKEN, token), "two litres").await;
    assert_eq!(told(&headers), ["unknown", "token-mismatch"]);
    assert_eq!(cluster.ended_entries().await.len(), 1);
}

/// Calls that an upstream makes on behalf of one request, as the context that
/// it was given and the answers that it gets.
async fn calls(of: &[(Option<&str>, &str)]) -> (Vec<String>, usize) {
    let cluster = Cluster::start(&["submission", "listings"], 1, 8).await;
    let caller = &cluster.instances[1];
    caller.upstream.change(|it| it.service_ms = PARENT_MS);
    let parent = Request::get("/").header("host", "listings").header(MARK, "parent");
    let addr = caller.place.caller;
    let parent = tokio::spawn(async move { ask(&Client::default(), addr, parent).await });
    wait_until("the calling request", CAP, async || !cluster.entries_so_far().is_empty())
        .await
        .unwrap();
    let context = cluster.entries_so_far()[0].context.clone().unwrap();
    let mut answers = Vec::new();
    for (key, body) in of {
        let mut req = submission("child").header(CONTEXT, &context);
        if let Some(key) = key {
            req = req.header("idempotency-key", *key);
        }
        let (status, headers) = post(caller.place.outbound, req, body).await;
        let [outcome, reason] = told(&headers);
        answers.push(format!("{} {outcome} {reason}", status.as_u16()).trim().to_owned());
    }
    parent.await.unwrap().unwrap();
    let entries = cluster.ended_entries().await;
    (answers, entries.iter().filter(|entry| entry.mark == "child").count())
}

/// A call that an upstream repeats when its own request has ended may have run
/// while it was in progress.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_not_run_call_after_its_request_has_ended() {
    let cluster = Cluster::start(&["submission", "listings"], 1, 8).await;
    let caller = &cluster.instances[1];
    caller.upstream.change(|it| it.service_ms = PARENT_MS);
    let parent = Request::get("/").header("host", "listings").header(MARK, "parent");
    let addr = caller.place.caller;
    let parent = tokio::spawn(async move { ask(&Client::default(), addr, parent).await });
    wait_until("the calling request", CAP, async || !cluster.entries_so_far().is_empty())
        .await
        .unwrap();
    let context = cluster.entries_so_far()[0].context.clone().unwrap();
    let call = || submission("child").header(CONTEXT, &context);
    let (status, _) = post(caller.place.outbound, call(), "ten litres").await;
    assert_eq!(status, StatusCode::OK);
    parent.await.unwrap().unwrap();
    let (_, headers) = post(caller.place.outbound, call(), "ten litres").await;
    assert_eq!(told(&headers), ["unknown", "parent-gone"]);
}

macro_rules! cases {
    ($($name:ident: $calls:expr => $answers:expr, $runs:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let (answers, runs) = calls(&$calls).await;
            assert_eq!(answers, $answers);
            assert_eq!(runs, $runs);
        }
    )*};
}

cases! {
    holds_once_repeated_call_of_an_upstream:
        [(None, "ten litres"), (None, "ten litres")] => ["200", "200"], 1;
    holds_once_calls_that_differ_in_their_body:
        [(None, "ten litres"), (None, "two litres")] => ["200", "200"], 2;
    holds_once_calls_that_differ_in_their_key:
        [(Some("1"), "ten litres"), (Some("2"), "ten litres")] => ["200", "200"], 2;
    holds_once_named_call_with_another_body:
        [(Some("1"), "ten litres"), (Some("1"), "two litres")]
            => ["200", "422 unknown token-mismatch"], 1;
    holds_once_long_calls_without_a_name:
        [(None, &"a".repeat(LONG_BODY_BYTES)), (None, &"b".repeat(LONG_BODY_BYTES))]
            => ["200", "422 unknown token-mismatch"], 1;
}
