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
const HOME: usize = 0;
/// Index of the other `listings` daemon, which receives copies of the request.
const ENTRY: usize = 1;
/// Indices of the daemons in front of the `submission` upstreams.
const OWNERS: [usize; 2] = [2, 3];
const MARKED: &str = "expression-7";
const BODY_BYTES: usize = 100;
/// Service time of a submission in tests that act while it runs.
const LONG_MS: f64 = 3_000.0;
/// Deadline of the caller in tests that run past the deadline.
const SHORT_DEADLINE_MS: u64 = 1_000;

/// Result of a submission as its caller received it.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Told {
    /// A complete response to this request.
    Whole,
    /// A refusal or failure: its outcome, and a new token if the response had one.
    Refused(String, Option<String>),
    /// No response, an incomplete one, or an error without an outcome.
    Broken,
}

impl Told {
    fn outcome(&self) -> &str {
        match self {
            Self::Whole => "whole",
            Self::Refused(outcome, _) => outcome,
            Self::Broken => "broken",
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
async fn submit(addr: SocketAddr, token: Option<&str>, deadline_ms: Option<u64>) -> Told {
    let mut req = Request::post("/expressions/7").header("host", "submission").header(MARK, MARKED);
    if let Some(token) = token {
        req = req.header(TOKEN, token);
    }
    if let Some(deadline_ms) = deadline_ms {
        req = req.header(DEADLINE_MS, deadline_ms);
    }
    let body = MarkStream::new(MARKED, Side::Request).bytes(0, BODY_BYTES);
    let client = Client::default();
    let Ok((rsp, _busy)) = client.send(addr, req.body(full(body)).unwrap()).await else {
        return Told::Broken;
    };
    let text = |name| rsp.headers().get(name).map(|value| value.to_str().unwrap().to_owned());
    if let Some(outcome) = text(OUTCOME) {
        return Told::Refused(outcome, text(TOKEN));
    }
    let status = rsp.status();
    let Ok(body) = rsp.into_body().collect().await else { return Told::Broken };
    let is_own = MarkStream::new(MARKED, Side::Answer).matches(0, &body.to_bytes());
    assert!(is_own || status != StatusCode::OK, "the response belongs to another request");
    if status == StatusCode::OK { Told::Whole } else { Told::Broken }
}

/// A running cluster, the token of the submission, and all results of callers.
struct Trial {
    cluster: TestCluster,
    token: String,
    told: Vec<Told>,
}

impl Trial {
    /// Starts the cluster and gets a token from the issuer.
    async fn start(service_ms: f64) -> Self {
        let cluster = TestCluster::start("60s").await;
        for owner in OWNERS {
            cluster.upstreams[owner].change(|it| {
                it.service_ms = service_ms;
                it.ignore_cancel = true;
                it.ignore_deadline = true;
            });
        }
        let told = submit(cluster.places[HOME].caller, None, None).await;
        Self { cluster, token: told.token(), told: Vec::new() }
    }

    /// Submits through a daemon and records the result.
    async fn submit(&mut self, entry: usize) -> Told {
        let told = self.send(entry, None).await.unwrap();
        self.told.push(told.clone());
        told
    }

    /// Submits in the background, without recording the result.
    fn send(&self, entry: usize, deadline_ms: Option<u64>) -> JoinHandle<Told> {
        let (addr, token) = (self.cluster.places[entry].caller, self.token.clone());
        tokio::spawn(async move { submit(addr, Some(&token), deadline_ms).await })
    }

    async fn note(&mut self, sent: JoinHandle<Told>) -> Told {
        let told = sent.await.unwrap();
        self.told.push(told.clone());
        told
    }

    fn change_owners(
        &self,
        change: impl Fn(&mut endivescale_testutils::upstream::behaviour::Behaviour),
    ) {
        for owner in OWNERS {
            self.cluster.upstreams[owner].change(&change);
        }
    }

    /// Returns the index of the daemon whose upstream has run the submission.
    fn owner(&self) -> usize {
        let ran_at = |owner: &usize| !self.runs_at(*owner).is_empty();
        OWNERS.into_iter().find(ran_at).expect("an upstream has the submission")
    }

    fn runs_at(&self, owner: usize) -> Vec<State> {
        let entries = self.cluster.upstreams[owner].entries();
        let runs = entries.iter().filter(|entry| entry.mark == MARKED && entry.worked);
        runs.map(|entry| entry.state).collect()
    }

    /// Resends through every daemon, waits until no upstream is working, and checks
    /// the results of callers against the number of runs.
    ///
    /// Returns the number of runs.
    async fn judge(&mut self) -> usize {
        for entry in 0..self.cluster.places.len() {
            self.submit(entry).await;
        }
        let ended = async || {
            let entries = self.cluster.entries();
            entries.iter().all(|entry| entry.state != State::Running)
        };
        wait_until("the end of all work", MAX_WAIT, ended).await.unwrap();
        let runs: usize = OWNERS.into_iter().map(|owner| self.runs_at(owner).len()).sum();
        assert!(runs <= 1, "ran {runs} times: {:?}", self.told);
        let not_run = self.told.iter().any(|told| told.outcome() == "not-run");
        assert!(!not_run || runs == 0, "ran although a caller received not-run: {:?}", self.told);
        let ran = |told: &Told| matches!(told.outcome(), "ran" | "whole");
        assert!(runs == 1 || !self.told.iter().any(ran), "never ran: {:?}", self.told);
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
    let mut trial = Trial::start(LONG_MS).await;
    let first = trial.send(HOME, None);
    trial.cluster.wait_running(1).await;
    assert_eq!(trial.submit(ENTRY).await, Told::Whole);
    assert_eq!(trial.note(first).await, Told::Whole);
    assert_eq!(trial.judge().await, 1);
}

async fn resend_after_finish() {
    let mut trial = Trial::start(5.0).await;
    assert_eq!(trial.submit(ENTRY).await, Told::Whole);
    assert_eq!(trial.submit(OWNERS[0]).await, Told::Whole);
    assert_eq!(trial.judge().await, 1);
}

async fn home_killed_before() {
    let mut trial = Trial::start(5.0).await;
    trial.cluster.kill(HOME).await;
    assert_eq!(trial.submit(ENTRY).await.outcome(), "unknown");
    trial.cluster.restart(HOME).await;
    assert_eq!(trial.judge().await, 0);
}

async fn home_killed_during() {
    let mut trial = Trial::start(LONG_MS).await;
    let first = trial.send(ENTRY, None);
    trial.cluster.wait_running(1).await;
    trial.cluster.kill(HOME).await;
    assert_eq!(trial.note(first).await.outcome(), "unknown");
    trial.cluster.restart(HOME).await;
    assert_eq!(trial.submit(HOME).await.outcome(), "unknown");
    assert_eq!(trial.judge().await, 1);
}

async fn home_killed_after() {
    let mut trial = Trial::start(5.0).await;
    assert_eq!(trial.submit(ENTRY).await, Told::Whole);
    trial.cluster.kill(HOME).await;
    trial.cluster.restart(HOME).await;
    assert_eq!(trial.submit(ENTRY).await.outcome(), "unknown");
    assert_eq!(trial.judge().await, 1);
}

async fn owner_killed_during() {
    let mut trial = Trial::start(LONG_MS).await;
    let first = trial.send(ENTRY, None);
    trial.cluster.wait_running(1).await;
    let owner = trial.owner();
    trial.cluster.kill(owner).await;
    assert_eq!(trial.note(first).await.outcome(), "unknown");
    trial.cluster.restart(owner).await;
    assert_eq!(trial.judge().await, 1);
}

/// Freezes daemons until the deadline of a request in progress has passed.
async fn frozen(daemons: &[usize]) {
    let mut trial = Trial::start(5.0).await;
    for daemon in daemons {
        trial.cluster.daemons[*daemon].signal(Signal::Stop).unwrap();
    }
    let first = trial.send(ENTRY, Some(SHORT_DEADLINE_MS));
    // The caller gets its response at the deadline, while the daemons are frozen.
    let told = trial.note(first).await;
    assert_eq!(told.outcome(), "unknown");
    for daemon in daemons {
        trial.cluster.daemons[*daemon].signal(Signal::Cont).unwrap();
    }
    trial.judge().await;
}

/// Freezes the issuer while the upstream works, until the caller has received a
/// response at its deadline.
async fn home_frozen_during() {
    let mut trial = Trial::start(LONG_MS).await;
    let first = trial.send(ENTRY, Some(SHORT_DEADLINE_MS));
    trial.cluster.wait_running(1).await;
    trial.cluster.daemons[HOME].signal(Signal::Stop).unwrap();
    assert_eq!(trial.note(first).await.outcome(), "unknown");
    trial.cluster.daemons[HOME].signal(Signal::Cont).unwrap();
    assert_eq!(trial.submit(ENTRY).await, Told::Whole);
    assert_eq!(trial.judge().await, 1);
}

/// The upstream responds after the caller has disconnected; a resend gets the
/// response.
async fn late_answer() {
    let mut trial = Trial::start(LONG_MS).await;
    let first = trial.send(ENTRY, None);
    trial.cluster.wait_running(1).await;
    first.abort();
    assert_eq!(trial.submit(OWNERS[1]).await, Told::Whole);
    assert_eq!(trial.judge().await, 1);
}

/// Closes the connection within the head of the request, or after `after_head`
/// bytes of the body, and then resends the request.
async fn request_cut(after_head: usize) {
    let mut trial = Trial::start(5.0).await;
    let token = &trial.token;
    let head = format!(
        "POST /expressions/7 HTTP/1.1\r\nhost: submission\r\n{MARK}: {MARKED}\r\n\
         {TOKEN}: {token}\r\ncontent-length: {BODY_BYTES}\r\n"
    );
    let mut bytes = head.into_bytes();
    if after_head > 0 {
        bytes.extend_from_slice(b"\r\n");
        bytes.extend(MarkStream::new(MARKED, Side::Request).bytes(0, after_head));
    }
    let mut stream = TcpStream::connect(trial.cluster.places[ENTRY].caller).await.unwrap();
    stream.write_all(&bytes).await.unwrap();
    drop(stream);
    assert_eq!(trial.submit(HOME).await, Told::Whole);
    assert_eq!(trial.judge().await, 1);
}

async fn upstream_cut(cut: CutPoint, runs: usize) {
    let mut trial = Trial::start(5.0).await;
    trial.change_owners(|it| it.cut = cut);
    assert_ne!(trial.submit(ENTRY).await, Told::Whole);
    trial.change_owners(|it| it.cut = CutPoint::Nowhere);
    assert_eq!(trial.judge().await, runs);
}

/// Copies of a refused request must not run, even if they arrive when there is
/// capacity again.
async fn refused_token_is_void() {
    let mut trial = Trial::start(5.0).await;
    trial.change_owners(|it| it.drain = true);
    let told = trial.submit(ENTRY).await;
    assert_eq!(told.outcome(), "not-run");
    trial.change_owners(|it| it.drain = false);
    assert_eq!(trial.judge().await, 0);
    let (entry, fresh) = (trial.cluster.places[ENTRY].caller, told.token());
    assert_eq!(submit(entry, Some(&fresh), None).await, Told::Whole);
}

/// Once the daemons have detected that the connections to the upstreams are
/// closed, they refuse a request before sending any byte of it.
async fn no_upstream() {
    let mut trial = Trial::start(5.0).await;
    trial.cluster.upstreams.truncate(OWNERS[0]);
    let entry = trial.cluster.places[ENTRY].caller;
    let refused = async || {
        let token = submit(entry, None, None).await.token();
        let told = submit(entry, Some(&token), None).await;
        assert_ne!(told, Told::Whole);
        told.outcome() == "not-run"
    };
    wait_until("a refusal", MAX_WAIT, refused).await.unwrap();
}

/// If a caller resubmits with a new token after `unknown`, the submission may run
/// twice, and the ledger records both runs.
async fn dropped_token() {
    let mut trial = Trial::start(LONG_MS).await;
    let first = trial.send(ENTRY, None);
    trial.cluster.wait_running(1).await;
    trial.cluster.kill(HOME).await;
    assert_eq!(first.await.unwrap().outcome(), "unknown");
    let entry = trial.cluster.places[ENTRY].caller;
    let fresh = submit(entry, None, None).await.token();
    assert_eq!(submit(entry, Some(&fresh), None).await, Told::Whole);
    let runs: usize = OWNERS.into_iter().map(|owner| trial.runs_at(owner).len()).sum();
    assert_eq!(runs, 2);
}

cases! {
    holds_once_resend_while_running => resend_while_running();
    holds_once_resend_after_finish => resend_after_finish();
    holds_once_home_killed_before => home_killed_before();
    holds_once_home_killed_during => home_killed_during();
    holds_once_home_killed_after => home_killed_after();
    holds_once_owner_killed_during => owner_killed_during();
    holds_once_home_frozen => frozen(&[HOME]);
    holds_once_home_frozen_during => home_frozen_during();
    holds_once_late_answer => late_answer();
    holds_once_request_head_cut => request_cut(0);
    holds_once_request_body_cut => request_cut(BODY_BYTES / 2);
    holds_once_answer_head_cut => upstream_cut(CutPoint::AnswerHead, 1);
    holds_once_answer_body_cut => upstream_cut(CutPoint::AnswerBody, 1);
    holds_once_fails_dropped_token => dropped_token();
    holds_not_run_owners_frozen => frozen(&OWNERS);
    holds_not_run_cut_before_work => upstream_cut(CutPoint::BeforeWork, 0);
    holds_not_run_refused_token_is_void => refused_token_is_void();
    holds_not_run_no_upstream => no_upstream();
}
