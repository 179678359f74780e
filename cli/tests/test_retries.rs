//! Checks the bound on retries over a chain of calls through real daemons,
//! counted at the upstreams; see `docs/proofs.md`.

use endivescale_testutils::headers::MARK;
use endivescale_testutils::http::Client;
use endivescale_testutils::http::full;
use endivescale_testutils::upstream::behaviour::CutPoint;
use endivescale_testutils::upstream::behaviour::OwnCall;
use http::Request;
use indexmap::IndexMap;

use crate::processes::SERVICES;
use crate::processes::TestCluster;

/// Calls between the root and the deepest service.
const DEPTH: usize = 21;
/// Retries that the rule of the root allows.
const RETRIES: usize = 3;
/// Retries that an upstream makes by itself for each failed call.
const HARD_RETRIES: u32 = 10;

fn service(depth: usize) -> String {
    SERVICES[depth % SERVICES.len()].to_owned()
}

fn path(depth: usize) -> String {
    format!("/chain/{depth:02}")
}

/// Returns the calls of the chain: at each depth, one to the next service of the
/// chain and one to a leaf.
fn calls() -> Vec<OwnCall> {
    let call = |depth: usize, path: String| OwnCall {
        on: self::path(depth),
        service: service(depth + 1),
        method: "GET".to_owned(),
        path,
        hard_retries: HARD_RETRIES,
        required: true,
    };
    let calls_at = |depth| [call(depth, path(depth + 1)), call(depth, format!("/leaf/{depth:02}"))];
    (0..DEPTH).flat_map(calls_at).collect()
}

/// Sends one request through the chain and returns the number of executions by
/// path.
async fn executions(cut: CutPoint, cut_times: Option<u64>) -> IndexMap<String, usize> {
    let cluster = TestCluster::start("10s").await;
    for upstream in &cluster.upstreams {
        upstream.change(|behaviour| {
            behaviour.calls = calls();
            (behaviour.cut, behaviour.cut_times) = (cut, cut_times);
        });
    }
    let req = Request::get(path(0)).header("host", service(0)).header(MARK, "chain");
    let client = Client::default();
    let sent = client.send(cluster.places[0].caller, req.body(full("")).unwrap()).await;
    assert!(sent.is_ok());
    let mut executions = IndexMap::new();
    for entry in cluster.entries() {
        *executions.entry(entry.path).or_default() += 1;
    }
    executions
}

macro_rules! cases {
    ($($name:ident: $cut:expr, $times:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let executions = executions($cut, $times).await;
            println!("{executions:?}");
            assert!(executions.contains_key(&path(DEPTH)), "{executions:?}");
            let max_executions = executions.values().copied().max().unwrap_or(0);
            assert!(max_executions > 1, "nothing was retried: {executions:?}");
            assert!(max_executions <= 1 + RETRIES, "{executions:?}");
        }
    )*};
}

cases! {
    holds_retries_every_answer_lost: CutPoint::AnswerHead, None;
    holds_retries_some_answers_lost: CutPoint::AnswerHead, Some(1);
    holds_retries_answers_cut_short: CutPoint::AnswerBody, Some(1);
}
