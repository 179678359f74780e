//! Why a tokened request is not run.

use crate::request::Outcome;
use crate::request::Reason;

/// Why the issuer refuses to run a request, or to run it again.
///
/// Each says only what the issuer can prove; see `docs/design/outcomes.md`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TokenRefusal {
    /// An earlier run of this daemon issued the token, and its marks are gone.
    OtherIncarnation,
    /// The MAC is wrong. The true token, of which this may be a damaged copy,
    /// may have run.
    Forged,
    /// The token was first used for another request. The caller's request may
    /// be the same one in other words, so nothing is said of its outcome.
    BoundToOther,
    /// The request ran and its answer is no longer kept.
    Ran,
    /// The request was answered `not-run`, so its token is void for ever.
    NotRun,
    /// The token was used, and the issuer never learnt what became of it.
    Unknown,
    /// The token's mark is no longer held.
    BelowWindow,
    /// As many requests are running as the issuer has room for; the token has
    /// been voided unused.
    TooManyRunning,
}

impl TokenRefusal {
    /// Returns the reason that the answer gives.
    pub fn reason(self) -> Reason {
        match self {
            Self::OtherIncarnation => Reason::TokenIssuerGone,
            Self::Forged => Reason::TokenForged,
            Self::BoundToOther => Reason::TokenMismatch,
            Self::Ran => Reason::AlreadyRan,
            Self::NotRun => Reason::TokenVoid,
            Self::Unknown => Reason::OutcomeUnknown,
            Self::BelowWindow => Reason::TokenExpired,
            Self::TooManyRunning => Reason::Overloaded,
        }
    }

    /// Returns what the issuer can prove of the request.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Ran => Outcome::Ran,
            Self::NotRun | Self::TooManyRunning => Outcome::NotRun,
            Self::OtherIncarnation
            | Self::Forged
            | Self::BoundToOther
            | Self::Unknown
            | Self::BelowWindow => Outcome::Unknown,
        }
    }
}
