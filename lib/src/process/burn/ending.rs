//! How a request ended, as counted against the service level objective.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt as _;
use snafu::Snafu;

use crate::request::Outcome;
use crate::request::Reason;

/// Role that a daemon played for a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// The daemon received the request from an outside caller. This role
    /// measures the service level that users experience.
    Entry,
    /// The daemon forwarded a call of the local upstream to another service.
    Outbound,
    /// The daemon passed the request to its local upstream.
    Owner,
}

impl Role {
    /// Every role.
    pub const ALL: [Self; 3] = [Self::Entry, Self::Outbound, Self::Owner];

    /// Returns the name of the role in reports and log lines.
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

/// The text does not name a [`Role`].
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("'{found}' is not a role; expected entry, outbound or owner"))]
pub struct ParseRoleError {
    found: String,
}

/// Whether this daemon or a hop further down the call chain determined how a
/// request failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Origin {
    /// This daemon determined the failure.
    Here,
    /// Another daemon or an upstream determined the failure.
    Below,
}

impl Origin {
    /// Returns the name of the origin in reports and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Here => "here",
            Self::Below => "below",
        }
    }
}

/// How a request failed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// The request was refused, or failed before its response began.
    Refused(Reason),
    /// The response ended before it was complete.
    Truncated,
}

/// Name of [`Fault::Truncated`] in reports.
const TRUNCATED: &str = "truncated";

impl Fault {
    /// Returns whether the failure counts against the error budget.
    ///
    /// Invalid requests are the caller's fault and say nothing about the service
    /// level, so they do not count.
    pub fn consumes_error_budget(self) -> bool {
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

/// The text does not name a [`Fault`].
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("'{found}' is not a known fault"))]
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

/// Why a request got no complete response, and where it failed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Cause {
    /// How the request failed.
    pub fault: Fault,
    /// Whether an upstream ran the request.
    pub outcome: Outcome,
    /// Whether this daemon or a hop further down the call chain determined the failure.
    pub origin: Origin,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The response was complete this long after the request arrived.
    Complete(Duration),
    /// The request was refused or failed, or its response was cut short.
    Failed(Cause),
    /// The sender of the request went away before the response was complete.
    Cancelled,
}
