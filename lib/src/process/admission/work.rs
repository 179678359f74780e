//! What the admission state machine is asked and what it answers.

use std::fmt;
use std::time::Duration;

use crate::version::Criticality;
use crate::version::PlanKey;

/// One request that asks to start at the local upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Work {
    /// How much the request matters.
    pub criticality: Criticality,
    /// Hash that orders requests of one criticality alike at every hop.
    pub hash: u16,
    /// Calls between the root of the chain and this request.
    pub depth: u8,
    /// The rule or route that serves it; service times are measured by it.
    pub kind: PlanKey,
    /// Latest time of a useful answer, on the clock of `now`.
    pub deadline: Duration,
    /// Latest time of an answer of full worth, where the operators state one.
    pub objective: Option<Duration>,
    /// Whether the request may queue until its deadline; otherwise it queues
    /// for [`super::AdmissionConfig::brief_wait`] at most.
    pub may_wait: bool,
    /// Worth of one whole answer.
    pub weight: u32,
}

/// Names one request that was admitted or queued, until it completes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub(crate) u64);

/// Answer to a request that has just arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// The request holds a slot and may start now.
    Admitted(Ticket),
    /// The request waits; [`super::Admission::poll`] reports its verdict.
    Queued(Ticket),
    /// The request is refused and holds nothing.
    Shed(Shed),
}

/// Final answer to a request that will not run here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shed {
    /// Time after which coming back helps.
    pub retry_after: Duration,
    /// Why the request was refused.
    pub reason: ShedReason,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ShedReason {
    /// The admission level excludes the request.
    Level,
    /// The queue is full and the request was the least worth keeping.
    QueueFull,
    /// The request can no longer finish inside its deadline.
    Deadline,
    /// The request may not wait and no slot became free in time.
    NoWait,
    /// What goes before it takes longer than it may wait for an answer of full
    /// worth.
    Objective,
}

impl ShedReason {
    /// Returns the word that stands in the reason header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Level => "level",
            Self::QueueFull => "queue-full",
            Self::Deadline => "deadline",
            Self::NoWait => "no-wait",
            Self::Objective => "objective",
        }
    }

    /// Tells whether another request was preferred, as opposed to the request
    /// having run out of time by itself.
    pub fn is_for_capacity(self) -> bool {
        matches!(self, Self::Level | Self::QueueFull)
    }
}

impl fmt::Display for ShedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// How admitted work ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The upstream answered whole.
    Answered,
    /// The upstream failed for a reason other than load.
    Failed,
    /// The upstream said that it is overloaded.
    Overloaded,
    /// The deadline passed before the upstream answered.
    TimedOut,
    /// The caller went away first.
    Cancelled,
}

/// What became of a queued request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Decision {
    /// The request.
    pub ticket: Ticket,
    /// Its verdict; a shed ticket is forgotten, an admitted one holds a slot.
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
