//! Checks that a submission runs at most once, and that it has not run where a
//! caller received `not-run`. The upstreams' ledgers show the actual runs; see
//! `docs/proofs.md`.

use std::net::SocketAddr;

use endivescale_testutils::headers::DEADLINE_MS;
use endivescale_testutils::headers::MARK;
use endivescale_testutils::headers::OUTCOME;
use endivescale_testutils::headers::TOKEN;
use endivescale_testutils::http::Client;
use endivescale_testutils::http::full;
use endivescale_testutils::mark::MarkStream;
use endivescale_testutils::mark::Side;
use endivescale_testutils::process::Signal;
use endivescale_testutils::process::wait_until;
use endivescale_testutils::upstream::behaviour::CutPoint;
use endivescale_testutils::upstream::ledger::State;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::processes::MAX_WAIT;
use crate::processes::TestCluster;

/// Index of the daemon that issues the token, one of the `listings` service.
const ISSUER: usize = 0;
/// Index of the other `listings` daemon, which receives copies of the request.
const ENTRY: usize = 1;
/// Indices of the daemons in front of the `submission` upstreams.
const OWNERS: [usize; 2] = [2, 3];
const SUBMISSION_MARK: &str = "expression-7";
const BODY_BYTES: usize = 100;
/// Service time of a submission in tests that act while it runs.
const LONG_SERVICE_MS: f64 = 3_000.0;
/// Deadline of the caller in tests that run past the deadline.
const SHORT_DEADLINE_MS: u64 = 1_000;

/// Result of a submission as its caller received it.
#[derive(Clone, Debug, Eq, PartialEq)]
enum SubmitResult {
    /// A complete response to this request.
    Complete,
    /// A refusal or failure: its outcome, and a new token if the response had one.
    Refused(String, Option<String>),
    /// No response, an incomplete one, or an error without an outcome.
    Incomplete,
}

impl SubmitResult {
    fn outcome(&self) -> &str {
        match self {
            Self::Complete => "whole",
            Self::Refused(outcome, _) => outcome,
            Self::Incomplete => "broken",
        }
    }

    fn token(self) -> String {
        match self {
            Self::Refused(_, Some(token)) => token,
            _ => panic!("no token in {self:?}"),
        }
    }
}

/// Sends the submission and returns the result that the caller received.
async fn submit(addr: SocketAddr, token: Option<&str>, deadline_ms: Option<u64>) -> SubmitResult {
    let mut req =
        Request::post("/expressions/7").header("host", "submission").header(MARK, SUBMISSION_MARK);
    if let Some(token) = token {
        req = req.header(TOKEN, token);
    }
    if let Some(deadline_ms) = deadline_ms {
        req = req.header(DEADLINE_MS, deadline_ms);
    }
    let body = MarkStream::new(SUBMISSION_MARK, Side::Request).bytes(0, BODY_BYTES);
    let client = Client::default();
    let Ok((rsp, _busy)) = client.send(addr, req.body(full(body)).unwrap()).await else {
        return SubmitResult::Incomplete;
    };
    let header_text =
        |name| rsp.headers().get(name).map(|value| value.to_str().unwrap().to_owned());
    if let Some(outcome) = header_text(OUTCOME) {
        return SubmitResult::Refused(outcome, header_text(TOKEN));
    }
    let status = rsp.status();
    let Ok(body) = rsp.into_body().collect().await else { return SubmitResult::Incomplete };
    let is_own = MarkStream::new(SUBMISSION_MARK, Side::Answer).matches(0, &body.to_bytes());
    assert!(is_own || status != StatusCode::OK, "the response belongs to another request");
    if status == StatusCode::OK { SubmitResult::Complete } else { SubmitResult::Incomplete }
}

/// A running cluster, the token of the submission, and all results of callers.
struct Scenario {
    cluster: TestCluster,
    token: String,
    results: Vec<SubmitResult>,
}

impl Scenario {
    /// Starts the cluster and gets a token from the issuer.
    async fn start(service_ms: f64) -> Self {
        let cluster = TestCluster::start("60s").await;
        for owner in OWNERS {
            cluster.upstreams[owner].change(|behaviour| {
                behaviour.service_ms = service_ms;
                behaviour.ignore_cancel = true;
                behaviour.ignore_deadline = true;
            });
        }
        let result = submit(cluster.places[ISSUER].caller, None, None).await;
        Self { cluster, token: result.token(), results: Vec::new() }
    }

    /// Submits through a daemon and records the result.
    async fn submit(&mut self, entry: usize) -> SubmitResult {
        let result = self.send(entry, None).await.unwrap();
        self.results.push(result.clone());
        result
    }

    /// Submits in the background, without recording the result.
    fn send(&self, entry: usize, deadline_ms: Option<u64>) -> JoinHandle<SubmitResult> {
        let (addr, token) = (self.cluster.places[entry].caller, self.token.clone());
        tokio::spawn(async move { submit(addr, Some(&token), deadline_ms).await })
    }

    async fn record(&mut self, sent: JoinHandle<SubmitResult>) -> SubmitResult {
        let result = sent.await.unwrap();
        self.results.push(result.clone());
        result
    }

    fn change_owner_upstreams(
        &self,
        change: impl Fn(&mut endivescale_testutils::upstream::behaviour::Behaviour),
    ) {
        for owner in OWNERS {
            self.cluster.upstreams[owner].change(&change);
        }
    }

    /// Returns the index of the daemon whose upstream has run the submission.
    fn owner(&self) -> usize {
        let has_run = |owner: &usize| !self.runs_at(*owner).is_empty();
        OWNERS.into_iter().find(has_run).expect("an upstream has the submission")
    }

    fn runs_at(&self, owner: usize) -> Vec<State> {
        let entries = self.cluster.upstreams[owner].entries();
        let runs = entries.iter().filter(|entry| entry.mark == SUBMISSION_MARK && entry.worked);
        runs.map(|entry| entry.state).collect()
    }

    /// Resends through every daemon, waits until no upstream is working, and checks
    /// the results of callers against the number of runs.
    ///
    /// Returns the number of runs.
    async fn resend_and_verify(&mut self) -> usize {
        for entry in 0..self.cluster.places.len() {
            self.submit(entry).await;
        }
        let ended = async || {
            let entries = self.cluster.entries();
            entries.iter().all(|entry| entry.state != State::Running)
        };
        wait_until("the end of all work", MAX_WAIT, ended).await.unwrap();
        let runs: usize = OWNERS.into_iter().map(|owner| self.runs_at(owner).len()).sum();
        assert!(runs <= 1, "ran {runs} times: {:?}", self.results);
        let reported_not_run = self.results.iter().any(|result| result.outcome() == "not-run");
        assert!(
            !reported_not_run || runs == 0,
            "ran although a caller received not-run: {:?}",
            self.results
        );
        let reported_run = |result: &SubmitResult| matches!(result.outcome(), "ran" | "whole");
        assert!(
            runs == 1 || !self.results.iter().any(reported_run),
            "never ran: {:?}",
            self.results
        );
        runs
    }
}

macro_rules! cases {
    ($($name:ident => $case:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            $case.await;
        }
    )*};
}

async fn resend_while_running() {
    let mut scenario = Scenario::start(LONG_SERVICE_MS).await;
    let first = scenario.send(ISSUER, None);
    scenario.cluster.wait_running(1).await;
    assert_eq!(scenario.submit(ENTRY).await, SubmitResult::Complete);
    assert_eq!(scenario.record(first).await, SubmitResult::Complete);
    assert_eq!(scenario.resend_and_verify().await, 1);
}

async fn resend_after_finish() {
    let mut scenario = Scenario::start(5.0).await;
    assert_eq!(scenario.submit(ENTRY).await, SubmitResult::Complete);
    assert_eq!(scenario.submit(OWNERS[0]).await, SubmitResult::Complete);
    assert_eq!(scenario.resend_and_verify().await, 1);
}

async fn issuer_killed_before() {
    let mut scenario = Scenario::start(5.0).await;
    scenario.cluster.kill(ISSUER).await;
    assert_eq!(scenario.submit(ENTRY).await.outcome(), "unknown");
    scenario.cluster.restart(ISSUER).await;
    assert_eq!(scenario.resend_and_verify().await, 0);
}

async fn issuer_killed_during() {
    let mut scenario = Scenario::start(LONG_SERVICE_MS).await;
    let first = scenario.send(ENTRY, None);
    scenario.cluster.wait_running(1).await;
    scenario.cluster.kill(ISSUER).await;
    assert_eq!(scenario.record(first).await.outcome(), "unknown");
    scenario.cluster.restart(ISSUER).await;
    assert_eq!(scenario.submit(ISSUER).await.outcome(), "unknown");
    assert_eq!(scenario.resend_and_verify().await, 1);
}

async fn issuer_killed_after() {
    let mut scenario = Scenario::start(5.0).await;
    assert_eq!(scenario.submit(ENTRY).await, SubmitResult::Complete);
    scenario.cluster.kill(ISSUER).await;
    scenario.cluster.restart(ISSUER).await;
    assert_eq!(scenario.submit(ENTRY).await.outcome(), "unknown");
    assert_eq!(scenario.resend_and_verify().await, 1);
}

async fn owner_killed_during() {
    let mut scenario = Scenario::start(LONG_SERVICE_MS).await;
    let first = scenario.send(ENTRY, None);
    scenario.cluster.wait_running(1).await;
    let owner = scenario.owner();
    scenario.cluster.kill(owner).await;
    assert_eq!(scenario.record(first).await.outcome(), "unknown");
    scenario.cluster.restart(owner).await;
    assert_eq!(scenario.resend_and_verify().await, 1);
}

/// Freezes daemons until the deadline of a request in progress has passed.
async fn daemons_frozen(daemons: &[usize]) {
    let mut scenario = Scenario::start(5.0).await;
    for daemon in daemons {
        scenario.cluster.daemons[*daemon].signal(Signal::Stop).unwrap();
    }
    let first = scenario.send(ENTRY, Some(SHORT_DEADLINE_MS));
    // The caller gets its response at the deadline, while the daemons are frozen.
    let result = scenario.record(first).await;
    assert_eq!(result.outcome(), "unknown");
    for daemon in daemons {
        scenario.cluster.daemons[*daemon].signal(Signal::Cont).unwrap();
    }
    scenario.resend_and_verify().await;
}

/// Freezes the issuer while the upstream works, until the caller has received a
/// response at its deadline.
async fn issuer_frozen_during() {
    let mut scenario = Scenario::start(LONG_SERVICE_MS).await;
    let first = scenario.send(ENTRY, Some(SHORT_DEADLINE_MS));
    scenario.cluster.wait_running(1).await;
    scenario.cluster.daemons[ISSUER].signal(Signal::Stop).unwrap();
    assert_eq!(scenario.record(first).await.outcome(), "unknown");
    scenario.cluster.daemons[ISSUER].signal(Signal::Cont).unwrap();
    assert_eq!(scenario.submit(ENTRY).await, SubmitResult::Complete);
    assert_eq!(scenario.resend_and_verify().await, 1);
}

/// The upstream responds after the caller has disconnected; a resend gets the
/// response.
async fn late_answer() {
    let mut scenario = Scenario::start(LONG_SERVICE_MS).await;
    let first = scenario.send(ENTRY, None);
    scenario.cluster.wait_running(1).await;
    first.abort();
    assert_eq!(scenario.submit(OWNERS[1]).await, SubmitResult::Complete);
    assert_eq!(scenario.resend_and_verify().await, 1);
}

/// Closes the connection within the head of the request, or after `after_head`
/// bytes of the body, and then resends the request.
async fn request_cut(after_head: usize) {
    let mut scenario = Scenario::start(5.0).await;
    let token = &scenario.token;
    let head = format!(
        "POST /expressions/7 HTTP/1.1\r\nhost: submission\r\n{MARK}: {SUBMISSION_MARK}\r\n\
         {TOKEN}: {token}\r\ncontent-length: {BODY_BYTES}\r\n"
    );
    let mut bytes = head.into_bytes();
    if after_head > 0 {
        bytes.extend_from_slice(b"\r\n");
        bytes.extend(MarkStream::new(SUBMISSION_MARK, Side::Request).bytes(0, after_head));
    }
    let mut stream = TcpStream::connect(scenario.cluster.places[ENTRY].caller).await.unwrap();
    stream.write_all(&bytes).await.unwrap();
    drop(stream);
    assert_eq!(scenario.submit(ISSUER).await, SubmitResult::Complete);
    assert_eq!(scenario.resend_and_verify().await, 1);
}

async fn upstream_cut(cut: CutPoint, runs: usize) {
    let mut scenario = Scenario::start(5.0).await;
    scenario.change_owner_upstreams(|behaviour| behaviour.cut = cut);
    assert_ne!(scenario.submit(ENTRY).await, SubmitResult::Complete);
    scenario.change_owner_upstreams(|behaviour| behaviour.cut = CutPoint::Nowhere);
    assert_eq!(scenario.resend_and_verify().await, runs);
}

/// Copies of a refused request must not run, even if they arrive when there is
/// capacity again.
async fn refused_token_is_void() {
    let mut scenario = Scenario::start(5.0).await;
    scenario.change_owner_upstreams(|behaviour| behaviour.drain = true);
    let result = scenario.submit(ENTRY).await;
    assert_eq!(result.outcome(), "not-run");
    scenario.change_owner_upstreams(|behaviour| behaviour.drain = false);
    assert_eq!(scenario.resend_and_verify().await, 0);
    let (entry, new_token) = (scenario.cluster.places[ENTRY].caller, result.token());
    assert_eq!(submit(entry, Some(&new_token), None).await, SubmitResult::Complete);
}

/// Once the daemons have detected that the connections to the upstreams are
/// closed, they refuse a request before sending any byte of it.
async fn no_upstream() {
    let mut scenario = Scenario::start(5.0).await;
    scenario.cluster.upstreams.truncate(OWNERS[0]);
    let entry = scenario.cluster.places[ENTRY].caller;
    let refused = async || {
        let token = submit(entry, None, None).await.token();
        let result = submit(entry, Some(&token), None).await;
        assert_ne!(result, SubmitResult::Complete);
        result.outcome() == "not-run"
    };
    wait_until("a refusal", MAX_WAIT, refused).await.unwrap();
}

/// If a caller resubmits with a new token after `unknown`, the submission may run
/// twice, and the ledger records both runs.
async fn dropped_token() {
    let mut scenario = Scenario::start(LONG_SERVICE_MS).await;
    let first = scenario.send(ENTRY, None);
    scenario.cluster.wait_running(1).await;
    scenario.cluster.kill(ISSUER).await;
    assert_eq!(first.await.unwrap().outcome(), "unknown");
    let entry = scenario.cluster.places[ENTRY].caller;
    let new_token = submit(entry, None, None).await.token();
    assert_eq!(submit(entry, Some(&new_token), None).await, SubmitResult::Complete);
    let runs: usize = OWNERS.into_iter().map(|owner| scenario.runs_at(owner).len()).sum();
    assert_eq!(runs, 2);
}

cases! {
    holds_once_resend_while_running => resend_while_running();
    holds_once_resend_after_finish => resend_after_finish();
    holds_once_home_killed_before => issuer_killed_before();
    holds_once_home_killed_during => issuer_killed_during();
    holds_once_home_killed_after => issuer_killed_after();
    holds_once_owner_killed_during => owner_killed_during();
    holds_once_home_frozen => daemons_frozen(&[ISSUER]);
    holds_once_home_frozen_during => issuer_frozen_during();
    holds_once_late_answer => late_answer();
    holds_once_request_head_cut => request_cut(0);
    holds_once_request_body_cut => request_cut(BODY_BYTES / 2);
    holds_once_answer_head_cut => upstream_cut(CutPoint::AnswerHead, 1);
    holds_once_answer_body_cut => upstream_cut(CutPoint::AnswerBody, 1);
    holds_once_fails_dropped_token => dropped_token();
    holds_not_run_owners_frozen => daemons_frozen(&OWNERS);
    holds_not_run_cut_before_work => upstream_cut(CutPoint::BeforeWork, 0);
    holds_not_run_refused_token_is_void => refused_token_is_void();
    holds_not_run_no_upstream => no_upstream();
}
