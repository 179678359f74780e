//! The request context, which daemons send to each other in a header.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt as _;
use snafu::Snafu;

use super::Repeat;
use crate::process::Incarnation;
use crate::version::Criticality;

/// Identifies a caller's request and all calls made on its behalf.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Information about a request that a daemon sends to the next daemon.
///
/// The deadline is sent as the remaining time and never as a point in time, so
/// that the clocks of the VMs need not be synchronized.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Context {
    /// Request at the root of the call chain.
    pub id: RequestId,
    /// Criticality of the request at the root, from the rule that matched it.
    pub criticality: Criticality,
    /// Hash of the request at the root; ranks requests of one criticality the same at
    /// every hop.
    pub hash: u16,
    /// Time left until the complete answer must have arrived.
    pub remaining: Duration,
    /// Time left during which an answer has its full value, if operators set one.
    pub objective: Option<Duration>,
    /// Retry tokens that the receiver may spend or lend to its calls; see
    /// `docs/design/retries.md`.
    pub retries: u32,
    /// Number of calls between the root of the call chain and this request.
    pub depth: u8,
    /// Whether the request must run at most once.
    pub non_idempotent: bool,
    /// Value of one complete answer, for weighted goodput.
    pub weight: u32,
    /// Whether the request may stay queued until its deadline when capacity is short.
    /// If false, it is queued only briefly.
    pub may_wait: bool,
    /// Whether an earlier attempt at the request may have run.
    pub rerun: bool,
    /// Why the request counts as a repeat at each upstream that it reaches; `None` for a
    /// first arrival.
    pub repeat: Option<Repeat>,
    /// Incarnation of the daemon that sent the context.
    pub sender: Incarnation,
}

/// Error from parsing a context header.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub enum ContextError {
    /// A field is missing.
    #[snafu(display("context field '{field}' is missing"))]
    MissingField {
        /// Name of the missing field.
        field: &'static str,
    },
    /// The value of a field is invalid.
    #[snafu(display("context field '{field}' cannot be parsed"))]
    InvalidField {
        /// Name of the invalid field.
        field: &'static str,
    },
}

impl fmt::Display for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let micros = self.remaining.as_micros();
        let flags = u8::from(self.non_idempotent)
            | u8::from(self.rerun) << 1
            | u8::from(self.may_wait) << 2
            | u8::from(self.repeat.is_some()) << 3
            | u8::from(self.repeat == Some(Repeat::Inherited)) << 4;
        write!(
            f,
            "{};{};{:x};{};{};{};{};{};{}",
            self.id,
            self.criticality.rank(),
            self.hash,
            micros,
            self.retries,
            self.depth,
            flags,
            self.sender,
            self.weight,
        )?;
        match self.objective {
            Some(objective) => write!(f, ";{}", objective.as_micros()),
            None => Ok(()),
        }
    }
}

impl FromStr for Context {
    type Err = ContextError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let mut fields = s.split(';');
        let mut next_field = |field| fields.next().context(MissingFieldSnafu { field });
        let id = u128::from_str_radix(next_field("id")?, 16).ok();
        let criticality = next_field("criticality")?.parse().ok().and_then(Criticality::from_rank);
        let hash = u16::from_str_radix(next_field("hash")?, 16).ok();
        let remaining = next_field("remaining")?.parse().ok().map(Duration::from_micros);
        let retries = next_field("retries")?.parse().ok();
        let depth = next_field("depth")?.parse().ok();
        let flags: Option<u8> = next_field("flags")?.parse().ok();
        let flags = flags.context(InvalidFieldSnafu { field: "flags" })?;
        let sender = next_field("sender")?.parse().ok();
        let weight = next_field("weight")?.parse().ok();
        let objective = match fields.next() {
            Some(text) => {
                let micros = text.parse().ok().context(InvalidFieldSnafu { field: "objective" })?;
                Some(Duration::from_micros(micros))
            }
            None => None,
        };
        Ok(Self {
            id: RequestId(id.context(InvalidFieldSnafu { field: "id" })?),
            criticality: criticality.context(InvalidFieldSnafu { field: "criticality" })?,
            hash: hash.context(InvalidFieldSnafu { field: "hash" })?,
            remaining: remaining.context(InvalidFieldSnafu { field: "remaining" })?,
            objective,
            retries: retries.context(InvalidFieldSnafu { field: "retries" })?,
            depth: depth.context(InvalidFieldSnafu { field: "depth" })?,
            non_idempotent: flags & 1 != 0,
            rerun: flags & 2 != 0,
            may_wait: flags & 4 != 0,
            repeat: match (flags & 8 != 0, flags & 16 != 0) {
                (false, _) => None,
                (true, false) => Some(Repeat::Own),
                (true, true) => Some(Repeat::Inherited),
            },
            weight: weight.context(InvalidFieldSnafu { field: "weight" })?,
            sender: sender.context(InvalidFieldSnafu { field: "sender" })?,
        })
    }
}
