//! The answer to a request that was refused or has failed.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use snafu::Snafu;

use super::OUTCOME;
use super::Outcome;
use super::REASON;
use super::RETRIES_LEFT;
use super::RETRY_AFTER_MS;
use super::TOKEN;
use crate::connection::body;
use crate::connection::body::RelayBody;
use crate::process::burn::Origin;

macro_rules! reasons {
    ($($(#[$doc:meta])* $variant:ident = $word:literal, $status:ident;)*) => {
        /// Why a request was refused or has failed; see `docs/operators.md`.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Reason {
            $($(#[$doc])* $variant,)*
        }

        impl Reason {
            /// Every reason.
            pub const ALL: &[Self] = &[$(Self::$variant),*];

            /// Returns the word that stands in the reason header.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $word,)*
                }
            }

            /// Returns the HTTP status of the answer.
            pub fn status(self) -> StatusCode {
                match self {
                    $(Self::$variant => StatusCode::$status,)*
                }
            }
        }
    };
}

reasons! {
    /// The request cannot be read as one for a service.
    Malformed = "malformed", BAD_REQUEST;
    /// The request's head is longer than this daemon accepts.
    HeadTooLong = "head-too-long", REQUEST_HEADER_FIELDS_TOO_LARGE;
    /// The request's body ended early or is too long.
    BadBody = "bad-body", BAD_REQUEST;
    /// The daemon holds no rules yet.
    NoConfiguration = "no-configuration", SERVICE_UNAVAILABLE;
    /// No route serves the request's host and path.
    NoRoute = "no-route", NOT_FOUND;
    /// No instance of the service is known.
    UnknownService = "unknown-service", NOT_FOUND;
    /// No instance of the service accepts work.
    NoInstance = "no-instance", SERVICE_UNAVAILABLE;
    /// Capacity is short and the request is not among those that fit.
    Overloaded = "overloaded", SERVICE_UNAVAILABLE;
    /// The request cannot be answered within its deadline.
    Expired = "expired", GATEWAY_TIMEOUT;
    /// The deadline passed while the request was in progress.
    DeadlineExceeded = "deadline-exceeded", GATEWAY_TIMEOUT;
    /// The instance is leaving.
    Leaving = "leaving", SERVICE_UNAVAILABLE;
    /// No connection could be made to the upstream.
    UpstreamUnreachable = "upstream-unreachable", BAD_GATEWAY;
    /// The upstream failed before it answered.
    UpstreamFailed = "upstream-failed", BAD_GATEWAY;
    /// The instance that was meant is no longer at its address.
    InstanceGone = "instance-gone", SERVICE_UNAVAILABLE;
    /// Another upstream holds the address of the one that was meant.
    UpstreamMoved = "upstream-moved", BAD_GATEWAY;
    /// The upstream answered another request than the one at hand.
    AnswerForeign = "answer-foreign", BAD_GATEWAY;
    /// The upstream itself refused the request.
    UpstreamShed = "upstream-shed", SERVICE_UNAVAILABLE;
    /// No connection could be made to another daemon.
    PeerUnreachable = "peer-unreachable", BAD_GATEWAY;
    /// Another daemon failed before it answered.
    PeerFailed = "peer-failed", BAD_GATEWAY;
    /// The upstream's answer has no length, so that a cut would not show.
    AnswerUndelimited = "answer-undelimited", BAD_GATEWAY;
    /// The answer to a non-idempotent request is too long to be kept.
    AnswerTooLong = "answer-too-long", BAD_GATEWAY;
    /// The request needs an idempotency token, which this answer hands out.
    TokenRequired = "token-required", PRECONDITION_REQUIRED;
    /// The idempotency token cannot be read.
    TokenMalformed = "token-malformed", BAD_REQUEST;
    /// The idempotency token's code does not match.
    TokenForged = "token-forged", BAD_REQUEST;
    /// The issuer of the idempotency token is no longer there.
    TokenIssuerGone = "token-issuer-gone", CONFLICT;
    /// The issuer of the idempotency token cannot be reached now.
    TokenIssuerUnreachable = "token-issuer-unreachable", SERVICE_UNAVAILABLE;
    /// The idempotency token was used for a different request.
    TokenMismatch = "token-mismatch", UNPROCESSABLE_ENTITY;
    /// The request under the token was answered as not run.
    TokenVoid = "token-void", CONFLICT;
    /// The idempotency token is too old for its issuer to know its use.
    TokenExpired = "token-expired", CONFLICT;
    /// The request under the token ran; its answer is no longer kept.
    AlreadyRan = "already-ran", CONFLICT;
    /// The request under the token may have run.
    OutcomeUnknown = "outcome-unknown", CONFLICT;
    /// The request under the token is still in progress.
    StillRunning = "still-running", GATEWAY_TIMEOUT;
    /// The request that made this call is no longer in progress here.
    ParentGone = "parent-gone", GONE;
    /// The request's retry tokens are spent.
    RetriesSpent = "retries-spent", TOO_MANY_REQUESTS;
    /// A repeated non-idempotent call under a request that may have run before.
    RerunForbidden = "rerun-forbidden", CONFLICT;
    /// The chain of calls is deeper than any service graph should be.
    TooDeep = "too-deep", LOOP_DETECTED;
    /// A newer daemon gave a reason that this one does not know.
    Other = "other", BAD_GATEWAY;
}

impl Reason {
    /// Whether an instance refused because it was busy.
    pub fn is_load(self) -> bool {
        matches!(self, Self::Overloaded | Self::UpstreamShed)
    }

    /// Whether another instance of the service might answer otherwise.
    pub fn may_differ_elsewhere(self) -> bool {
        match self {
            Self::NoConfiguration
            | Self::Overloaded
            | Self::Leaving
            | Self::NoInstance
            | Self::UnknownService
            | Self::UpstreamUnreachable
            | Self::UpstreamFailed
            | Self::InstanceGone
            | Self::UpstreamMoved
            | Self::AnswerForeign
            | Self::UpstreamShed
            | Self::PeerUnreachable
            | Self::PeerFailed
            | Self::Other => true,
            Self::Malformed
            | Self::NoRoute
            | Self::HeadTooLong
            | Self::BadBody
            | Self::Expired
            | Self::DeadlineExceeded
            | Self::AnswerUndelimited
            | Self::AnswerTooLong
            | Self::TokenRequired
            | Self::TokenMalformed
            | Self::TokenForged
            | Self::TokenIssuerGone
            | Self::TokenIssuerUnreachable
            | Self::TokenMismatch
            | Self::TokenVoid
            | Self::TokenExpired
            | Self::AlreadyRan
            | Self::OutcomeUnknown
            | Self::StillRunning
            | Self::ParentGone
            | Self::RetriesSpent
            | Self::RerunForbidden
            | Self::TooDeep => false,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The reason header holds none of the known words.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(display("'{found}' is no reason"))]
pub struct ParseReasonError {
    found: String,
}

impl FromStr for Reason {
    type Err = ParseReasonError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let known = Self::ALL.iter().copied().find(|reason| reason.as_str() == s);
        known.ok_or_else(|| ParseReasonError { found: s.to_owned() })
    }
}

/// A final answer without the upstream's own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// What the request did at an upstream.
    pub outcome: Outcome,
    /// Why there is no whole answer.
    pub reason: Reason,
    /// When to come back, if that helps.
    pub retry_after: Option<Duration>,
    /// A fresh idempotency token for the next try.
    pub token: Option<String>,
    /// Retry tokens that go back to the daemon that sent the request.
    pub retries_left: Option<u32>,
    /// Whether this daemon decided or received it from below.
    pub origin: Origin,
}

impl Refusal {
    /// Creates a refusal without further advice.
    pub fn new(outcome: Outcome, reason: Reason) -> Self {
        Self {
            outcome,
            reason,
            retry_after: None,
            token: None,
            retries_left: None,
            origin: Origin::Here,
        }
    }

    /// Creates a refusal of a request that was handed to no upstream.
    pub fn not_run(reason: Reason) -> Self {
        Self::new(Outcome::NotRun, reason)
    }

    /// Creates a failure of a request that may have reached an upstream.
    pub fn unknown(reason: Reason) -> Self {
        Self::new(Outcome::Unknown, reason)
    }

    /// Creates a failure of a request that an upstream ran.
    pub fn ran(reason: Reason) -> Self {
        Self::new(Outcome::Ran, reason)
    }

    /// Tells the caller when to come back.
    pub fn retry_after(mut self, pause: Duration) -> Self {
        self.retry_after = Some(pause);
        self
    }

    /// Hands retry tokens back to the sender.
    pub fn with_retries(mut self, retries: u32) -> Self {
        self.retries_left = Some(retries);
        self
    }

    /// Hands out a token for the next try.
    pub fn with_token(mut self, token: String) -> Self {
        self.token = Some(token);
        self
    }

    /// Speaks of a request of which another copy may have run.
    pub fn unless_run_before(self) -> Self {
        self.after(Some(Outcome::Unknown))
    }

    /// Makes the outcome claim no more than `earlier` attempts support.
    pub fn after(mut self, earlier: Option<Outcome>) -> Self {
        if let Some(earlier) = earlier {
            self.outcome = self.outcome.and(earlier);
        }
        self
    }

    /// Whether the request may have reached an upstream, even if that ran nothing.
    pub fn reached_upstream(&self) -> bool {
        match self.outcome {
            Outcome::Unknown | Outcome::Ran => true,
            Outcome::NotRun => {
                matches!(self.reason, Reason::UpstreamShed | Reason::UpstreamMoved)
            }
        }
    }

    /// Reads the refusal that a peer answered; `None` if the answer is none.
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let text = |name: HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let outcome = headers.get(OUTCOME)?;
        // A word this version does not know proves nothing about the request.
        let outcome = outcome.to_str().ok().and_then(|word| word.parse().ok());
        let reason = text(REASON).and_then(|word| word.parse().ok());
        let retry_after = text(RETRY_AFTER_MS).and_then(|ms| ms.parse().ok());
        Some(Self {
            outcome: outcome.unwrap_or(Outcome::Unknown),
            reason: reason.unwrap_or(Reason::Other),
            retry_after: retry_after.map(Duration::from_millis),
            token: text(TOKEN).map(str::to_owned),
            retries_left: None,
            origin: Origin::Below,
        })
    }

    /// Builds the answer that a caller or a peer receives.
    pub fn into_response(self) -> Response<RelayBody> {
        let line = format!("{}: outcome {}\n", self.reason, self.outcome);
        let mut rsp = Response::new(body::full(line));
        *rsp.status_mut() = self.reason.status();
        let headers = rsp.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        headers.insert(REASON, HeaderValue::from_static(self.reason.as_str()));
        if let Some(pause) = self.retry_after {
            let ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
            headers.insert(RETRY_AFTER, ms.div_ceil(1000).into());
            headers.insert(RETRY_AFTER_MS, ms.into());
        }
        if let Some(retries) = self.retries_left {
            headers.insert(RETRIES_LEFT, retries.into());
        }
        if let Some(token) = self.token.and_then(|token| HeaderValue::try_from(token).ok()) {
            headers.insert(TOKEN, token);
        }
        rsp
    }
}
