//! Decisions on single requests that are worth a line.

use std::fmt;
use std::time::Duration;

use parking_lot::Mutex;

use super::bound::LineBound;
use super::bound::Verdict;
use crate::process::InstanceId;
use crate::process::RequestName;
use crate::process::ServiceName;
use crate::process::burn::Role;
use crate::request::Context;
use crate::request::Outcome;
use crate::request::Refusal;

/// Which request a line speaks of.
#[derive(Clone, Debug)]
pub struct Subject {
    name: Option<RequestName>,
    service: ServiceName,
    cx: Context,
}

impl Subject {
    /// Names a request by its sender's name for it, where it has one, and by the
    /// identity of its whole chain of calls.
    pub fn new(name: Option<&RequestName>, service: &ServiceName, cx: &Context) -> Self {
        Self { name: name.cloned(), service: service.clone(), cx: cx.clone() }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { name, service, cx } = self;
        if let Some(name) = name {
            write!(f, "request={name} ")?;
        }
        write!(
            f,
            "chain={} service={service} criticality={} depth={} hash={} repeat={}",
            cx.id,
            cx.criticality,
            cx.depth,
            cx.hash,
            u8::from(cx.repeat),
        )
    }
}

/// Why a request that failed at one instance is not sent to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Final {
    /// It may have run, and may run once only.
    MayHaveRun,
    /// Another instance would answer alike.
    SameElsewhere,
    /// Its body was relayed as it came and is not held.
    BodyGone,
    /// Its retry tokens and detours are spent.
    Spent,
}

impl fmt::Display for Final {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::MayHaveRun => "may-have-run",
            Self::SameElsewhere => "same-elsewhere",
            Self::BodyGone => "body-gone",
            Self::Spent => "spent",
        })
    }
}

/// What a daemon decided on one request.
#[derive(Debug)]
pub enum Decision<'a> {
    /// It was refused, or given up on.
    Refused {
        /// The part that the daemon plays for the request.
        role: Role,
        /// What its sender is told.
        refusal: &'a Refusal,
        /// Time since it arrived.
        after: Duration,
    },
    /// It failed at one instance and goes to another.
    SentElsewhere {
        /// The instance that it failed at.
        failed_at: &'a InstanceId,
        /// How it failed there.
        refusal: &'a Refusal,
    },
    /// It failed at one instance and is not sent again.
    NotRepeated {
        /// The instance that it failed at.
        failed_at: &'a InstanceId,
        /// How it failed there.
        refusal: &'a Refusal,
        /// Why it is not sent again.
        because: Final,
    },
    /// The upstream refused it as not run, and is sent it again.
    Resent {
        /// How often it was sent before.
        times: u32,
    },
    /// Its sender went away before the answer ended.
    Cancelled {
        /// The part that the daemon plays for the request.
        role: Role,
        /// Time since it arrived.
        after: Duration,
    },
}

/// Kinds of decisions, each with a bound of its own.
const KINDS: [&str; 5] = ["refused", "sent-elsewhere", "not-repeated", "resent", "cancelled"];

impl Decision<'_> {
    /// Position among [`KINDS`].
    fn kind(&self) -> usize {
        match self {
            Self::Refused { .. } => 0,
            Self::SentElsewhere { .. } => 1,
            Self::NotRepeated { .. } => 2,
            Self::Resent { .. } => 3,
            Self::Cancelled { .. } => 4,
        }
    }
}

impl fmt::Display for Decision<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { role, refusal, after } => {
                write!(f, "role={} ", role.as_str())?;
                write_refusal(f, refusal)?;
                write!(f, " after_ms={}", after.as_millis())?;
                if let Some(pause) = refusal.retry_after {
                    write!(f, " retry_after_ms={}", pause.as_millis())?;
                }
                Ok(())
            }
            Self::SentElsewhere { failed_at, refusal } => {
                write!(f, "failed_at={failed_at} ")?;
                write_refusal(f, refusal)
            }
            Self::NotRepeated { failed_at, refusal, because } => {
                write!(f, "failed_at={failed_at} ")?;
                write_refusal(f, refusal)?;
                write!(f, " because={because}")
            }
            Self::Resent { times } => write!(f, "times={times}"),
            Self::Cancelled { role, after } => {
                write!(f, "role={} after_ms={}", role.as_str(), after.as_millis())
            }
        }
    }
}

fn write_refusal(f: &mut fmt::Formatter<'_>, refusal: &Refusal) -> fmt::Result {
    let outcome: Outcome = refusal.outcome;
    write!(f, "reason={} outcome={outcome} origin={}", refusal.reason, refusal.origin.as_str())
}

/// Writes decisions as lines, a bounded number of each kind a second.
#[derive(Debug, Default)]
pub struct DecisionLog {
    bounds: Mutex<[LineBound; KINDS.len()]>,
}

impl DecisionLog {
    /// Writes the line of a decision, or counts it as left out.
    ///
    /// `subject` is `None` for a request that could not be read as far as its
    /// name.
    pub fn write(&self, now: Duration, subject: Option<&Subject>, decision: &Decision<'_>) {
        let kind = decision.kind();
        let (verdict, left_out) = {
            let bound = &mut self.bounds.lock()[kind];
            let left_out = bound.take_left_out(now);
            (bound.ask(now), left_out)
        };
        write_left_out(kind, left_out);
        if verdict == Verdict::LeaveOut {
            return;
        }
        let event = KINDS[kind];
        match subject {
            Some(subject) => spdlog::info!("event={event} {subject} {decision}"),
            None => spdlog::info!("event={event} {decision}"),
        }
    }

    /// Says what was left out in past seconds, if no line came that said it.
    pub fn flush(&self, now: Duration) {
        self.say(|bound| bound.take_left_out(now));
    }

    /// Says all that was left out, at the end of the process.
    pub fn flush_all(&self) {
        self.say(LineBound::take_all_left_out);
    }

    fn say(&self, mut take: impl FnMut(&mut LineBound) -> u64) {
        let left_out = self.bounds.lock().each_mut().map(&mut take);
        for (kind, left_out) in left_out.into_iter().enumerate() {
            write_left_out(kind, left_out);
        }
    }
}

fn write_left_out(kind: usize, left_out: u64) {
    if left_out > 0 {
        spdlog::info!("event=lines-left-out of={} left_out={left_out}", KINDS[kind]);
    }
}
