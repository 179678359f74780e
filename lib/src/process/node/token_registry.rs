//! Runs each request under an idempotency token of this daemon at most once.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::connection::body;
use crate::connection::body::RelayBody;
use crate::process::Incarnation;
use crate::process::status::TokenStatus;
use crate::request::Outcome;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::idempotency::Begin;
use crate::request::idempotency::Fingerprint;
use crate::request::idempotency::Finished;
use crate::request::idempotency::Issuer;
use crate::request::idempotency::IssuerConfig;
use crate::request::idempotency::Secret;
use crate::request::idempotency::Sequence;
use crate::request::idempotency::Token;
use crate::request::idempotency::TokenRefusal;

/// Largest body of an answer that is kept for resends, in bytes.
const KEPT_ANSWER_BYTES: usize = 64 * 1024;
/// Memory counted for a kept answer in addition to its body, in bytes.
const KEPT_ANSWER_OVERHEAD_BYTES: usize = 1024;

/// A complete answer, kept so that every resend receives the same one.
#[derive(Debug)]
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Whole body of the answer.
    pub body: Bytes,
}

impl Answer {
    /// Builds a response with a copy of the answer.
    pub fn to_response(&self) -> Response<RelayBody> {
        let mut rsp = Response::new(body::full(self.body.clone()));
        *rsp.status_mut() = self.status;
        *rsp.headers_mut() = self.headers.clone();
        rsp
    }

    fn memory_bytes(&self) -> usize {
        self.body.len() + KEPT_ANSWER_OVERHEAD_BYTES
    }
}

/// Result of a run under a token, which all waiting callers receive.
#[derive(Clone, Debug)]
pub enum RunEnd {
    /// The upstream's answer was received completely.
    Answered(Arc<Answer>),
    /// There is no complete answer.
    Refused(Refusal),
}

impl RunEnd {
    /// Builds the response for one caller.
    pub fn into_result(self) -> Result<Response<RelayBody>, Refusal> {
        match self {
            Self::Answered(answer) => Ok(answer.to_response()),
            Self::Refused(refusal) => Err(refusal),
        }
    }
}

/// Receives the result of a run; `None` until it is known.
pub type EndReceiver = watch::Receiver<Option<RunEnd>>;

/// What to do with a request under a token.
#[derive(Debug)]
pub enum RunStart {
    /// The caller of [`TokenRegistry::begin`] must run the request.
    Run(Run, EndReceiver),
    /// The request is already running; the caller waits for its result.
    Attach(EndReceiver),
    /// The result is known.
    Ended(RunEnd),
}

/// Permission to run one request, whose result is reported by [`Self::finish`].
///
/// If this is dropped without a result, the outcome of the run is unknown.
#[derive(Debug)]
pub struct Run {
    table: Arc<Mutex<Table>>,
    sequence: Option<Sequence>,
    tx: watch::Sender<Option<RunEnd>>,
}

#[derive(Debug)]
struct Table {
    issuer: Issuer<Arc<Answer>>,
    runs: IndexMap<Sequence, EndReceiver>,
}

/// The issuer of this daemon's idempotency tokens, with the runs in progress
/// under them.
#[derive(Debug)]
pub struct TokenRegistry {
    table: Arc<Mutex<Table>>,
}

impl TokenRegistry {
    /// Creates the issuer for one run of the daemon, with a random secret.
    pub fn new(addr: SocketAddr, incarnation: Incarnation, cfg: &IssuerConfig) -> Self {
        let issuer = Issuer::new(addr, incarnation, Secret(rand::random()), cfg);
        let table = Table { issuer, runs: IndexMap::new() };
        Self { table: Arc::new(Mutex::new(table)) }
    }

    /// Issues a new token.
    pub fn issue(&self) -> Token {
        self.table.lock().issuer.issue()
    }

    /// Decides whether a request with a token of this issuer runs, waits for a
    /// run in progress, or gets a known result.
    pub fn begin(&self, token: &Token, fingerprint: Fingerprint) -> RunStart {
        let table = &mut *self.table.lock();
        match table.issuer.begin(token, fingerprint) {
            Begin::Run(sequence) => {
                let (tx, rx) = watch::channel(None);
                table.runs.insert(sequence, rx.clone());
                let run = Run { table: Arc::clone(&self.table), sequence: Some(sequence), tx };
                RunStart::Run(run, rx)
            }
            Begin::Attach(sequence) => match table.runs.get(&sequence) {
                Some(rx) => RunStart::Attach(rx.clone()),
                None => RunStart::Ended(refuse(TokenRefusal::Unknown, &mut table.issuer)),
            },
            Begin::Kept(answer) => RunStart::Ended(RunEnd::Answered(Arc::clone(answer))),
            Begin::OtherIssuer(_) => {
                RunStart::Ended(RunEnd::Refused(Refusal::unknown(Reason::TokenIssuerGone)))
            }
            Begin::Refused(refusal) => RunStart::Ended(refuse(refusal, &mut table.issuer)),
        }
    }

    /// Returns the number of used tokens and kept answers, and their memory use.
    pub fn usage(&self) -> TokenStatus {
        let issuer = &self.table.lock().issuer;
        TokenStatus {
            used: issuer.running() + issuer.kept(),
            kept_answers: issuer.kept(),
            bytes: issuer.state_bytes() + issuer.answer_bytes(),
        }
    }
}

impl Run {
    /// Reports the result of the run to the issuer and to all waiting callers.
    pub fn finish(mut self, end: RunEnd) {
        self.report(end);
    }

    fn report(&mut self, end: RunEnd) {
        let Some(sequence) = self.sequence.take() else { return };
        let mut table = self.table.lock();
        let end = table.finish(sequence, end);
        drop(table);
        self.tx.send_replace(Some(end));
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.report(RunEnd::Refused(Refusal::unknown(Reason::OutcomeUnknown)));
    }
}

impl Table {
    fn finish(&mut self, sequence: Sequence, end: RunEnd) -> RunEnd {
        self.runs.swap_remove(&sequence);
        let finished = match &end {
            RunEnd::Answered(answer) => {
                let kept = answer.body.len() <= KEPT_ANSWER_BYTES;
                Finished::Ran { answer: kept.then(|| (Arc::clone(answer), answer.memory_bytes())) }
            }
            RunEnd::Refused(refusal) => match refusal.outcome {
                Outcome::NotRun => Finished::NotRun,
                Outcome::Unknown => Finished::Unknown,
                Outcome::Ran => Finished::Ran { answer: None },
            },
        };
        self.issuer.finish(sequence, finished);
        match end {
            RunEnd::Refused(refusal) => RunEnd::Refused(with_new_token(refusal, &mut self.issuer)),
            RunEnd::Answered(_) => end,
        }
    }
}

/// Adds a new token to the refusal of a request that did not run, since the old
/// token cannot be used again.
fn with_new_token(refusal: Refusal, issuer: &mut Issuer<Arc<Answer>>) -> Refusal {
    match refusal.outcome {
        Outcome::NotRun => refusal.with_token(issuer.issue().to_string()),
        Outcome::Unknown | Outcome::Ran => refusal,
    }
}

fn refuse(refusal: TokenRefusal, issuer: &mut Issuer<Arc<Answer>>) -> RunEnd {
    let answer = Refusal::new(refusal.outcome(), refusal.reason());
    RunEnd::Refused(with_new_token(answer, issuer))
}
