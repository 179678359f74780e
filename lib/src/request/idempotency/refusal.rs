//! Why a tokened request is not run.

use crate::request::Outcome;

/// Why the issuer refuses to run a request, or to run it again.
///
/// Each says only what the issuer can prove; see `docs/design/outcomes.md`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Refusal {
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

impl Refusal {
    /// Returns the word that stands in the reason header.
    pub fn reason(self) -> &'static str {
        match self {
            Self::OtherIncarnation => "token-of-earlier-run",
            Self::Forged => "token-forged",
            Self::BoundToOther => "token-of-other-request",
            Self::Ran => "token-ran",
            Self::NotRun => "token-void",
            Self::Unknown => "token-used",
            Self::BelowWindow => "token-expired",
            Self::TooManyRunning => "too-many-running",
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
