//! Sends one attempt of a request to one instance and records the result.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::call::Call;
use super::config_transfer;
use super::exchange::is_final;
use super::owner;
use super::stop_notice;
use crate::connection::body;
use crate::connection::body::BodyEnd;
use crate::connection::body::BodyReport;
use crate::connection::body::GuardedBody;
use crate::connection::body::Held as HeldBody;
use crate::connection::body::OnEnd;
use crate::connection::body::RelayBody;
use crate::connection::body::RelayError;
use crate::connection::body::Unread;
use crate::connection::body::WholeInMemory;
use crate::connection::body::reported;
use crate::connection::peers::PeerError;
use crate::connection::peers::STREAM_WINDOW_BYTES;
use crate::connection::pipeline::Streaming;
use crate::connection::pipeline::Turn;
use crate::connection::strip::strip;
use crate::process::InstanceId;
use crate::process::admission::Level;
use crate::process::clock::boot_time;
use crate::process::log;
use crate::process::log::StateChange;
use crate::process::membership::Observation;
use crate::process::membership::Vm;
use crate::process::metrics::Counter;
use crate::process::node::Node;
use crate::process::resources::Account;
use crate::process::resources::Held;
use crate::process::routing::Router;
use crate::request::CONFIRMED;
use crate::request::CONTEXT;
use crate::request::Context;
use crate::request::INSTANCE;
use crate::request::LEAVING;
use crate::request::LEVEL;
use crate::request::LOAD;
use crate::request::Outcome;
use crate::request::PATH_LEVEL;
use crate::request::RATE_LIMIT;
use crate::request::REPEAT_LEVEL;
use crate::request::RETRIES_LEFT;
use crate::request::RULES_VERSION;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::UPSTREAM_ERROR;
use crate::request::UPSTREAM_LEAVING;
use crate::request::message::Inbound;
use crate::request::retries::Grant;

/// Longest response that is held because requests behind it have been passed on, in bytes.
const MAX_HELD_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Memory that the part of a long response takes which is on its way, in bytes: what its stream
/// may buffer, and what waits to be written.
const STREAMED_RESPONSE_BYTES: usize = STREAM_WINDOW_BYTES as usize + 16 * 1024;

/// How long after its deadline the end of a response that has arrived is kept for a caller that does
/// not read it.
const UNREAD_GRACE: Duration = Duration::from_secs(2);

/// How much of an upload is taken, in bytes, while its upstream reads nothing. Less fits into the
/// window of its stream and one frame while it waits for a slot; more shows that the upstream has
/// read.
const HELD_BYTES: RangeInclusive<u64> = 2 * STREAM_WINDOW_BYTES as u64..=1024 * 1024;

/// Marks a response as an error that the upstream itself has caused.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamError;

/// Counts one call as outstanding at an instance until this guard is dropped.
#[derive(Debug)]
struct OutstandingCall {
    node: Arc<Node>,
    instance: InstanceId,
}

impl OutstandingCall {
    fn begin(node: &Arc<Node>, instance: &InstanceId) -> Self {
        node.router.lock().started(instance);
        Self { node: Arc::clone(node), instance: instance.clone() }
    }
}

impl Drop for OutstandingCall {
    fn drop(&mut self) {
        self.node.router.lock().finished(&self.instance);
    }
}

impl OnEnd for OutstandingCall {
    fn on_end(&mut self, _end: BodyEnd) {}
}

/// An outstanding call whose response is streamed to a caller that may have sent further
/// requests.
struct StreamedCall {
    _outstanding: OutstandingCall,
    streaming: Streaming,
}

impl OnEnd for StreamedCall {
    fn on_end(&mut self, end: BodyEnd) {
        self.streaming.on_end(end);
    }
}

/// Sends a request to one instance and returns the response, from which the
/// headers meant for daemons are removed.
///
/// # Errors
///
/// Returns a refusal whose outcome describes this attempt only.
pub(super) async fn send_to_instance(
    node: &Arc<Node>,
    vm: &Vm,
    call: &mut Call,
) -> Result<Response<RelayBody>, Refusal> {
    let Some(body) = call.payload.take_body() else {
        return Err(Refusal::not_run(Reason::BadBody));
    };
    let outstanding = OutstandingCall::begin(node, &vm.instance);
    // If the dialect names each attempt, calls further down are separate requests
    // with their own retry tokens. Tokens lent to this attempt would be unused
    // there, and lost if its response were lost.
    let grant = match node.dialect.names_attempts() {
        true => Grant::none(),
        false => call.account.lock().split_for_child(),
    };
    let now = Instant::now();
    let cx = Context {
        remaining: call.deadline.saturating_duration_since(now),
        objective: call.objective.map(|at| at.saturating_duration_since(now)),
        retries: grant.tokens(),
        ..call.cx.clone()
    };
    let is_local = vm.peer == node.peer_addr;
    let asked_at = (!is_local && node.settings.customers.withdrawal.is_some()).then(boot_time);
    let wait_deadline = call.wait_deadline(node);
    let sent_at = node.clock.now();
    let (body, report) = reported(body);
    let timed_out = || timeout_failure(&report, now);
    let result = match is_local {
        // The entry has an address that an instance of another service has got since, or that its
        // writer never had.
        true if !node.serves(&call.inbound.service) => {
            Ok(Refusal::not_run(Reason::UnknownService).into_response())
        }
        true => {
            let is_detached = cx.non_idempotent;
            let serving = owner::serve(node, cx, &call.inbound, &vm.instance, body);
            // The owner ends other requests itself at their deadline.
            match is_detached {
                true => timeout_at(wait_deadline, serving).await.map_err(|_| timed_out()),
                false => Ok(serving.await),
            }
        }
        false => match build_peer_request(node, &cx, &call.inbound, &vm.instance, body) {
            Ok(req) => match timeout_at(wait_deadline, send_to_peer(node, vm.peer, req)).await {
                Ok(Ok(rsp)) => Ok(rsp),
                Ok(Err(err)) => Err(match report.end() {
                    Some(BodyEnd::Failed) => {
                        SendFailure::Body(Refusal::unknown(Reason::PeerFailed))
                    }
                    _ => SendFailure::Peer(err),
                }),
                Err(_) => Err(timed_out()),
            },
            Err(refusal) => Err(SendFailure::Malformed(refusal)),
        },
    };
    let result = result.inspect_err(|failure| record_failure(node, vm, failure, sent_at));
    let mut rsp = match result {
        Ok(rsp) => rsp,
        Err(failure) => {
            let refusal = failure.into_refusal();
            // The request was not sent, so the lent tokens never left this daemon.
            if refusal.outcome == Outcome::NotRun {
                let lent = grant.tokens();
                call.account.lock().reclaim(grant, Some(lent));
            }
            return Err(refusal);
        }
    };
    let unused_retries = read_header(rsp.headers(), &RETRIES_LEFT);
    call.account.lock().reclaim(grant, unused_retries);
    record_response(node, vm, rsp.headers(), sent_at);
    if let (Some(asked_at), Some(stamp)) = (asked_at, read_header(rsp.headers(), &CONFIRMED)) {
        node.config().hear_stamp(asked_at, stamp);
    }
    let repeat_level = read_header(rsp.headers(), &REPEAT_LEVEL);
    call.record_repeat_level(node, repeat_level.unwrap_or(Level::OPEN));
    let path_level = read_header(rsp.headers(), &PATH_LEVEL);
    if let Some(refusal) = Refusal::from_headers(rsp.headers()) {
        if let Some(level) = path_level {
            call.record_refusal_level(node, level);
        }
        if refusal.reason == Reason::NoConfiguration {
            config_transfer::spawn_push(node, vm.peer);
        }
        return Err(refusal);
    }
    // A daemon of an earlier build passes on what its upstream sends.
    if !is_final(rsp.status()) {
        return Err(Refusal::unknown(Reason::UpstreamFailed));
    }
    call.record_response_level(node, path_level.unwrap_or(Level::OPEN));
    if rsp.headers().contains_key(UPSTREAM_ERROR) {
        rsp.extensions_mut().insert(UpstreamError);
    }
    strip(rsp.headers_mut(), node.dialect.answer_headers());
    let len = rsp.body().size_hint().exact();
    if len.is_some_and(|len| len <= owner::BUFFERING_THRESHOLD_BYTES) {
        let deadline = call.response_end_deadline(node);
        let buffered = buffer_response(rsp, deadline, outstanding, call.client.as_ref()).await;
        return buffered.map_err(|err| refuse_broken(&err, call.deadline));
    }
    if rsp.extensions().get::<WholeInMemory>().is_some() {
        return Ok(rsp);
    }
    let Some(turn) = &call.turn else {
        return Ok(rsp.map(|body| stream(node, body, wait_deadline, outstanding)));
    };
    let client = call.client.as_ref();
    if let Some(streaming) = turn.try_stream() {
        let guard = StreamedCall { _outstanding: outstanding, streaming };
        return Ok(rsp.map(|body| charge_stream(stream(node, body, wait_deadline, guard), client)));
    }
    // Few responses are held, and requests that wait would have the size of all their futures.
    let deadline = call.response_end_deadline(node);
    Box::pin(hold_response(node, rsp, deadline, outstanding, turn, client))
        .await
        .map_err(|err| refuse_broken(&err, call.deadline))
}

/// Charges the part of a long response that is on its way to its caller.
fn charge_stream(body: RelayBody, client: Option<&Account>) -> RelayBody {
    match client {
        Some(client) => {
            body::charged(body, client.charge(Held::Responses, STREAMED_RESPONSE_BYTES))
        }
        None => body,
    }
}

/// Relays a response while it arrives, until `deadline`.
fn stream(node: &Node, body: RelayBody, deadline: Instant, guard: impl OnEnd) -> RelayBody {
    let body = GuardedBody::new(body, deadline, guard).boxed_unsync();
    body::drop_at(body, deadline + UNREAD_GRACE, node.settings.limits.stall_timeout)
}

/// Reads a long response to its end if there is room for it, because requests behind it would be
/// lost if it broke off. Otherwise nothing more is passed on behind it.
async fn hold_response(
    node: &Node,
    rsp: Response<RelayBody>,
    deadline: Instant,
    outstanding: OutstandingCall,
    turn: &Turn,
    client: Option<&Account>,
) -> Result<Response<RelayBody>, RelayError> {
    let (parts, body) = rsp.into_parts();
    let body = GuardedBody::new(body, deadline, outstanding).boxed_unsync();
    let body = match node.pipelined_memory.hold(body, MAX_HELD_RESPONSE_BYTES).await? {
        HeldBody::Whole(body) => body,
        HeldBody::Begun(body) => charge_stream(stream(node, body, deadline, turn.stream()), client),
    };
    Ok(Response::from_parts(parts, body))
}

/// Returns the refusal of a request whose response broke off before any of it was passed on.
///
/// The owner ends a response at its deadline, too, and the end may arrive before this daemon ends
/// the wait for it.
fn refuse_broken(err: &RelayError, request_deadline: Instant) -> Refusal {
    let is_late = Instant::now() >= request_deadline;
    Refusal::ran(match err {
        RelayError::DeadlineExceeded => Reason::DeadlineExceeded,
        _ if is_late => Reason::DeadlineExceeded,
        _ => Reason::PeerFailed,
    })
}

/// Reads a short response to its end, once there is room for it.
///
/// A response that breaks off once its head was passed on ends the caller's connection, and
/// with it the pipelined requests behind it. It may also have to wait there for others, past
/// its own deadline.
async fn buffer_response(
    rsp: Response<RelayBody>,
    deadline: Instant,
    outstanding: OutstandingCall,
    client: Option<&Account>,
) -> Result<Response<RelayBody>, RelayError> {
    let (parts, body) = rsp.into_parts();
    let len = body.size_hint().lower() as usize;
    let charge = match client.filter(|_| len > 0) {
        Some(client) => {
            let reserving = timeout_at(deadline, client.reserve(Held::Responses, len));
            Some(reserving.await.map_err(|_| RelayError::DeadlineExceeded)?)
        }
        None => None,
    };
    let body = GuardedBody::new(body, deadline, outstanding).boxed_unsync();
    let limit = owner::BUFFERING_THRESHOLD_BYTES as usize;
    let body = body::collect(body, limit).await?;
    let body = body::full(body);
    let body = match charge {
        Some(charge) => body::charged(body, charge),
        None => body,
    };
    Ok(Response::from_parts(parts, body))
}

/// Why no response was received from a peer.
#[derive(Debug)]
enum SendFailure {
    Malformed(Refusal),
    Peer(PeerError),
    /// No response arrived in time, although the request was sent whole or the instance took
    /// nothing of it for at least half of that time.
    TimedOut,
    /// The body of the request broke off, or was not sent to its end in time while it was read.
    /// Neither is a failure of the instance.
    Body(Refusal),
}

impl SendFailure {
    fn into_refusal(self) -> Refusal {
        match self {
            Self::Malformed(refusal) | Self::Body(refusal) => refusal,
            Self::Peer(err) if err.is_unsent() => Refusal::not_run(Reason::PeerUnreachable),
            Self::Peer(_) => Refusal::unknown(Reason::PeerFailed),
            Self::TimedOut => Refusal::unknown(Reason::DeadlineExceeded),
        }
    }
}

fn build_peer_request(
    node: &Node,
    cx: &Context,
    inbound: &Inbound,
    instance: &InstanceId,
    body: RelayBody,
) -> Result<Request<RelayBody>, Refusal> {
    let mut req = inbound.to_request(body)?;
    let headers = req.headers_mut();
    if let Ok(mut value) = HeaderValue::try_from(cx.to_string()) {
        value.set_sensitive(true);
        headers.insert(CONTEXT, value);
    }
    if let Ok(value) = HeaderValue::try_from(instance.as_str()) {
        headers.insert(INSTANCE, value);
    }
    let known_limit = node.router.lock().members().rate_limit(node.clock.now(), instance);
    if let Some(known) = known_limit
        && let Ok(value) = HeaderValue::try_from(known.to_string())
    {
        headers.insert(RATE_LIMIT, value);
    }
    stop_notice::insert_header(node, headers);
    if let Some(rules) = node.rules() {
        headers.insert(RULES_VERSION, rules.version().into());
    }
    Ok(req)
}

async fn send_to_peer(
    node: &Node,
    peer: SocketAddr,
    req: Request<RelayBody>,
) -> Result<Response<RelayBody>, PeerError> {
    node.metrics.count(Counter::ForwardedToPeer);
    let rsp = node.peers.send(peer, req).await?;
    Ok(rsp.map(body::relay))
}

/// Returns the failure of a request, sent at `sent_at`, that has no response at its deadline.
fn timeout_failure(report: &BodyReport, sent_at: Instant) -> SendFailure {
    let hangs = |unread: Unread| {
        let is_held_only = HELD_BYTES.contains(&unread.read_bytes);
        is_held_only && unread.since - sent_at < unread.since.elapsed()
    };
    match report.end() {
        Some(BodyEnd::Whole) => SendFailure::TimedOut,
        None if report.unread().is_some_and(hangs) => SendFailure::TimedOut,
        _ => SendFailure::Body(Refusal::unknown(Reason::DeadlineExceeded)),
    }
}

fn record_failure(node: &Node, vm: &Vm, failure: &SendFailure, sent_at: Duration) {
    let observation = match failure {
        SendFailure::Malformed(_) | SendFailure::Body(_) => return,
        // An answer that broke off says nothing of the connection, nor of other requests.
        SendFailure::Peer(PeerError::Reset { .. }) => return,
        SendFailure::Peer(_) => Observation::ConnectFailed,
        SendFailure::TimedOut => Observation::TimedOut { sent_at },
    };
    update_router(node, vm, |router, now| router.observe(now, &vm.instance, observation));
}

fn record_response(node: &Node, vm: &Vm, headers: &HeaderMap, sent_at: Duration) {
    update_router(node, vm, |router, now| {
        router.observe(now, &vm.instance, observation_in(headers));
        if let Some(load) = read_header(headers, &LOAD) {
            router.record_load(now, &vm.instance, load);
            // Only the owner's own answers report the load and the limit.
            router.record_rate_limit(now, &vm.instance, read_header(headers, &RATE_LIMIT));
        }
        if let Some(level) = read_header(headers, &LEVEL) {
            router.observe(now, &vm.instance, Observation::Level(level));
        }
        match headers.get(LEAVING) {
            Some(value) if value == UPSTREAM_LEAVING => {
                router.observe(now, &vm.instance, Observation::UpstreamLeaving);
            }
            Some(_) => router.observe(now, &vm.instance, Observation::Leaving { sent_at }),
            None => {}
        }
    });
}

/// Returns what a response shows about the health of its instance. Load, admission
/// level and the leaving header are recorded separately.
fn observation_in(headers: &HeaderMap) -> Observation {
    let refusal = Refusal::from_headers(headers);
    match refusal.map(|refusal| refusal.reason) {
        // The daemon at the address belongs to another service, which has got the address
        // of an instance that ended. Such a refusal is quick, so the instance would look
        // idle and get ever more.
        Some(Reason::UpstreamMoved | Reason::InstanceGone | Reason::UnknownService) => {
            Observation::Gone
        }
        Some(Reason::UpstreamUnreachable) => Observation::ConnectFailed,
        Some(_) => Observation::Answered,
        None => Observation::Served,
    }
}

/// Updates the router's state of an instance. If the update changes whether the
/// instance receives work, logs and counts the change.
fn update_router(node: &Node, vm: &Vm, update: impl FnOnce(&mut Router, Duration)) {
    let now = node.clock.now();
    let mut router = node.router.lock();
    let was_working = router.is_working(now, &vm.instance);
    update(&mut router, now);
    let is_working = router.is_working(now, &vm.instance);
    drop(router);
    let instance = vm.instance.clone();
    match (was_working, is_working) {
        (true, false) => {
            node.metrics.count(Counter::PeersLost);
            log::write(&StateChange::PeerLost { instance });
        }
        (false, true) => {
            node.metrics.count(Counter::PeersRecovered);
            log::write(&StateChange::PeerBack { instance });
        }
        (true, true) | (false, false) => {}
    }
}

/// Parses a header; `None` if it is missing or cannot be parsed.
pub(super) fn read_header<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
