//! Serves requests that other daemons send.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Body as _;

use super::at_most_once;
use super::attempt::read_header;
use super::call::Call;
use super::config_transfer;
use super::crash_gossip;
use super::entry::response_deadline;
use super::entry::root_call;
use super::entry::take_token;
use super::owner;
use super::stop_notice;
use super::tracker::serve_until_cutoff;
use super::usage_report;
use crate::connection::body;
use crate::connection::body::RelayBody;
use crate::connection::peers::STREAM_WINDOW_BYTES;
use crate::connection::pipeline::HEAD_COPIES;
use crate::connection::pipeline::REQUEST_BYTES;
use crate::process::InstanceId;
use crate::process::burn::Role;
use crate::process::node::End;
use crate::process::node::Node;
use crate::process::node::RequestHandle;
use crate::process::resources::HeldOfSender;
use crate::request::CONTEXT;
use crate::request::CRASHES;
use crate::request::Context;
use crate::request::HELD;
use crate::request::INSTANCE;
use crate::request::RATE_LIMIT;
use crate::request::RULES_VERSION;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::STOPPING;
use crate::request::TOKEN;
use crate::request::USAGE;
use crate::request::dialect::Dialect as _;
use crate::request::dialect::NativeDialect;
use crate::request::idempotency::Token;
use crate::request::message::Inbound;
use crate::request::message::Payload;

/// Delay after which a request is tried again that found no room for it.
const HELD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves one request of another daemon.
///
/// # Errors
///
/// Never fails: every failure is returned as a response.
pub async fn serve_peer(
    node: Arc<Node>,
    req: Request<RelayBody>,
) -> Result<Response<RelayBody>, Infallible> {
    if let Some(version) = read_header(req.headers(), &RULES_VERSION) {
        node.config().report_version(version);
    }
    if let Some(notice) = read_header(req.headers(), &STOPPING) {
        stop_notice::receive(&node, &notice);
        if !req.headers().contains_key(CONTEXT) {
            return Ok(Response::new(body::empty()));
        }
    }
    if req.headers().contains_key(HELD) {
        return Ok(config_transfer::receive(&node, req).await);
    }
    if req.headers().contains_key(CRASHES) {
        return Ok(crash_gossip::receive(&node, req).await);
    }
    if req.headers().contains_key(USAGE) {
        return Ok(usage_report::receive(&node, req).await);
    }
    let result = match req.headers().contains_key(TOKEN) {
        true => serve_as_issuer(&node, req).await,
        false => serve_as_owner(&node, req).await,
    };
    Ok(result.unwrap_or_else(Refusal::into_response))
}

/// Serves a request for the local upstream.
async fn serve_as_owner(
    node: &Arc<Node>,
    req: Request<RelayBody>,
) -> Result<Response<RelayBody>, Refusal> {
    let cx: Option<Context> = read_header(req.headers(), &CONTEXT);
    let cx = cx.ok_or(Refusal::not_run(Reason::Malformed))?;
    let instance = req.headers().get(INSTANCE).and_then(|value| value.to_str().ok());
    let instance = instance.map_or(node.settings.daemon.instance.clone(), InstanceId::from);
    let known_limit = read_header(req.headers(), &RATE_LIMIT);
    let (mut inbound, incoming) = Inbound::read(req, node.settings.limits.head_bytes as usize)?;
    inbound.take_peer_headers();
    // Without rules, this daemon would refuse every call that the upstream makes on
    // behalf of the request.
    if node.config().rules.borrow().is_none() {
        return Err(Refusal::not_run(Reason::NoConfiguration));
    }
    // The address may now belong to an instance of another service.
    if !node.serves(&inbound.service) {
        return Err(Refusal::not_run(Reason::UnknownService));
    }
    if let Some(known) = known_limit {
        node.adopt_rate_limit(&instance, known);
    }
    let held = held_by(&inbound, &incoming);
    let Some(mut charge) = node.senders.try_charge(cx.sender, held) else {
        return Err(Refusal::not_run(Reason::Overloaded).retry_after(HELD_RETRY_AFTER));
    };
    let rsp = owner::serve(node, cx, &inbound, &instance, incoming).await;
    charge.answer(body_bytes(rsp.body()));
    Ok(rsp.map(|body| body::charged(body, charge)))
}

/// Returns what a request of another daemon takes until it is answered.
fn held_by(inbound: &Inbound, body: &RelayBody) -> HeldOfSender {
    let headers = inbound.headers.iter();
    let headers: usize = headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
    let head_len = headers + inbound.path.as_str().len();
    HeldOfSender { other: REQUEST_BYTES + HEAD_COPIES * head_len, unread: body_bytes(body) }
}

/// Returns how much of a body is buffered at most while nobody reads it.
fn body_bytes(body: &RelayBody) -> usize {
    let window = u64::from(STREAM_WINDOW_BYTES);
    body.size_hint().exact().map_or(window, |len| len.min(window)) as usize
}

/// Serves a request with an idempotency token that this daemon issued.
async fn serve_as_issuer(
    node: &Arc<Node>,
    req: Request<RelayBody>,
) -> Result<Response<RelayBody>, Refusal> {
    let in_progress = node.lifecycle.begin(Role::Entry);
    // Another copy of the request may have been sent.
    in_progress.handle().set_passed_on();
    let serving = async {
        let prepared = prepare_tokened(node, req, in_progress.handle().clone()).await;
        let (token, call) = prepared.map_err(Refusal::into_possibly_run)?;
        at_most_once::run_with_token(node, &token, call).await
    };
    let result = serve_until_cutoff(node, &in_progress, pin!(serving)).await;
    if result.is_ok() {
        in_progress.set_end(End::Answered);
    }
    result
}

async fn prepare_tokened(
    node: &Node,
    req: Request<RelayBody>,
    request: RequestHandle,
) -> Result<(Token, Call), Refusal> {
    let (mut inbound, incoming) = Inbound::read(req, node.settings.limits.head_bytes as usize)?;
    let token = take_token(&mut inbound.headers)?;
    let token = token.ok_or(Refusal::unknown(Reason::TokenMalformed))?;
    let sender_info = NativeDialect.take_sender_info(&mut inbound.headers)?;
    inbound.take_peer_headers();
    let rules = node.rules().ok_or(Refusal::not_run(Reason::NoConfiguration))?;
    let plan = inbound.plan(&rules.policy)?;
    let deadline = response_deadline(node, &plan, sender_info.deadline);
    let payload = Payload::read(incoming, deadline).await?;
    let mut call = root_call(node, inbound, payload, &plan, deadline, token.sequence.0, request);
    let customer = call.inbound.customer.as_ref();
    let customer = customer.and_then(|name| rules.policy.customers().get(name));
    call.set_customer(customer.map(Arc::as_ref));
    // A token guarantees at most one run, even if the rule has changed since and
    // makes the request idempotent.
    call.cx.non_idempotent = true;
    Ok((token, call))
}
