//! Reasons for which a request under a token is refused.

use crate::request::Outcome;
use crate::request::Reason;

/// Why the issuer of a token refuses to run the request under it.
///
/// Each variant claims only what the issuer can prove; see `docs/design/outcomes.md`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TokenRefusal {
    /// An earlier incarnation of this daemon issued the token, and its records of
    /// used tokens are lost.
    OtherIncarnation,
    /// The MAC is wrong. The token may be a corrupted copy of a valid one, under
    /// which the request may have run.
    Forged,
    /// The token was first used for another request. The two may be the same
    /// request in different wording, so the outcome is unknown.
    BoundToOther,
    /// The request ran and its answer is no longer kept.
    Ran,
    /// The request was answered `not-run`, which voided its token permanently.
    NotRun,
    /// The token was used, and the issuer does not know whether its request ran.
    Unknown,
    /// The token is older than the window of token states, so its state is lost.
    BelowWindow,
    /// The limit on running requests is reached. The token was unused and is now
    /// void.
    TooManyRunning,
}

impl TokenRefusal {
    /// Returns the reason that the answer states.
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

    /// Returns the outcome of the request that the issuer can prove.
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
