//! Answers to requests that were refused or have failed.

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
use http::header::WWW_AUTHENTICATE;
use snafu::Snafu;

use super::KEY_SCHEME;
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
            /// All reasons, in order of declaration.
            pub const ALL: &[Self] = &[$(Self::$variant),*];

            /// Returns the value of the reason header.
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
    /// The request is malformed or names no valid service.
    Malformed = "malformed", BAD_REQUEST;
    /// The request's head is longer than this daemon accepts.
    HeadTooLong = "head-too-long", REQUEST_HEADER_FIELDS_TOO_LARGE;
    /// The request's body ended early or is too long.
    BadBody = "bad-body", BAD_REQUEST;
    /// The daemon has no rules yet.
    NoConfiguration = "no-configuration", SERVICE_UNAVAILABLE;
    /// No route matches the host and path of the request.
    NoRoute = "no-route", NOT_FOUND;
    /// The request carries no key, although its rule or route requires one.
    KeyMissing = "key-missing", UNAUTHORIZED;
    /// An upstream seems to call for a request that this daemon, or an earlier process of it, has
    /// given up.
    ParentUnknown = "parent-unknown", SERVICE_UNAVAILABLE;
    /// No customer holds the key of the request.
    KeyUnknown = "key-unknown", UNAUTHORIZED;
    /// The daemon does not know whether the key has been withdrawn.
    KeysOutdated = "keys-outdated", SERVICE_UNAVAILABLE;
    /// The request exceeds the usage cap of its customer.
    OverCap = "over-cap", TOO_MANY_REQUESTS;
    /// No instance of the service is known.
    UnknownService = "unknown-service", NOT_FOUND;
    /// No instance of the service accepts requests.
    NoInstance = "no-instance", SERVICE_UNAVAILABLE;
    /// Capacity is short, and other requests took precedence over the request.
    Overloaded = "overloaded", SERVICE_UNAVAILABLE;
    /// The upstream would get more requests than the limit that it states.
    RateLimited = "rate-limited", SERVICE_UNAVAILABLE;
    /// The request cannot be answered within its deadline.
    Expired = "expired", GATEWAY_TIMEOUT;
    /// The deadline passed while the request was in progress.
    DeadlineExceeded = "deadline-exceeded", GATEWAY_TIMEOUT;
    /// The instance is leaving.
    Leaving = "leaving", SERVICE_UNAVAILABLE;
    /// The daemon that sent the request stops before the request could end.
    SenderStopping = "sender-stopping", SERVICE_UNAVAILABLE;
    /// No connection could be made to the upstream.
    UpstreamUnreachable = "upstream-unreachable", BAD_GATEWAY;
    /// The upstream failed before it answered.
    UpstreamFailed = "upstream-failed", BAD_GATEWAY;
    /// The instance that the request was sent to is no longer at its address.
    InstanceGone = "instance-gone", SERVICE_UNAVAILABLE;
    /// The address of the upstream that the request was sent to now belongs to another
    /// one.
    UpstreamMoved = "upstream-moved", BAD_GATEWAY;
    /// The upstream's answer belongs to another request.
    AnswerForeign = "answer-foreign", BAD_GATEWAY;
    /// Requests with the same content have crashed several upstreams.
    CrashSuspect = "crash-suspect", SERVICE_UNAVAILABLE;
    /// The upstream itself refused the request.
    UpstreamShed = "upstream-shed", SERVICE_UNAVAILABLE;
    /// No connection could be made to another daemon.
    PeerUnreachable = "peer-unreachable", BAD_GATEWAY;
    /// Another daemon failed before it answered.
    PeerFailed = "peer-failed", BAD_GATEWAY;
    /// The upstream's answer has no length, so a truncated one would go unnoticed.
    AnswerUndelimited = "answer-undelimited", BAD_GATEWAY;
    /// The answer to a non-idempotent request is too long to be kept.
    AnswerTooLong = "answer-too-long", BAD_GATEWAY;
    /// The request needs an idempotency token, which the answer contains.
    TokenRequired = "token-required", PRECONDITION_REQUIRED;
    /// The idempotency token cannot be parsed.
    TokenMalformed = "token-malformed", BAD_REQUEST;
    /// The MAC of the idempotency token is wrong, or the token was never issued.
    TokenForged = "token-forged", BAD_REQUEST;
    /// The daemon that issued the idempotency token is gone or was restarted.
    TokenIssuerGone = "token-issuer-gone", CONFLICT;
    /// The issuer of the idempotency token cannot be reached now.
    TokenIssuerUnreachable = "token-issuer-unreachable", SERVICE_UNAVAILABLE;
    /// The idempotency token was used for a different request.
    TokenMismatch = "token-mismatch", UNPROCESSABLE_ENTITY;
    /// A request under the idempotency token was answered as not run, which voided the
    /// token.
    TokenVoid = "token-void", CONFLICT;
    /// The idempotency token is too old for its issuer to know whether it was used.
    TokenExpired = "token-expired", CONFLICT;
    /// The request under the idempotency token ran, and its answer is not kept.
    AlreadyRan = "already-ran", CONFLICT;
    /// The request under the idempotency token may have run.
    OutcomeUnknown = "outcome-unknown", CONFLICT;
    /// The request under the idempotency token is still in progress.
    StillRunning = "still-running", GATEWAY_TIMEOUT;
    /// The request on whose behalf the call was made is no longer in progress at this
    /// daemon.
    ParentGone = "parent-gone", GONE;
    /// The request's retry tokens are spent.
    RetriesSpent = "retries-spent", TOO_MANY_REQUESTS;
    /// A non-idempotent call was made on behalf of a request that may have run before,
    /// so the call may be a repeated one.
    RerunForbidden = "rerun-forbidden", CONFLICT;
    /// The call chain is longer than that of any reasonable service graph.
    TooDeep = "too-deep", LOOP_DETECTED;
    /// A newer daemon stated a reason that this one does not know.
    Other = "other", BAD_GATEWAY;
}

impl Reason {
    /// Returns whether the reason is a lack of capacity at an instance.
    pub fn is_overload(self) -> bool {
        matches!(self, Self::Overloaded | Self::RateLimited | Self::UpstreamShed)
    }

    /// Returns whether another instance of the service might give another answer.
    pub fn may_differ_elsewhere(self) -> bool {
        match self {
            Self::NoConfiguration
            | Self::Overloaded
            | Self::RateLimited
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
            | Self::KeyMissing
            | Self::ParentUnknown
            | Self::KeyUnknown
            | Self::KeysOutdated
            | Self::OverCap
            | Self::HeadTooLong
            | Self::BadBody
            | Self::Expired
            | Self::DeadlineExceeded
            | Self::SenderStopping
            | Self::CrashSuspect
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

/// Error from parsing a reason header whose value is unknown.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(display("'{found}' is not a known reason"))]
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

/// Final answer that a daemon gives in place of an upstream's complete answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// What is known about whether the request ran.
    pub outcome: Outcome,
    /// Why there is no complete answer from an upstream.
    pub reason: Reason,
    /// Delay after which the caller should retry, if a retry may succeed.
    pub retry_after: Option<Duration>,
    /// A new idempotency token for the next attempt.
    pub token: Option<String>,
    /// Number of unused retry tokens that are returned to the daemon that sent the
    /// request.
    pub retries_left: Option<u32>,
    /// Whether this daemon determined the failure or received it from another one.
    pub origin: Origin,
}

impl Refusal {
    /// Creates a refusal by this daemon, without a retry delay or tokens.
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

    /// Creates a refusal of a request that provably did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self::new(Outcome::NotRun, reason)
    }

    /// Creates a failure of a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self::new(Outcome::Unknown, reason)
    }

    /// Creates a failure of a request that an upstream ran.
    pub fn ran(reason: Reason) -> Self {
        Self::new(Outcome::Ran, reason)
    }

    /// Sets the delay after which the caller should retry.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Sets the number of retry tokens that are returned to the sender.
    pub fn with_retries(mut self, retries: u32) -> Self {
        self.retries_left = Some(retries);
        self
    }

    /// Adds an idempotency token for the next attempt.
    pub fn with_token(mut self, token: String) -> Self {
        self.token = Some(token);
        self
    }

    /// Accounts for another copy of the request that may have run: the outcome becomes
    /// [`Outcome::Unknown`] instead of [`Outcome::NotRun`].
    pub fn into_possibly_run(self) -> Self {
        self.after(Some(Outcome::Unknown))
    }

    /// Combines the outcome with that of `earlier` attempts, if there were any.
    pub fn after(mut self, earlier: Option<Outcome>) -> Self {
        if let Some(earlier) = earlier {
            self.outcome = self.outcome.and(earlier);
        }
        self
    }

    /// Returns whether the request may have reached an upstream, even one that did not
    /// run it.
    pub fn reached_upstream(&self) -> bool {
        match self.outcome {
            Outcome::Unknown | Outcome::Ran => true,
            Outcome::NotRun => {
                matches!(self.reason, Reason::UpstreamShed | Reason::UpstreamMoved)
            }
        }
    }

    /// Parses the refusal in the headers of a peer's answer; `None` if the answer is not
    /// a refusal.
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let text = |name: HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let outcome = headers.get(OUTCOME)?;
        // A value that this version does not know proves nothing about the request.
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
        let rsp_status = self.reason.status();
        *rsp.status_mut() = rsp_status;
        let headers = rsp.headers_mut();
        if rsp_status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static(KEY_SCHEME));
        }
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        headers.insert(REASON, HeaderValue::from_static(self.reason.as_str()));
        if let Some(delay) = self.retry_after {
            let ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
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
