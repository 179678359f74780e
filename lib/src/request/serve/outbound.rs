//! Serves calls that the local upstream makes to other services.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;

use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use indexmap::map::Entry;
use tokio::time::Instant;

use super::at_most_once;
use super::attempt::read_header;
use super::call::Call;
use super::call::dispatch;
use super::entry::RESPONSE_BODY_GRACE;
use super::entry::serve_caller;
use super::tracker::RequestTracker;
use super::tracker::serve_until_cutoff;
use crate::connection::body::GuardedBody;
use crate::connection::body::RelayBody;
use crate::connection::strip::strip;
use crate::process::burn::Role;
use crate::process::node::Node;
use crate::process::node::PathKey;
use crate::process::node::RequestHandle;
use crate::request::CONTEXT;
use crate::request::Context;
use crate::request::Outcome;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::idempotency::Fingerprint;
use crate::request::idempotency::Token;
use crate::request::message::Inbound;
use crate::request::message::Payload;
use crate::request::parent::Handle;
use crate::request::parent::Parent;
use crate::request::retries;
use crate::request::retries::Attempt;
use crate::version::Plan;

/// Serves one call of the local upstream.
///
/// A call without a context header is not made on behalf of any request and is
/// served like a request of an outside caller.
///
/// # Errors
///
/// Never fails: every failure is returned as a response.
pub async fn serve_upstream(
    node: Arc<Node>,
    req: Request<RelayBody>,
) -> Result<Response<RelayBody>, Infallible> {
    if !req.headers().contains_key(CONTEXT) {
        return serve_caller(node, req).await;
    }
    let mut tracker = RequestTracker::begin(&node, Role::Outbound);
    let in_progress = tracker.in_progress();
    let serving = serve_child(&node, req, &mut tracker);
    let result = serve_until_cutoff(&node, &in_progress, pin!(serving)).await;
    let mut rsp = result.unwrap_or_else(|refusal| tracker.refuse(refusal));
    tracker.record_upstream_error(&mut rsp);
    let body_deadline = Instant::now() + node.settings.limits.max_deadline + RESPONSE_BODY_GRACE;
    Ok(rsp.map(|body| GuardedBody::new(body, body_deadline, tracker).boxed_unsync()))
}

async fn serve_child(
    node: &Arc<Node>,
    req: Request<RelayBody>,
    tracker: &mut RequestTracker,
) -> Result<Response<RelayBody>, Refusal> {
    let handle: Option<Handle> = read_header(req.headers(), &CONTEXT);
    let parent = handle.and_then(|handle| node.parents.find(handle));
    // The outcome is unknown: the upstream may have made the same call before, while
    // the request was still in progress.
    let parent = parent.ok_or(Refusal::unknown(Reason::ParentGone))?;
    let (mut inbound, incoming) = Inbound::read(req, node.settings.limits.head_bytes as usize)?;
    strip(&mut inbound.headers, &[]);
    let earlier_outcome = charge_repeat(&parent, &inbound)?;
    let payload = Payload::read(incoming, parent.deadline).await;
    let payload = payload.map_err(|refusal| refusal.after(earlier_outcome))?;
    let rules =
        node.rules().ok_or(Refusal::not_run(Reason::NoConfiguration).after(earlier_outcome))?;
    let plan = inbound.plan(&rules.policy).map_err(|refusal| refusal.after(earlier_outcome))?;
    let request = tracker.in_progress().handle().clone();
    let call = child_call(node, &parent, inbound, payload, &plan, request);
    tracker.describe(&call.inbound, &call.cx);
    parent.child_may_run();
    let result = run_child(node, &parent, call).await;
    if result.as_ref().is_err_and(|refusal| refusal.outcome == Outcome::NotRun) {
        parent.child_did_not_run();
    }
    result.map_err(|refusal| refusal.after(earlier_outcome))
}

/// Spends a retry token if the upstream repeats a call.
///
/// Returns the outcome of the earlier attempts, `None` for a first one: a later
/// refusal must cover the call as a whole and not only its last attempt.
fn charge_repeat(parent: &Parent, inbound: &Inbound) -> Result<Option<Outcome>, Refusal> {
    let key = inbound.key();
    let call = retries::Call {
        service: inbound.service.as_str(),
        method: &inbound.method,
        path: inbound.path.as_str(),
        key,
    };
    let mut account = parent.account.lock();
    match parent.calls.lock().record(&call, &mut account) {
        Attempt::First => Ok(None),
        Attempt::Retry => Ok(Some(Outcome::Unknown)),
        Attempt::Exhausted => Err(Refusal::unknown(Reason::RetriesSpent)),
        Attempt::TooManyCalls => Err(Refusal::not_run(Reason::RetriesSpent)),
    }
}

fn child_call(
    node: &Node,
    parent: &Arc<Parent>,
    inbound: Inbound,
    payload: Payload,
    plan: &Plan,
    request: RequestHandle,
) -> Call {
    let cx = Context {
        depth: parent.cx.depth.saturating_add(1),
        non_idempotent: !plan.idempotent,
        repeat: parent.repeat_of_calls(),
        sender: node.incarnation,
        ..parent.cx.clone()
    };
    let now = Instant::now();
    let deadline = parent.deadline.min(now + plan.deadline);
    let objective = plan.objective.map(|time| deadline.min(now + time));
    let path = PathKey { service: inbound.service.clone(), plan: plan.key };
    let account = Arc::clone(&parent.account);
    let parent = Some(Arc::clone(parent));
    Call {
        inbound,
        payload,
        cx,
        deadline,
        stop_wait_deadline: None,
        objective,
        account,
        reroutes: 0,
        path,
        affinity: None,
        key: None,
        parent,
        turn: None,
        client: None,
        request,
    }
}

async fn run_child(
    node: &Arc<Node>,
    parent: &Parent,
    request: Call,
) -> Result<Response<RelayBody>, Refusal> {
    if request.cx.non_idempotent {
        return run_non_idempotent(node, parent, request).await;
    }
    tokio::select! {
        result = dispatch(node, request) => result,
        () = parent.ended.cancelled() => Err(Refusal::unknown(Reason::ParentGone)),
    }
}

/// Runs a non-idempotent call with a token that this daemon issues for it.
///
/// Refuses the call if the request on whose behalf it is made may have run before,
/// because then the call may have run, too.
async fn run_non_idempotent(
    node: &Arc<Node>,
    parent: &Parent,
    request: Call,
) -> Result<Response<RelayBody>, Refusal> {
    if parent.cx.rerun {
        return Err(Refusal::unknown(Reason::RerunForbidden));
    }
    let identity = request.inbound.call_identity(&request.payload);
    let token = token_for_call(node, parent, identity, &request)?;
    let result = at_most_once::run_with_token(node, &token, request).await;
    if result.as_ref().is_err_and(|refusal| refusal.outcome == Outcome::NotRun) {
        // The token is now invalid; a repeat of the call needs a new one.
        let mut tokens = parent.tokens.lock();
        if tokens.get(&identity) == Some(&token) {
            tokens.swap_remove(&identity);
        }
    }
    result
}

/// Returns the token of a call; repeats of a call share one token.
///
/// Calls without an idempotency key whose bodies are too long to keep can't be
/// distinguished. The second such call is refused, because it could otherwise
/// receive the response to the first.
fn token_for_call(
    node: &Node,
    parent: &Parent,
    identity: Fingerprint,
    request: &Call,
) -> Result<Token, Refusal> {
    let is_distinguishable =
        request.inbound.key().is_some() || request.payload.buffered().is_some();
    match parent.tokens.lock().entry(identity) {
        Entry::Occupied(_) if !is_distinguishable => Err(Refusal::unknown(Reason::TokenMismatch)),
        Entry::Occupied(entry) => Ok(entry.get().clone()),
        Entry::Vacant(entry) => Ok(entry.insert(node.tokens.issue()).clone()),
    }
}
