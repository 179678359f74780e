//! Log lines about decisions on single requests and instances.

use std::fmt;
use std::time::Duration;

use http::StatusCode;
use parking_lot::Mutex;

use super::bound::LineAction;
use super::bound::LineRateLimit;
use crate::connection::pipeline::CutReason;
use crate::connection::upstream::ConnectionUse;
use crate::process::CustomerName;
use crate::process::Incarnation;
use crate::process::InstanceId;
use crate::process::RequestName;
use crate::process::ServiceName;
use crate::process::admission::LimitChange;
use crate::process::burn::Role;
use crate::process::crashes::BanNotice;
use crate::process::crashes::Suspect;
use crate::process::membership::Listing;
use crate::process::resources::ClientCut;
use crate::process::resources::CutCause;
use crate::request::Context;
use crate::request::Outcome;
use crate::request::Refusal;

/// The request that a log line is about; it prints as `key=value` pairs.
#[derive(Clone, Debug)]
pub struct LoggedRequest {
    name: Option<RequestName>,
    service: ServiceName,
    customer: Option<CustomerName>,
    /// `None` before the request's rule or route is known.
    cx: Option<Context>,
}

impl LoggedRequest {
    /// Identifies a request by the name that its sender gave it, if any, and by the
    /// identity of its call chain.
    pub fn new(name: Option<&RequestName>, service: &ServiceName, cx: &Context) -> Self {
        Self { cx: Some(cx.clone()), ..Self::unplanned(name, service) }
    }

    /// Identifies a request that has no call chain yet.
    pub fn unplanned(name: Option<&RequestName>, service: &ServiceName) -> Self {
        Self { name: name.cloned(), service: service.clone(), customer: None, cx: None }
    }

    /// Whether the request must run at most once, as far as its rule or route is known.
    fn is_once_only(&self) -> bool {
        self.cx.as_ref().is_some_and(|cx| cx.non_idempotent)
    }

    /// Adds the customer that the request belongs to.
    pub fn of_customer(self, customer: Option<&CustomerName>) -> Self {
        Self { customer: customer.cloned(), ..self }
    }
}

impl fmt::Display for LoggedRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { name, service, customer, cx } = self;
        if let Some(name) = name {
            write!(f, "request={name} ")?;
        }
        if let Some(customer) = customer {
            write!(f, "customer={customer} ")?;
        }
        let Some(cx) = cx else { return write!(f, "service={service}") };
        write!(
            f,
            "chain={} service={service} criticality={} depth={} hash={} repeat={}",
            cx.id,
            cx.criticality,
            cx.depth,
            cx.hash,
            u8::from(cx.repeat.is_some()),
        )
    }
}

/// Why a request that failed at one instance is not retried at another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoRetryReason {
    /// The request may have run, and it is not idempotent.
    MayHaveRun,
    /// Another instance would refuse or fail the request for the same reason.
    SameElsewhere,
    /// The request's body was streamed to the first instance and is not buffered.
    BodyGone,
    /// The request has no retry tokens left, or no attempts that reach no upstream.
    Spent,
    /// The called service, or one further down, would deny the repeat.
    NoRoom,
}

impl fmt::Display for NoRetryReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::MayHaveRun => "may-have-run",
            Self::SameElsewhere => "same-elsewhere",
            Self::BodyGone => "body-gone",
            Self::Spent => "spent",
            Self::NoRoom => "no-room",
        })
    }
}

/// A daemon's decision on a request or an instance; it prints as `key=value` pairs.
#[derive(Debug)]
pub enum Decision<'a> {
    /// The request was refused or has failed.
    Refused {
        /// Role that the daemon plays for the request.
        role: Role,
        /// The refusal that is sent to the request's sender.
        refusal: &'a Refusal,
        /// Time since the request arrived.
        after: Duration,
    },
    /// The request failed at one instance and is sent to another.
    SentElsewhere {
        /// Instance at which the request failed.
        failed_at: &'a InstanceId,
        /// How the request failed there.
        refusal: &'a Refusal,
    },
    /// The request failed at one instance and is not retried.
    NotRepeated {
        /// Instance at which the request failed.
        failed_at: &'a InstanceId,
        /// How the request failed there.
        refusal: &'a Refusal,
        /// Why the request is not retried.
        because: NoRetryReason,
    },
    /// The local upstream refused the request without running it, and the request is
    /// sent to that upstream again.
    Resent {
        /// Number of resends so far, this one included.
        times: u32,
        /// The connection on which the upstream refused it.
        refused_on: ConnectionUse,
    },
    /// A request that must run at most once is sent to the local upstream.
    Sent {
        /// The instance.
        instance: &'a InstanceId,
        /// The connection on which it is sent.
        connection: ConnectionUse,
        /// The run of the daemon that sent it here.
        sender: Incarnation,
    },
    /// The answer on the request's connection does not name the request.
    ForeignAnswer {
        /// Status of the answer.
        status: StatusCode,
        /// The connection.
        connection: ConnectionUse,
    },
    /// The request's sender went away before the response was complete.
    Cancelled {
        /// Role that the daemon plays for the request.
        role: Role,
        /// Time since the request arrived.
        after: Duration,
    },
    /// A response to a caller broke off, and its connection with it.
    ResponseCut {
        /// Why the response broke off.
        reason: CutReason,
        /// Number of requests behind it on the connection, which get no response.
        behind: usize,
    },
    /// A new list of VMs offers an instance for requests, or no longer does.
    Listed {
        /// The instance.
        instance: &'a InstanceId,
        /// How the new list names it.
        listing: Listing,
        /// Version of the new list, which this daemon counts by itself.
        list: u64,
    },
    /// The limit on the rate of requests to the local upstream has changed.
    RateLimit {
        /// The limit now in force.
        change: LimitChange,
        /// How this daemon heard of the change.
        source: LimitSource,
    },
    /// An answer of the local upstream states a limit that cannot be parsed, and that is
    /// ignored.
    RateLimitMalformed {
        /// The instance that the request was for.
        instance: &'a InstanceId,
    },
    /// The local upstream has crashed while it was running requests.
    UpstreamCrashed {
        /// The instance.
        instance: &'a InstanceId,
        /// Number of different requests that may have caused the crash.
        suspects: usize,
        /// Number of requests that it was running and has answered lately.
        trusted: usize,
    },
    /// A request that may have caused a crash of the local upstream.
    CrashSuspect {
        /// The instance that crashed.
        instance: &'a InstanceId,
        /// The request's content.
        suspect: &'a Suspect,
        /// Name that the caller gave one request with that content.
        name: Option<&'a RequestName>,
    },
    /// Requests with a content no longer run, because they have crashed several upstreams.
    ContentBanned {
        /// The ban.
        ban: &'a BanNotice,
        /// Whether another daemon has told of it.
        is_told: bool,
    },
    /// The status of the upstream's answer is none of an answer.
    UnusableStatus {
        /// The status.
        status: StatusCode,
        /// The connection.
        connection: ConnectionUse,
    },
    /// The connection of a caller was ended.
    ClientCut {
        /// The connection, and what it held.
        cut: ClientCut,
        /// Why it was ended.
        cause: CutCause,
    },
    /// The local upstream has said in an answer that it is leaving.
    UpstreamLeaving {
        /// The instance.
        instance: &'a InstanceId,
    },
}

/// How this daemon heard of a limit on the rate of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitSource {
    /// The upstream's answers.
    Upstream,
    /// Another daemon, which had it from an earlier run of this one.
    Peer,
    /// The list of VMs, by which another upstream uses the address.
    List,
}

impl fmt::Display for LimitSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Upstream => "upstream",
            Self::Peer => "peer",
            Self::List => "list",
        })
    }
}

/// Kinds of decisions, by event name. Each kind has a rate limit of its own.
const KINDS: [&str; 17] = [
    "refused",
    "sent-elsewhere",
    "not-repeated",
    "resent",
    "cancelled",
    "instance-listed",
    "response-cut",
    "rate-limit",
    "rate-limit-malformed",
    "upstream-leaving",
    "upstream-crashed",
    "crash-suspect",
    "content-banned",
    "sent",
    "foreign-answer",
    "client-cut",
    "unusable-status",
];

impl Decision<'_> {
    /// Returns the index of the decision's kind in [`KINDS`].
    fn kind(&self) -> usize {
        match self {
            Self::Refused { .. } => 0,
            Self::SentElsewhere { .. } => 1,
            Self::NotRepeated { .. } => 2,
            Self::Resent { .. } => 3,
            Self::Cancelled { .. } => 4,
            Self::Listed { .. } => 5,
            Self::ResponseCut { .. } => 6,
            Self::RateLimit { .. } => 7,
            Self::RateLimitMalformed { .. } => 8,
            Self::UpstreamLeaving { .. } => 9,
            Self::UpstreamCrashed { .. } => 10,
            Self::CrashSuspect { .. } => 11,
            Self::ContentBanned { .. } => 12,
            Self::Sent { .. } => 13,
            Self::ForeignAnswer { .. } => 14,
            Self::ClientCut { .. } => 15,
            Self::UnusableStatus { .. } => 16,
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
            Self::Resent { times, refused_on } => write!(f, "times={times} {refused_on}"),
            Self::Sent { instance, connection, sender } => {
                write!(f, "instance={instance} {connection} sender={sender}")
            }
            Self::ForeignAnswer { status, connection }
            | Self::UnusableStatus { status, connection } => {
                write!(f, "status={} {connection}", status.as_u16())
            }
            Self::Cancelled { role, after } => {
                write!(f, "role={} after_ms={}", role.as_str(), after.as_millis())
            }
            Self::ResponseCut { reason, behind } => {
                write!(f, "reason={} behind={behind}", reason.as_str())
            }
            Self::Listed { instance, listing, list } => {
                write!(f, "instance={instance} as={listing} list={list}")
            }
            Self::RateLimit { change: LimitChange::To(rate), source } => {
                write!(f, "per_second={rate} from={source}")
            }
            Self::RateLimit { change: LimitChange::Withdrawn, source } => {
                write!(f, "per_second=none from={source}")
            }
            Self::UpstreamCrashed { instance, suspects, trusted } => {
                write!(f, "instance={instance} suspects={suspects} trusted={trusted}")
            }
            Self::CrashSuspect { instance, suspect, name } => {
                if let Some(name) = name {
                    write!(f, "request={name} ")?;
                }
                write!(f, "instance={instance} content=")?;
                match suspect.content {
                    Some(content) => content.fmt(f),
                    None => f.write_str("unknown"),
                }
            }
            Self::ContentBanned { ban, is_told } => {
                let from = if *is_told { "peer" } else { "here" };
                write!(f, "content={} times={} from={from}", ban.content, ban.level)
            }
            Self::ClientCut { cut, cause } => {
                write!(f, "client={} reason={} held={}", cut.address, cause.as_str(), cut.held)
            }
            Self::RateLimitMalformed { instance } | Self::UpstreamLeaving { instance } => {
                write!(f, "instance={instance}")
            }
        }
    }
}

fn write_refusal(f: &mut fmt::Formatter<'_>, refusal: &Refusal) -> fmt::Result {
    let outcome: Outcome = refusal.outcome;
    write!(f, "reason={} outcome={outcome} origin={}", refusal.reason, refusal.origin.as_str())
}

/// Rate limits of one kind of decisions.
///
/// Decisions on requests that must run at most once are rare. In an overload those on other
/// requests would use up a common limit, and nobody could tell what became of them.
#[derive(Debug, Default)]
struct KindLimits {
    once_only: LineRateLimit,
    others: LineRateLimit,
}

impl KindLimits {
    fn of(&mut self, subject: Option<&LoggedRequest>) -> &mut LineRateLimit {
        match subject.is_some_and(LoggedRequest::is_once_only) {
            true => &mut self.once_only,
            false => &mut self.others,
        }
    }
}

/// Writes decisions to the log, with rate limits for each kind.
#[derive(Debug, Default)]
pub struct DecisionLog {
    limits: Mutex<[KindLimits; KINDS.len()]>,
}

impl DecisionLog {
    /// Writes the line of a decision, or counts the line as left out.
    ///
    /// `subject` is `None` for a decision on an instance, and for a request that failed
    /// to parse before its service was known.
    pub fn write(&self, now: Duration, subject: Option<&LoggedRequest>, decision: &Decision<'_>) {
        let kind = decision.kind();
        let (action, left_out) = {
            let mut limits = self.limits.lock();
            let limit = limits[kind].of(subject);
            let left_out = limit.take_left_out(now);
            (limit.check(now), left_out)
        };
        write_left_out(kind, left_out);
        if action == LineAction::LeaveOut {
            return;
        }
        let event = KINDS[kind];
        match subject {
            Some(subject) => spdlog::info!("event={event} {subject} {decision}"),
            None => spdlog::info!("event={event} {decision}"),
        }
    }

    /// Writes how many lines were left out in past seconds.
    ///
    /// [`DecisionLog::write`] does the same before the next line of a kind; this
    /// covers kinds without further lines.
    pub fn flush(&self, now: Duration) {
        self.report_left_out(|limit| limit.take_left_out(now));
    }

    /// Writes how many lines were left out, including those of the current second.
    /// Called before the process ends.
    pub fn flush_all(&self) {
        self.report_left_out(LineRateLimit::take_all_left_out);
    }

    fn report_left_out(&self, mut take: impl FnMut(&mut LineRateLimit) -> u64) {
        let mut take_both =
            |kind: &mut KindLimits| take(&mut kind.once_only) + take(&mut kind.others);
        let left_out = self.limits.lock().each_mut().map(&mut take_both);
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
