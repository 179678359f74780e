//! How a request ended, as far as the service level is concerned.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt as _;
use snafu::Snafu;

use crate::request::Outcome;
use crate::request::Reason;

/// In which of its roles a daemon saw a request end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// For an outside caller: what people experience.
    Entry,
    /// For a call of the local upstream to another service.
    Outbound,
    /// For the local upstream's own work.
    Owner,
}

impl Role {
    /// Every role.
    pub const ALL: [Self; 3] = [Self::Entry, Self::Outbound, Self::Owner];

    /// Returns the word that stands in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Outbound => "outbound",
            Self::Owner => "owner",
        }
    }
}

impl FromStr for Role {
    type Err = ParseRoleError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let known = Self::ALL.into_iter().find(|role| role.as_str() == s);
        known.context(ParseRoleSnafu { found: s })
    }
}

/// A word that is no role.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("'{found}' is no role; expected entry, outbound or owner"))]
pub struct ParseRoleError {
    found: String,
}

/// Whether this daemon decided how a request ended, or a part further down the
/// chain did.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Origin {
    /// This daemon decided.
    Here,
    /// Another daemon or an upstream did.
    Below,
}

impl Origin {
    /// Returns the word that stands in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Here => "here",
            Self::Below => "below",
        }
    }
}

/// What went wrong with a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// It was refused or failed before its answer began.
    Refused(Reason),
    /// Its answer was cut short.
    Truncated,
}

const TRUNCATED: &str = "truncated";

impl Fault {
    /// Tells whether the fault is the system's and not the caller's.
    ///
    /// A request that cannot be read says nothing of the service level.
    pub fn spends_budget(self) -> bool {
        match self {
            Self::Truncated => true,
            Self::Refused(reason) => !matches!(
                reason,
                Reason::Malformed
                    | Reason::BadBody
                    | Reason::UnknownService
                    | Reason::TokenMalformed
                    | Reason::TokenForged
                    | Reason::TokenMismatch
                    | Reason::TooDeep
            ),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(reason) => f.write_str(reason.as_str()),
            Self::Truncated => f.write_str(TRUNCATED),
        }
    }
}

/// A word that is no fault.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("'{found}' is no fault"))]
pub struct ParseFaultError {
    found: String,
}

impl FromStr for Fault {
    type Err = ParseFaultError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        if s == TRUNCATED {
            return Ok(Self::Truncated);
        }
        let reason = s.parse().ok().context(ParseFaultSnafu { found: s })?;
        Ok(Self::Refused(reason))
    }
}

/// Why a request got no whole answer, and where that was decided.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Cause {
    /// What went wrong.
    pub fault: Fault,
    /// What the request did at an upstream.
    pub outcome: Outcome,
    /// Where it went wrong.
    pub origin: Origin,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// It got its whole answer after this time.
    Whole(Duration),
    /// It got none.
    Failed(Cause),
    /// The side that asked went away first.
    Cancelled,
}
