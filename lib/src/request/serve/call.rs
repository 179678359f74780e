//! Sends one request to an instance of its service, and retries it on another
//! instance if that is safe and the request has retry tokens or reroutes left.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use parking_lot::Mutex;
use rand::RngExt as _;
use tokio::time::Instant;

use super::attempt;
use super::attempt::UpstreamError;
use super::identify::check_key;
use crate::connection::body::RelayBody;
use crate::connection::pipeline::Turn;
use crate::process::InstanceId;
use crate::process::admission::Level;
use crate::process::admission::spread_retry_after;
use crate::process::log::Decision;
use crate::process::log::LoggedRequest;
use crate::process::log::NoRetryReason;
use crate::process::membership::Vm;
use crate::process::metrics::Counter;
use crate::process::node::Node;
use crate::process::node::PathKey;
use crate::process::node::RequestHandle;
use crate::process::resources::Account;
use crate::process::routing::NoRoute;
use crate::process::routing::Pick;
use crate::process::routing::Work;
use crate::request::Context;
use crate::request::Outcome;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::Repeat;
use crate::request::RequestContent;
use crate::request::message::Inbound;
use crate::request::message::Payload;
use crate::request::parent::Parent;
use crate::request::retries::RetryAccount;
use crate::version::customers::Customer;
use crate::version::customers::KeyDigest;

/// How long the response to a non-idempotent request is awaited after the
/// deadline, so that a caller that sends the request again can receive it.
const LATE_RESPONSE_GRACE: Duration = Duration::from_secs(30);
/// How many times one call is sent to another instance because the previous attempt
/// did not reach an upstream. Each time costs a network hop; three are enough if
/// one instance of the service in each availability zone cannot take the call.
const MAX_REROUTES: u32 = 3;
/// Shortest and longest retry delay for requests that this daemon refuses because it stops.
/// Callers find another one at once; the range spreads those that were refused together.
const LEAVING_RETRY_AFTER: Range<Duration> = Duration::from_millis(100)..Duration::from_millis(600);
/// How long the rest of a short response is awaited after the deadline. A stop leaves no time
/// for it.
const RESPONSE_END_GRACE: Duration = Duration::from_millis(100);
/// Retry delay returned to a caller when every instance refuses requests of this
/// criticality and hash.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the retry delay for a request that this daemon refuses because it stops.
pub(super) fn leaving_retry_after() -> Duration {
    rand::rng().random_range(LEAVING_RETRY_AFTER)
}

/// One request that is to be sent to an instance, with its state across attempts.
#[derive(Debug)]
pub(super) struct Call {
    /// Head of the request.
    pub(super) inbound: Inbound,
    /// Body of the request.
    pub(super) payload: Payload,
    /// Context of the request. Each attempt sets the time left and the retry tokens.
    pub(super) cx: Context,
    /// Time by which the complete response must have arrived.
    pub(super) deadline: Instant,
    /// Time at which the daemon stops waiting for the response because it stops itself;
    /// `None` if its stop does not shorten the deadline.
    pub(super) stop_wait_deadline: Option<Instant>,
    /// Time by which a response meets the latency objective; `None` if operators
    /// set no objective.
    pub(super) objective: Option<Instant>,
    /// Retry tokens, spent on further attempts and lent to the called daemons.
    pub(super) account: Arc<Mutex<RetryAccount>>,
    /// Number of attempts that did not reach an upstream.
    pub(super) reroutes: u32,
    /// Called service and matching rule, by which admission levels of the rest of
    /// the call chain are stored.
    pub(super) path: PathKey,
    /// See [`Work::affinity`].
    pub(super) affinity: Option<u64>,
    /// Key by which the caller was identified, which must still be known before each further
    /// attempt.
    pub(super) key: Option<KeyDigest>,
    /// The request in progress at this daemon on whose behalf this call is made;
    /// `None` for a request from outside.
    pub(super) parent: Option<Arc<Parent>>,
    /// Place among the requests of its connection; `None` if the next of these is read only
    /// after the response.
    pub(super) turn: Option<Turn>,
    /// What the connection of its caller holds, if that is limited.
    pub(super) client: Option<Account>,
    /// Records how far the request has come.
    pub(super) request: RequestHandle,
}

impl Call {
    /// Returns the time at which the daemon stops waiting for the response.
    ///
    /// If the dialect names each attempt, there is no token by which the caller could
    /// receive a later response.
    pub(super) fn wait_deadline(&self, node: &Node) -> Instant {
        let has_token = self.cx.non_idempotent && !node.dialect.names_attempts();
        match self.stop_wait_deadline {
            Some(wait_deadline) => wait_deadline,
            None if has_token => self.deadline + LATE_RESPONSE_GRACE,
            None => self.deadline,
        }
    }

    /// Returns the time at which the daemon stops waiting for the rest of a short response
    /// whose head has arrived.
    pub(super) fn response_end_deadline(&self, node: &Node) -> Instant {
        match self.stop_wait_deadline {
            Some(wait_deadline) => wait_deadline,
            None => self.wait_deadline(node) + RESPONSE_END_GRACE,
        }
    }

    /// Shortens the deadline so that the request ends before this daemon's stop does, if
    /// one is in progress.
    ///
    /// The upstream ends its work at the deadline that it is told. The daemon waits for its
    /// answer somewhat longer, because an answer in its place would not tell what has run.
    pub(super) fn end_before_stop(&mut self, node: &Node) {
        let Some(times) = node.stop_times() else { return };
        let deadline = node.clock.instant(times.run_deadline());
        if self.deadline <= deadline {
            return;
        }
        let cutoff = node.clock.instant(times.cutoff());
        self.stop_wait_deadline = Some(self.wait_deadline(node).min(cutoff));
        self.deadline = deadline;
        self.objective = self.objective.map(|objective| objective.min(deadline));
    }

    /// Returns the refusal of a request whose deadline passed before it was sent.
    pub(super) fn refuse_expired(&self) -> Refusal {
        match self.stop_wait_deadline {
            Some(_) => Refusal::not_run(Reason::Leaving).retry_after(leaving_retry_after()),
            None => Refusal::not_run(Reason::Expired),
        }
    }

    /// Applies the criticality of the request's customer, if it has one of its own.
    pub(super) fn set_customer(&mut self, customer: Option<&Customer>) {
        if let Some(criticality) = customer.and_then(|customer| customer.criticality) {
            self.cx.criticality = criticality;
        }
    }

    /// Makes this a call on behalf of a request in progress at this daemon.
    ///
    /// The call takes over the request's id, criticality, hash and rerun state,
    /// and ends no later than the request. It keeps its own rule, retry tokens
    /// and idempotency.
    pub(super) fn attach_to_parent(&mut self, parent: Arc<Parent>) {
        self.cx.id = parent.cx.id;
        self.cx.criticality = parent.cx.criticality;
        self.cx.hash = parent.cx.hash;
        self.cx.depth = parent.cx.depth.saturating_add(1);
        self.cx.rerun = parent.cx.rerun;
        self.cx.repeat = parent.repeat_of_calls();
        self.deadline = self.deadline.min(parent.deadline);
        self.objective = self.objective.map(|objective| objective.min(self.deadline));
        self.parent = Some(parent);
    }

    /// Records the admission level of the services further down the call chain, as
    /// carried by a response.
    pub(super) fn record_response_level(&self, node: &Node, level: Level) {
        let now = node.clock.now();
        node.path_levels.lock().record_answer(now, &self.path, Some(level));
        self.forward_level_to_parent(level);
    }

    /// Records the admission level of the services further down the call chain, as
    /// carried by a refusal.
    pub(super) fn record_refusal_level(&self, node: &Node, level: Level) {
        node.path_levels.lock().record_level(node.clock.now(), &self.path, level);
        self.forward_level_to_parent(level);
    }

    /// Records up to which level the called service and those below it grant repeats.
    pub(super) fn record_repeat_level(&self, node: &Node, level: Level) {
        node.path_room.lock().record(node.clock.now(), &self.path, level);
    }

    /// Whether the called service and those below it would grant a repeat of the request.
    fn has_room_for_repeat(&self, node: &Node) -> bool {
        let level = node.path_room.lock().level(node.clock.now(), &self.path);
        level.admits(self.cx.criticality, self.cx.hash)
    }

    fn forward_level_to_parent(&self, level: Level) {
        if let Some(parent) = &self.parent {
            parent.record_path_level(level);
        }
    }

    /// Checks that another attempt is safe and possible, and charges for it.
    ///
    /// Fails with the reason why the previous attempt was the last.
    fn charge_next_attempt(&mut self, node: &Node, refusal: &Refusal) -> Result<(), NoRetryReason> {
        if refusal.outcome != Outcome::NotRun && self.cx.non_idempotent {
            return Err(NoRetryReason::MayHaveRun);
        }
        if !refusal.reason.may_differ_elsewhere() {
            return Err(NoRetryReason::SameElsewhere);
        }
        if !self.payload.has_body_left() {
            return Err(NoRetryReason::BodyGone);
        }
        if refusal.reached_upstream() && !self.has_room_for_repeat(node) {
            return Err(NoRetryReason::NoRoom);
        }
        if !self.try_charge(refusal) {
            return Err(NoRetryReason::Spent);
        }
        Ok(())
    }

    /// Checks that a request which an upstream answered with an error of its own may be
    /// tried elsewhere, and charges for it.
    ///
    /// Load pattern: instances fail part of their requests while their health is good. The
    /// error took `elapsed`, which the next attempt must still have.
    fn charge_after_error(&mut self, node: &Node, elapsed: Duration) -> bool {
        let left = self.deadline.saturating_duration_since(Instant::now());
        !self.cx.non_idempotent
            && left >= elapsed
            && self.payload.has_body_left()
            && self.has_room_for_repeat(node)
            && self.account.lock().spend()
    }

    fn log(&self, node: &Node, decision: &Decision<'_>) {
        let subject =
            LoggedRequest::new(self.inbound.name.as_ref(), &self.inbound.service, &self.cx);
        node.decisions.write(node.clock.now(), Some(&subject), decision);
    }

    /// Records that the request is sent again after failed attempts.
    fn prepare_repeat(&mut self, node: &Node, refusal: &Refusal) {
        node.metrics.count(Counter::RetriesSpent);
        self.cx.rerun |= refusal.outcome != Outcome::NotRun;
        if refusal.reached_upstream() {
            self.cx.repeat.get_or_insert(Repeat::Own);
        }
        let has_broken_off = refusal.outcome == Outcome::Unknown;
        if has_broken_off && refusal.reason == Reason::UpstreamFailed {
            let content = RequestContent::of(&self.inbound, &mut self.payload).digest();
            self.affinity = content.map(|content| content.0);
        }
    }

    /// Charges for another attempt: a retry token if the last attempt reached an
    /// upstream, one of the limited reroutes otherwise. Returns false if there is
    /// none left.
    fn try_charge(&mut self, refusal: &Refusal) -> bool {
        if refusal.reached_upstream() {
            return self.account.lock().spend();
        }
        self.reroutes += 1;
        self.reroutes <= MAX_REROUTES
    }
}

/// Sends a request until an instance responds or no further attempt is allowed.
///
/// # Errors
///
/// Returns a refusal whose outcome covers all attempts together.
pub(super) async fn dispatch(
    node: &Arc<Node>,
    mut call: Call,
) -> Result<Response<RelayBody>, Refusal> {
    let parent = call.parent.clone();
    if let Some(parent) = &parent {
        parent.call_began();
    }
    let mut upstream_error = None;
    let result = try_instances(node, &mut call, &mut upstream_error).await;
    // The upstream's own answer tells the caller more than a failure of this daemon.
    let result = result.or_else(|refusal| upstream_error.ok_or(refusal));
    let has_succeeded = result.as_ref().is_ok_and(|rsp| !rsp.status().is_server_error());
    if let (true, Some(parent)) = (has_succeeded, &parent) {
        parent.call_succeeded();
    }
    result.map_err(|refusal| with_retry_after(&call, refusal))
}

/// Adds a retry delay to a refusal of a request that did not run and has a latency
/// objective, unless the refusal carries a delay already.
pub(super) fn with_retry_after(call: &Call, refusal: Refusal) -> Refusal {
    let Some(objective) = call.objective else { return refusal };
    if refusal.outcome != Outcome::NotRun || refusal.retry_after.is_some() {
        return refusal;
    }
    let left = objective.saturating_duration_since(Instant::now());
    refusal.retry_after(spread_retry_after(left, call.cx.hash))
}

/// Sends a request to one instance after the other.
///
/// `upstream_error` receives an upstream's error that another attempt is to replace.
async fn try_instances(
    node: &Arc<Node>,
    call: &mut Call,
    upstream_error: &mut Option<Response<RelayBody>>,
) -> Result<Response<RelayBody>, Refusal> {
    check_path_level(node, call)?;
    if let Some(parent) = &call.parent {
        node.called_paths.lock().record_call(&parent.kind, &call.path);
    }
    let mut tried: Vec<InstanceId> = Vec::new();
    let mut earlier_outcome: Option<Outcome> = None;
    let mut last_overload: Option<Refusal> = None;
    loop {
        call.end_before_stop(node);
        if Instant::now() >= call.deadline {
            return Err(call.refuse_expired().after(earlier_outcome));
        }
        if !tried.is_empty() {
            check_key_again(node, call).map_err(|refusal| refusal.after(earlier_outcome))?;
        }
        // If no instance is left, the refusal of an overloaded one is more useful to
        // the caller than the lack of further instances.
        let or_last_overload =
            |refusal: Refusal| last_overload.take().unwrap_or(refusal).after(earlier_outcome);
        let vm = pick_instance(node, call, &tried).map_err(or_last_overload)?;
        let started = Instant::now();
        if !call.request.try_pass_on() {
            let refusal = Refusal::not_run(Reason::Leaving).retry_after(leaving_retry_after());
            return Err(refusal.after(earlier_outcome));
        }
        let refusal = match attempt::send_to_instance(node, &vm, call).await {
            Ok(rsp) => {
                let is_upstream_error = rsp.extensions().get::<UpstreamError>().is_some();
                if !is_upstream_error || !call.charge_after_error(node, started.elapsed()) {
                    return Ok(rsp);
                }
                *upstream_error = Some(rsp);
                let failure = Refusal::ran(Reason::UpstreamFailed);
                call.log(
                    node,
                    &Decision::SentElsewhere { failed_at: &vm.instance, refusal: &failure },
                );
                call.prepare_repeat(node, &failure);
                earlier_outcome = Some(Outcome::Ran);
                tried.push(vm.instance.clone());
                continue;
            }
            Err(refusal) => refusal,
        };
        if refusal.clone().after(earlier_outcome).outcome == Outcome::NotRun {
            call.request.take_back();
        }
        let failed_at = &vm.instance;
        if let Err(because) = call.charge_next_attempt(node, &refusal) {
            call.log(node, &Decision::NotRepeated { failed_at, refusal: &refusal, because });
            return Err(refusal.after(earlier_outcome));
        }
        call.log(node, &Decision::SentElsewhere { failed_at, refusal: &refusal });
        let refusal = refusal.after(earlier_outcome);
        call.prepare_repeat(node, &refusal);
        earlier_outcome = Some(refusal.outcome);
        last_overload = Some(refusal).filter(|refusal| refusal.reason.is_overload());
        tried.push(vm.instance.clone());
    }
}

/// Refuses a request that has waited, or a further attempt, if its key has been withdrawn since.
pub(super) fn check_key_again(node: &Node, call: &Call) -> Result<(), Refusal> {
    let Some(key) = call.key else { return Ok(()) };
    let rules = node.rules().ok_or(Refusal::not_run(Reason::NoConfiguration))?;
    check_key(node, &rules, key).map(|_| ())
}

/// Refuses a request that a service further down the call chain would refuse,
/// before any work is done for it.
///
/// Applies only at the root of a chain: a call that is made on behalf of another
/// request is not refused here, because work was already done for that request
/// and the level may have changed since it was admitted.
fn check_path_level(node: &Node, call: &Call) -> Result<(), Refusal> {
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
    call.forward_level_to_parent(level);
    Err(Refusal::not_run(Reason::Overloaded).retry_after(shed.retry_after))
}

fn pick_instance(node: &Node, call: &Call, tried: &[InstanceId]) -> Result<Arc<Vm>, Refusal> {
    let cx = &call.cx;
    let work = Work {
        criticality: cx.criticality,
        hash: cx.hash,
        is_call: cx.depth > 0,
        affinity: call.affinity,
    };
    let now = node.clock.now();
    let mut router = node.router.lock();
    let picked = router.pick(now, &call.inbound.service, &work, tried);
    let level = router.members().service_level(now, &call.inbound.service);
    drop(router);
    if let (Pick::None(NoRoute::Refused), Some(level)) = (&picked, level) {
        call.record_refusal_level(node, level);
    }
    match picked {
        Pick::To(vm) => Ok(vm),
        Pick::None(NoRoute::UnknownService) => {
            // Requests that need this call fail until an instance is listed.
            if cx.depth > 0 {
                call.record_refusal_level(node, Level::CLOSED);
            }
            Err(Refusal::not_run(Reason::UnknownService))
        }
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
