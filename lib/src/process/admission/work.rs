//! Requests to the admission state machine and its decisions.

use std::fmt;
use std::time::Duration;

use crate::version::Criticality;
use crate::version::PlanKey;

/// One request that is to start at the local upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Work {
    /// Criticality of the request.
    pub criticality: Criticality,
    /// Hash of the root request; ranks requests of one criticality the same at every hop.
    pub hash: u16,
    /// Number of calls between the root of the call chain and this request.
    pub depth: u8,
    /// Rule or route of the request; service times are measured by it.
    pub kind: PlanKey,
    /// Time after which the answer is useless, on the same clock as `now`.
    pub deadline: Duration,
    /// Time until which the answer has its full value, if operators set one.
    pub objective: Option<Duration>,
    /// Whether the request may stay queued until its deadline. If false, it is queued
    /// for at most [`super::AdmissionConfig::brief_wait`].
    pub may_wait: bool,
    /// Value of one complete answer.
    pub weight: u32,
}

/// Identifies one admitted or queued request until it completes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub(crate) u64);

/// Decision on a request that has just arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// The request holds a slot and may start now.
    Admitted(Ticket),
    /// The request is queued; [`super::Admission::poll`] returns its verdict later.
    Queued(Ticket),
    /// The request was shed and needs no further call.
    Shed(Shed),
}

/// Refusal of a request, which does not run at this upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shed {
    /// Time after which a retry is likely to succeed.
    pub retry_after: Duration,
    /// Why the request was shed.
    pub reason: ShedReason,
}

/// Why a request was shed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ShedReason {
    /// The admission level excludes the request.
    Level,
    /// The queue is full and the request ranked lowest.
    QueueFull,
    /// The request is not expected to finish before its deadline.
    Deadline,
    /// No slot became free within the short time that the request may be queued.
    NoWait,
    /// The request is not expected to finish by its objective, the time until which
    /// the answer has its full value.
    Objective,
    /// The upstream would get more requests than the limit that it states.
    RateLimit,
}

impl ShedReason {
    /// Returns the value of the reason header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Level => "level",
            Self::QueueFull => "queue-full",
            Self::Deadline => "deadline",
            Self::NoWait => "no-wait",
            Self::Objective => "objective",
            Self::RateLimit => "rate-limit",
        }
    }

    /// Returns whether the request was shed in favor of other requests rather than
    /// because its own time ran out.
    pub fn is_for_capacity(self) -> bool {
        matches!(self, Self::Level | Self::QueueFull)
    }
}

impl fmt::Display for ShedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The upstream returned a complete answer.
    Answered,
    /// The upstream failed for a reason other than load.
    Failed,
    /// The upstream refused the request because it is overloaded.
    Overloaded,
    /// The upstream refused the request while it got about as many as it takes.
    AtRateLimit,
    /// The deadline passed before the upstream answered.
    TimedOut,
    /// The caller cancelled the request.
    Cancelled,
}

/// Decision on a queued request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Decision {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Verdict on the request. The ticket of a shed request is no longer valid; an
    /// admitted request holds a slot.
    pub verdict: Verdict,
}

/// Verdict on a queued request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request holds a slot and may start now.
    Admitted,
    /// The request was refused.
    Shed(Shed),
}
