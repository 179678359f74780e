//! The request context that travels between daemons.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use snafu::OptionExt as _;
use snafu::Snafu;

use crate::process::Incarnation;
use crate::version::Criticality;

/// Identity of one caller's request across its whole call chain.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// What a daemon tells the next daemon of a request.
///
/// The deadline travels as the time that remains, never as a clock reading, so
/// that the clocks of two VMs need not agree.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Context {
    /// The request at the root of the chain.
    pub id: RequestId,
    /// Criticality by the rule that served the root.
    pub criticality: Criticality,
    /// Hash that orders requests of one criticality alike at every hop.
    pub hash: u16,
    /// Time left for the whole answer.
    pub remaining: Duration,
    /// Time left in which an answer has its full worth, where operators state one.
    pub objective: Option<Duration>,
    /// Retry tokens that the receiver may spend or split; see
    /// `docs/design/retries.md`.
    pub retries: u32,
    /// Calls between the root and this one.
    pub depth: u8,
    /// Whether the request must run at most once.
    pub non_idempotent: bool,
    /// Worth of the whole answer, for weighted goodput.
    pub weight: u32,
    /// Whether the request may queue when capacity is short.
    pub may_wait: bool,
    /// Whether an earlier attempt at this request may have run.
    pub rerun: bool,
    /// Whether the request, or one on whose behalf it is made, has reached an
    /// upstream before; see `docs/design/retries.md`.
    pub repeat: bool,
    /// Incarnation of the daemon that sent this.
    pub sender: Incarnation,
}

/// A context header that cannot be read.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub enum ContextError {
    /// A field is absent.
    #[snafu(display("context field '{field}' is missing"))]
    MissingField {
        /// The absent field.
        field: &'static str,
    },
    /// A field holds no value of its type.
    #[snafu(display("context field '{field}' cannot be read"))]
    InvalidField {
        /// The unreadable field.
        field: &'static str,
    },
}

impl fmt::Display for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let micros = self.remaining.as_micros();
        let flags = u8::from(self.non_idempotent)
            | u8::from(self.rerun) << 1
            | u8::from(self.may_wait) << 2
            | u8::from(self.repeat) << 3;
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
        let mut next = |field| fields.next().context(MissingFieldSnafu { field });
        let id = u128::from_str_radix(next("id")?, 16).ok();
        let criticality = next("criticality")?.parse().ok().and_then(Criticality::from_rank);
        let hash = u16::from_str_radix(next("hash")?, 16).ok();
        let remaining = next("remaining")?.parse().ok().map(Duration::from_micros);
        let retries = next("retries")?.parse().ok();
        let depth = next("depth")?.parse().ok();
        let flags: Option<u8> = next("flags")?.parse().ok();
        let flags = flags.context(InvalidFieldSnafu { field: "flags" })?;
        let sender = next("sender")?.parse().ok();
        let weight = next("weight")?.parse().ok();
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
            repeat: flags & 8 != 0,
            weight: weight.context(InvalidFieldSnafu { field: "weight" })?,
            sender: sender.context(InvalidFieldSnafu { field: "sender" })?,
        })
    }
}
