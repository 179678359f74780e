//! Sends one request to an instance of its service, and to another if the
//! first provably did not run it.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::attempt;
use crate::connection::body::RelayBody;
use crate::process::InstanceId;
use crate::process::admission::Level;
use crate::process::admission::return_after;
use crate::process::log::Decision;
use crate::process::log::Final;
use crate::process::log::Subject;
use crate::process::membership::Vm;
use crate::process::metrics::Counter;
use crate::process::node::Node;
use crate::process::node::PathKey;
use crate::process::routing::NoRoute;
use crate::process::routing::Pick;
use crate::process::routing::Work;
use crate::request::Context;
use crate::request::Outcome;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::message::Inbound;
use crate::request::message::Payload;
use crate::request::parent::Parent;
use crate::request::retries::RetryAccount;

/// Time beyond the deadline for which the answer to a non-idempotent request is
/// still awaited, so that a resend can be given it.
const LATE_ANSWER_GRACE: Duration = Duration::from_secs(30);
/// Instances that one call may be sent to without reaching an upstream, before
/// its caller is told so. Each costs a hop; three cover a service of which one
/// instance in each availability zone cannot take the call.
const DETOURS_MAX: u32 = 3;
/// Pause told to a caller when every instance refuses requests like its own.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// One request on its way to an instance.
#[derive(Debug)]
pub(super) struct Call {
    /// Head of the request.
    pub(super) inbound: Inbound,
    /// Body of the request.
    pub(super) payload: Payload,
    /// Context, but for the time left and the retry tokens, which each attempt sets.
    pub(super) cx: Context,
    /// When the whole answer must have arrived.
    pub(super) deadline: Instant,
    /// Until when an answer has its full worth, where operators state it.
    pub(super) objective: Option<Instant>,
    /// Retry tokens that the attempts spend and lend.
    pub(super) account: Arc<Mutex<RetryAccount>>,
    /// Attempts that reached no upstream.
    pub(super) detours: u32,
    /// The path that the request takes from here on.
    pub(super) path: PathKey,
    /// The request in progress here on whose behalf this one is sent; none for
    /// an outside caller's.
    pub(super) parent: Option<Arc<Parent>>,
}

impl Call {
    /// Returns when waiting for an answer ends.
    pub(super) fn give_up(&self) -> Instant {
        match self.cx.non_idempotent {
            true => self.deadline + LATE_ANSWER_GRACE,
            false => self.deadline,
        }
    }

    /// Makes this a call on behalf of a request in progress here.
    ///
    /// It matters as much as that request and ends with it at the latest. What
    /// it may be sent to is its own, as for any other request.
    pub(super) fn join(&mut self, parent: Arc<Parent>) {
        self.cx.id = parent.cx.id;
        self.cx.criticality = parent.cx.criticality;
        self.cx.hash = parent.cx.hash;
        self.cx.depth = parent.cx.depth.saturating_add(1);
        self.cx.rerun = parent.cx.rerun;
        self.cx.repeat = parent.cx.repeat;
        self.deadline = self.deadline.min(parent.deadline);
        self.objective = self.objective.map(|objective| objective.min(self.deadline));
        self.parent = Some(parent);
    }

    /// Notes the level of the hops below, as a whole answer carried it.
    pub(super) fn answered(&self, node: &Node, level: Level) {
        let now = node.clock.now();
        node.path_levels.lock().answered(now, &self.path, Some(level));
        self.tell_parent(level);
    }

    /// Notes the level of the hops below, as a refusal carried it.
    pub(super) fn hear(&self, node: &Node, level: Level) {
        node.path_levels.lock().heard(node.clock.now(), &self.path, level);
        self.tell_parent(level);
    }

    fn tell_parent(&self, level: Level) {
        if let Some(parent) = &self.parent {
            parent.hear(level);
        }
    }

    /// Pays for one more attempt if it is safe and possible, and tells otherwise
    /// why this one was the last.
    fn pay_for_next(&mut self, refusal: &Refusal) -> Result<(), Final> {
        if refusal.outcome != Outcome::NotRun && self.cx.non_idempotent {
            return Err(Final::MayHaveRun);
        }
        if !refusal.reason.may_differ_elsewhere() {
            return Err(Final::SameElsewhere);
        }
        if !self.payload.is_left() {
            return Err(Final::BodyGone);
        }
        if !self.may_pay(refusal) {
            return Err(Final::Spent);
        }
        Ok(())
    }

    fn log(&self, node: &Node, decision: &Decision<'_>) {
        let subject = Subject::new(self.inbound.name.as_ref(), &self.inbound.service, &self.cx);
        node.decisions.write(node.clock.now(), Some(&subject), decision);
    }

    /// Takes what one more attempt costs: a retry token if the last attempt
    /// reached an upstream, or else one of a few detours.
    fn may_pay(&mut self, refusal: &Refusal) -> bool {
        if refusal.reached_upstream() {
            return self.account.lock().spend();
        }
        self.detours += 1;
        self.detours <= DETOURS_MAX
    }
}

/// Sends a request until an instance answers or nothing more may be tried.
///
/// # Errors
///
/// The refusal's outcome speaks of all attempts together.
pub(super) async fn call(node: &Arc<Node>, mut call: Call) -> Result<Response<RelayBody>, Refusal> {
    let served = attempts(node, &mut call).await;
    served.map_err(|refusal| tell_return(&call, refusal))
}

/// Tells the caller when to come back, where it may and nothing else says when.
fn tell_return(call: &Call, refusal: Refusal) -> Refusal {
    let Some(objective) = call.objective else { return refusal };
    if refusal.outcome != Outcome::NotRun || refusal.retry_after.is_some() {
        return refusal;
    }
    let left = objective.saturating_duration_since(Instant::now());
    refusal.retry_after(return_after(left, call.cx.hash))
}

async fn attempts(node: &Arc<Node>, call: &mut Call) -> Result<Response<RelayBody>, Refusal> {
    refuse_for_deeper_hops(node, call)?;
    let mut tried: Vec<InstanceId> = Vec::new();
    let mut earlier: Option<Outcome> = None;
    let mut last: Option<Refusal> = None;
    loop {
        if Instant::now() >= call.deadline {
            return Err(Refusal::not_run(Reason::Expired).after(earlier));
        }
        // With no instance left, one that was too busy gives the better reason.
        let none_left = |refusal: Refusal| last.take().unwrap_or(refusal).after(earlier);
        let vm = pick(node, call, &tried).map_err(none_left)?;
        let refusal = match attempt::attempt(node, &vm, call).await {
            Ok(rsp) => return Ok(rsp),
            Err(refusal) => refusal,
        };
        let failed_at = &vm.instance;
        if let Err(because) = call.pay_for_next(&refusal) {
            call.log(node, &Decision::NotRepeated { failed_at, refusal: &refusal, because });
            return Err(refusal.after(earlier));
        }
        call.log(node, &Decision::SentElsewhere { failed_at, refusal: &refusal });
        let refusal = refusal.after(earlier);
        node.metrics.count(Counter::RetriesSpent);
        call.cx.rerun |= refusal.outcome != Outcome::NotRun;
        call.cx.repeat |= refusal.reached_upstream();
        earlier = Some(refusal.outcome);
        last = Some(refusal).filter(|refusal| refusal.reason.is_load());
        tried.push(vm.instance.clone());
    }
}

/// Refuses a request that a hop further down would refuse, before any work is
/// spent on it.
///
/// A call is not refused: work was spent on its request, and the level may have
/// changed since that was let through.
fn refuse_for_deeper_hops(node: &Node, call: &Call) -> Result<(), Refusal> {
    if call.cx.depth > 0 {
        return Ok(());
    }
    let (now, cx) = (node.clock.now(), &call.cx);
    let left = call.objective.map(|at| at.saturating_duration_since(Instant::now()));
    let mut levels = node.path_levels.lock();
    let Err(shed) = levels.check(now, &call.path, cx.criticality, cx.hash, left) else {
        return Ok(());
    };
    let level = levels.level(now, &call.path);
    drop(levels);
    call.tell_parent(level);
    Err(Refusal::not_run(Reason::Overloaded).retry_after(shed.retry_after))
}

fn pick(node: &Node, call: &Call, tried: &[InstanceId]) -> Result<Arc<Vm>, Refusal> {
    let cx = &call.cx;
    let work = Work { criticality: cx.criticality, hash: cx.hash, is_call: cx.depth > 0 };
    let now = node.clock.now();
    let mut router = node.router.lock();
    let picked = router.pick(now, &call.inbound.service, &work, tried);
    let level = router.members().service_level(now, &call.inbound.service);
    drop(router);
    if let (Pick::None(NoRoute::Refused), Some(level)) = (&picked, level) {
        call.hear(node, level);
    }
    match picked {
        Pick::To(vm) => Ok(vm),
        Pick::None(NoRoute::UnknownService) => Err(Refusal::not_run(Reason::UnknownService)),
        Pick::None(NoRoute::NoneWorking { retry_after }) => {
            Err(Refusal::not_run(Reason::NoInstance).retry_after(retry_after))
        }
        Pick::None(NoRoute::Refused) if call.objective.is_some() => {
            Err(Refusal::not_run(Reason::Overloaded))
        }
        Pick::None(NoRoute::Refused) => {
            Err(Refusal::not_run(Reason::Overloaded).retry_after(REFUSED_RETRY_AFTER))
        }
    }
}
