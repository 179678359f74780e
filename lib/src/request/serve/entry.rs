//! Serves requests that outside callers send to this daemon.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt as _;
use parking_lot::Mutex;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::at_most_once;
use super::call::Call;
use super::call::check_key_again;
use super::call::dispatch;
use super::call::leaving_retry_after;
use super::call::with_retry_after;
use super::identify::Identity;
use super::identify::SentBy;
use super::identify::check_cap;
use super::identify::identify;
use super::tracker::RequestTracker;
use super::tracker::serve_until_cutoff;
use crate::connection::body::GuardedBody;
use crate::connection::body::RelayBody;
use crate::connection::pipeline::Turn;
use crate::connection::strip::strip;
use crate::process::burn::Role;
use crate::process::metrics::Counter;
use crate::process::node::Node;
use crate::process::node::PathKey;
use crate::process::node::RequestHandle;
use crate::process::resources::Account;
use crate::request::Context;
use crate::request::Outcome;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::Repeat;
use crate::request::RequestId;
use crate::request::TOKEN;
use crate::request::idempotency::Token;
use crate::request::message::Inbound;
use crate::request::message::Payload;
use crate::request::retries::RetryAccount;
use crate::version::Plan;

/// How long a response body is still relayed after the maximum deadline.
pub(super) const RESPONSE_BODY_GRACE: Duration = Duration::from_secs(60);

/// Serves one request of an outside caller.
///
/// # Errors
///
/// Never fails: every failure is returned as a response.
pub async fn serve_caller(
    node: Arc<Node>,
    req: Request<RelayBody>,
) -> Result<Response<RelayBody>, Infallible> {
    let mut tracker = RequestTracker::begin(&node, Role::Entry);
    let in_progress = tracker.in_progress();
    let serving = try_serve(&node, req, &mut tracker);
    let result = serve_until_cutoff(&node, &in_progress, pin!(serving)).await;
    let mut rsp = result.unwrap_or_else(|refusal| tracker.refuse(refusal));
    tracker.record_upstream_error(&mut rsp);
    if node.lifecycle.is_stop_announced() {
        let close = header::HeaderValue::from_static("close");
        rsp.headers_mut().insert(header::CONNECTION, close);
    }
    in_progress.handle().set_answering();
    // The request is in progress until its response has been written.
    rsp.extensions_mut().insert(in_progress);
    let body_deadline = Instant::now() + node.settings.limits.max_deadline + RESPONSE_BODY_GRACE;
    Ok(rsp.map(|body| GuardedBody::new(body, body_deadline, tracker).boxed_unsync()))
}

async fn try_serve(
    node: &Arc<Node>,
    req: Request<RelayBody>,
    tracker: &mut RequestTracker,
) -> Result<Response<RelayBody>, Refusal> {
    let has_token = req.headers().contains_key(TOKEN);
    if has_token {
        // Another copy of the request may have been sent.
        tracker.in_progress().handle().set_passed_on();
    }
    let prepared = prepare(node, req, tracker).await;
    // Only the daemon that issued the token knows whether another copy of the
    // request has run.
    let prepared = match has_token {
        true => prepared.map_err(Refusal::into_possibly_run)?,
        false => prepared?,
    };
    let PreparedRequest { token, call: mut request, is_call, identity } = prepared;
    tracker.describe(&request.inbound, &request.cx);
    let parent = request.parent.clone();
    if let Some(parent) = &parent {
        parent.child_may_run();
    }
    let result = match (await_turn(node, &mut request, is_call).await, token) {
        (Err(refusal), _) => Err(with_retry_after(&request, refusal)),
        // If the dialect names each attempt, a non-idempotent one needs no token.
        (Ok(()), _) if node.dialect.names_attempts() => dispatch(node, request).await,
        (Ok(()), Some(token)) if token.issuer == node.peer_addr => {
            at_most_once::run_with_token(node, &token, request).await
        }
        (Ok(()), Some(token)) => at_most_once::send_to_issuer(node, &token, request).await,
        (Ok(()), None) if !node.lists_service(&request.inbound.service) => {
            Err(Refusal::not_run(Reason::UnknownService))
        }
        (Ok(()), None) if request.cx.non_idempotent => Err(refuse_with_token(node)),
        (Ok(()), None) => dispatch(node, request).await,
    };
    if result.as_ref().is_err_and(|refusal| refusal.outcome == Outcome::NotRun) {
        if let Some(customer) = &identity.customer {
            node.give_back_usage(&customer.name);
        }
        if let Some(parent) = &parent {
            parent.child_did_not_run();
        }
    }
    result
}

/// Waits until the request may be passed on while others before it on its connection are
/// unanswered.
async fn await_turn(node: &Node, call: &mut Call, is_call: bool) -> Result<(), Refusal> {
    let Some(turn) = &call.turn else { return Ok(()) };
    let is_idempotent = !call.cx.non_idempotent;
    if turn.try_pass(is_idempotent) {
        return Ok(());
    }
    let waiting = timeout_at(call.deadline, turn.wait(is_idempotent));
    // Few requests wait, and the others would have the size of this.
    let waited = Box::pin(call.payload.read_ahead(&node.pipelined_memory, waiting)).await?;
    waited.map_err(|_| call.refuse_expired())?;
    refuse_caller_in_stop(node, is_call)?;
    check_key_again(node, call)
}

/// A caller's request after parsing, with its token and the settings of the
/// matching rule applied.
struct PreparedRequest {
    token: Option<Token>,
    call: Call,
    /// Whether the upstream makes the request on behalf of one that it is working on.
    is_call: bool,
    identity: Identity,
}

async fn prepare(
    node: &Node,
    mut req: Request<RelayBody>,
    tracker: &mut RequestTracker,
) -> Result<PreparedRequest, Refusal> {
    let turn = req.extensions_mut().remove::<Turn>();
    let client = req.extensions_mut().remove::<Account>();
    let (mut inbound, body) = Inbound::read(req, node.settings.limits.head_bytes as usize)?;
    let token = take_token(&mut inbound.headers)?;
    let sender_info = node.dialect.take_sender_info(&mut inbound.headers)?;
    strip(&mut inbound.headers, &[]);
    inbound.origin = Some(node.settings.daemon.service.clone());
    let rules = node.rules().ok_or(Refusal::not_run(Reason::NoConfiguration))?;
    let plan = inbound.plan(&rules.policy)?;
    let parent_name = sender_info.name.as_ref().and_then(|name| node.dialect.parent_of(name));
    let is_call = parent_name.is_some();
    refuse_caller_in_stop(node, is_call)?;
    let parent = parent_name.and_then(|name| node.parents.find_named(name));
    let sent_by = match (parent_name, &parent) {
        (Some(_), Some(_)) => SentBy::Upstream,
        (Some(name), None) => SentBy::Unknown { given_up_at: node.parents.given_up_at(name) },
        (None, _) => SentBy::Caller,
    };
    inbound.name = sender_info.name;
    tracker.describe_caller(&inbound);
    let identity = identify(node, &rules, &plan, &mut inbound, sent_by)?;
    tracker.describe_caller(&inbound);
    check_cap(node, &identity)?;
    let deadline = response_deadline(node, &plan, sender_info.deadline);
    let payload = Payload::read(body, deadline).await?;
    refuse_caller_in_stop(node, is_call)?;
    let id_low_bits = token.as_ref().map_or_else(rand::random, |token| token.sequence.0);
    let request = tracker.in_progress().handle().clone();
    let mut call = root_call(node, inbound, payload, &plan, deadline, id_low_bits, request);
    call.set_customer(identity.customer.as_deref());
    call.key = identity.key;
    call.turn = turn;
    call.client = client;
    if !rules.policy.customers().is_empty() {
        call.cx.hash = node.rank_usage(identity.customer.as_deref(), call.cx.hash);
    }
    match parent {
        Some(parent) => call.attach_to_parent(parent),
        // The run that makes the call may have been a repeat.
        None if is_call => call.cx.repeat = Some(Repeat::Inherited),
        None => {}
    }
    // A token guarantees at most one run, even if the rule has changed since and
    // makes the request idempotent.
    call.cx.non_idempotent |= token.is_some();
    call.end_before_stop(node);
    Ok(PreparedRequest { token, call, is_call, identity })
}

/// Refuses a request of a caller that might not end before this daemon's stop does.
fn refuse_caller_in_stop(node: &Node, is_call: bool) -> Result<(), Refusal> {
    match !is_call && node.lifecycle.is_refusing_callers() {
        true => Err(Refusal::not_run(Reason::Leaving).retry_after(leaving_retry_after())),
        false => Ok(()),
    }
}

/// Refuses a request that needs an idempotency token and includes a token with
/// which the caller can send it again.
///
/// A daemon that is leaving issues no token, because tokens are valid only while
/// their issuer runs.
fn refuse_with_token(node: &Node) -> Refusal {
    match node.lifecycle.is_leaving() {
        true => Refusal::not_run(Reason::Leaving).retry_after(Duration::from_secs(1)),
        false => {
            node.metrics.count(Counter::TokensIssued);
            Refusal::not_run(Reason::TokenRequired).with_token(node.tokens.issue().to_string())
        }
    }
}

/// Returns the time by which the complete response must have arrived: the limit
/// of the plan and of the settings, or the sender's own if that is shorter.
pub(super) fn response_deadline(node: &Node, plan: &Plan, requested: Option<Duration>) -> Instant {
    let allowed = plan.deadline.min(node.settings.limits.max_deadline);
    Instant::now() + requested.unwrap_or(allowed).min(allowed)
}

/// Creates the call at the root of a call chain, with the number of retry tokens
/// that the plan allows for the whole chain.
pub(super) fn root_call(
    node: &Node,
    inbound: Inbound,
    payload: Payload,
    plan: &Plan,
    deadline: Instant,
    id_low_bits: u64,
    request: RequestHandle,
) -> Call {
    let id = RequestId(u128::from(node.incarnation.0) << 64 | u128::from(id_low_bits));
    let cx = Context {
        id,
        criticality: plan.criticality,
        hash: admission_hash(id),
        remaining: Duration::ZERO,
        objective: None,
        retries: 0,
        depth: 0,
        non_idempotent: !plan.idempotent,
        weight: plan.weight,
        may_wait: plan.may_wait,
        rerun: false,
        repeat: None,
        sender: node.incarnation,
    };
    let account = Arc::new(Mutex::new(RetryAccount::mint(plan.retries)));
    let path = PathKey { service: inbound.service.clone(), plan: plan.key };
    let objective = plan.objective.map(|time| deadline.min(Instant::now() + time));
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
        parent: None,
        turn: None,
        client: None,
        request,
    }
}

/// Hashes a request id evenly over the range by which admission levels admit or
/// refuse a share of the requests.
fn admission_hash(id: RequestId) -> u16 {
    use std::hash::Hasher as _;
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write_u128(id.0);
    hasher.finish() as u16
}

/// Removes the caller's idempotency token from the headers.
///
/// A token that cannot be parsed gives an unknown outcome, because it may be a
/// damaged copy of a token whose request has run.
pub(super) fn take_token(headers: &mut HeaderMap) -> Result<Option<Token>, Refusal> {
    let Some(value) = headers.remove(TOKEN) else { return Ok(None) };
    let token = value.to_str().ok().and_then(|text| text.parse().ok());
    token.map(Some).ok_or(Refusal::unknown(Reason::TokenMalformed))
}
