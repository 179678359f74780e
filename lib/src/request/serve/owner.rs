//! Admits a request and passes it to the local upstream.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;

use super::exchange::Exchange;
use super::exchange::is_delimited;
use super::exchange::send;
use super::stop_bound::Passing;
use super::stop_bound::StopBound;
use super::tracker::RequestTracker;
use super::tracker::serve_until_cutoff;
use crate::connection::body;
use crate::connection::body::BodyEnd;
use crate::connection::body::GuardedBody;
use crate::connection::body::Held;
use crate::connection::body::OnEnd;
use crate::connection::body::RelayBody;
use crate::connection::body::WholeInMemory;
use crate::connection::upstream::Lease;
use crate::process::InstanceId;
use crate::process::admission::Completion;
use crate::process::admission::Level;
use crate::process::admission::Shed;
use crate::process::admission::ShedReason;
use crate::process::admission::Work;
use crate::process::burn::Role;
use crate::process::config::ActiveRules;
use crate::process::membership::LocalStanding;
use crate::process::node::BoundedRun;
use crate::process::node::GateReport;
use crate::process::node::InProgress;
use crate::process::node::Node;
use crate::process::node::Permit;
use crate::process::node::RunTimer;
use crate::process::repeats::Arrival;
use crate::request::CONFIRMED;
use crate::request::Context;
use crate::request::LEAVING;
use crate::request::LEVEL;
use crate::request::LOAD;
use crate::request::Outcome;
use crate::request::PATH_LEVEL;
use crate::request::RATE_LIMIT;
use crate::request::REPEAT_LEVEL;
use crate::request::RETRIES_LEFT;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::RequestContent;
use crate::request::RequestId;
use crate::request::UPSTREAM_ERROR;
use crate::request::UPSTREAM_LEAVING;
use crate::request::content::DIGESTED_BODY_BYTES;
use crate::request::message::Inbound;
use crate::request::message::Payload;
use crate::request::message::remove_hop_by_hop;
use crate::request::parent::Parent;
use crate::version::PlanKey;

/// Maximum depth of a call chain; deeper calls are refused.
const MAX_DEPTH: u8 = 64;
/// How long a non-idempotent request that has started may run after its deadline.
const LATE_FINISH_GRACE: Duration = Duration::from_secs(30);
/// How long such a request is waited for if its upstream stops work at the deadline. Its slot is
/// held meanwhile, for nothing if the answer is lost.
const ENDED_WORK_GRACE: Duration = Duration::from_secs(1);
/// How long the owner of an idempotent request waits after the deadline for the upstream's
/// own answer. It covers an upstream that answers at the deadline; a sender that does not
/// wait so long cancels the request.
const DEADLINE_ANSWER_GRACE: Duration = Duration::from_millis(100);
/// How long a leaving daemon still passes queued requests to its upstream.
const LEAVING_QUEUE_GRACE: Duration = Duration::from_secs(2);
/// The same if only the upstream leaves, from the earliest time at which the platform may have
/// confirmed it. No request may reach it later than 2 s after that.
const INSTANCE_LEAVING_QUEUE_GRACE: Duration = Duration::from_secs(1);
/// Longest response of known length that is buffered before it is relayed. Buffering a
/// longer one would delay its first byte.
pub(super) const BUFFERING_THRESHOLD_BYTES: u64 = 64 * 1024;
/// Longest response that is buffered at all. The rest of a longer one is relayed while it arrives,
/// but one whose end only the end of its connection shows, or that is kept under a token, fails.
pub(super) const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// State of one request that its parts share while it is served.
struct ServeCx {
    kind: PlanKey,
    /// Strictest admission level below this daemon.
    path_level: Arc<Mutex<Level>>,
    in_progress: Arc<InProgress>,
}

/// Serves a request for the local upstream and adds this daemon's admission levels
/// and load to the response.
pub(super) async fn serve(
    node: &Arc<Node>,
    cx: Context,
    inbound: &Inbound,
    instance: &InstanceId,
    body: RelayBody,
) -> Response<RelayBody> {
    let mut tracker = RequestTracker::begin(node, Role::Owner);
    tracker.describe(inbound, &cx);
    let retries = cx.retries;
    let path_level = Arc::new(Mutex::new(Level::OPEN));
    let kind = matching_plan_key(node, inbound);
    let in_progress = tracker.in_progress();
    let serve_cx = ServeCx {
        kind,
        path_level: Arc::clone(&path_level),
        in_progress: Arc::clone(&in_progress),
    };
    let serving = try_serve(node, cx, inbound, instance, body, serve_cx);
    let result = serve_until_cutoff(node, &in_progress, pin!(serving)).await;
    let mut rsp = result.unwrap_or_else(|refusal| {
        // A request that did not start has spent no retry tokens.
        let retries_left = match refusal.outcome {
            Outcome::NotRun => refusal.retries_left.unwrap_or(retries),
            Outcome::Unknown | Outcome::Ran => refusal.retries_left.unwrap_or(0),
        };
        tracker.refuse(refusal.with_retries(retries_left))
    });
    tracker.record_upstream_error(&mut rsp);
    let GateReport { level, load, rate_limit } = node.gate.report();
    let path_level = level.min(*path_level.lock());
    insert_level(rsp.headers_mut(), LEVEL, level);
    insert_level(rsp.headers_mut(), PATH_LEVEL, path_level);
    insert_level(rsp.headers_mut(), REPEAT_LEVEL, node.repeat_level(&kind));
    if let Ok(mut load) = HeaderValue::try_from(load.to_string()) {
        load.set_sensitive(true);
        rsp.headers_mut().insert(LOAD, load);
    }
    if let Some(known) = rate_limit
        && let Ok(known) = HeaderValue::try_from(known.to_string())
    {
        rsp.headers_mut().insert(RATE_LIMIT, known);
    }
    if node.settings.customers.withdrawal.is_some()
        && let Some(stamp) = node.config().stamp()
        && let Ok(mut stamp) = HeaderValue::try_from(stamp.to_string())
    {
        stamp.set_sensitive(true);
        rsp.headers_mut().insert(CONFIRMED, stamp);
    }
    if let Some(leaving) = leaving_notice(node, instance) {
        rsp.headers_mut().insert(LEAVING, HeaderValue::from_static(leaving));
    }
    let body_deadline = Instant::now() + node.settings.limits.max_deadline + LATE_FINISH_GRACE;
    rsp.map(|body| GuardedBody::new(body, body_deadline, tracker).boxed_unsync())
}

/// Returns the value of the leaving header; `None` if neither this daemon nor the instance is
/// leaving.
fn leaving_notice(node: &Node, instance: &InstanceId) -> Option<&'static str> {
    let local_instances = node.local_instances.lock();
    if local_instances.has_said_leaving(instance) {
        return Some(UPSTREAM_LEAVING);
    }
    let instance_leaves = local_instances.standing(instance) == LocalStanding::Leaving;
    (node.lifecycle.is_leaving() || instance_leaves).then_some("1")
}

/// Inserts an admission level; a level that admits everything is left out.
fn insert_level(headers: &mut HeaderMap, name: HeaderName, level: Level) {
    if level == Level::OPEN {
        return;
    }
    if let Ok(value) = HeaderValue::try_from(level.to_string()) {
        headers.insert(name, value);
    }
}

async fn try_serve(
    node: &Arc<Node>,
    cx: Context,
    inbound: &Inbound,
    instance: &InstanceId,
    body: RelayBody,
    serve_cx: ServeCx,
) -> Result<Response<RelayBody>, Refusal> {
    let ServeCx { kind, path_level, in_progress } = serve_cx;
    if node.lifecycle.is_leaving() {
        return Err(Refusal::not_run(Reason::Leaving));
    }
    if cx.depth > MAX_DEPTH {
        return Err(Refusal::not_run(Reason::TooDeep));
    }
    match node.local_standing(instance) {
        LocalStanding::Current => {}
        LocalStanding::Leaving | LocalStanding::Unlisted => {
            return Err(Refusal::not_run(Reason::Leaving));
        }
        LocalStanding::Departed => return Err(Refusal::not_run(Reason::InstanceGone)),
    }
    if !node.has_room_for(&cx) {
        return Err(Refusal::not_run(Reason::RetriesSpent));
    }
    let deadline = Instant::now() + cx.remaining;
    check_called_paths(node, &cx, kind, &path_level)?;
    let work = admission_work(node, &cx, kind);
    let is_idempotent_call = cx.depth > 0 && !cx.non_idempotent;
    let run = BoundedRun { sender: cx.sender, kind, is_idempotent_call };
    let stop_bound = StopBound::new(node, run);
    let admission = pin!(admit(node, inbound, cx.id, body, work, deadline));
    let admission = until_queue_closes(node, instance, admission);
    let (permit, payload, content) = stop_bound.bound(pin!(admission)).await?;
    check_ban(node, &content)?;
    // The deadline may have passed while the request waited, for example because the
    // process was paused.
    if Instant::now() >= deadline {
        return Err(Refusal::not_run(Reason::Expired));
    }
    if !node.count_arrival(&cx, Arrival::of(cx.repeat)) {
        return Err(Refusal::not_run(Reason::RetriesSpent));
    }
    let non_idempotent = cx.non_idempotent;
    let name = inbound.name.clone();
    node.called_paths.lock().record_request(&kind);
    let run = node.crash_watch.begin(content, name.clone());
    let parent = node.parents.open(cx, kind, name, deadline, path_level);
    let exchange = Exchange {
        inbound: inbound.clone(),
        payload,
        parent,
        permit,
        in_progress,
        stop_bound,
        passing: Passing::new(RunTimer::new(node, kind)),
        deadline,
        instance: instance.clone(),
        run,
        status: None,
    };
    match non_idempotent {
        true => run_detached(node, exchange).await,
        // At most as many run as there are slots; requests that wait do not hold room for it.
        false => Box::pin(run_attached(node, exchange)).await,
    }
}

/// Refuses a new request if no call of a path that its kind usually takes can succeed,
/// before it takes a slot.
///
/// Partly closed levels are left to the root, which averages over more answers. Calls on
/// behalf of other requests are not refused: work was spent on these.
fn check_called_paths(
    node: &Node,
    cx: &Context,
    kind: PlanKey,
    path_level: &Mutex<Level>,
) -> Result<(), Refusal> {
    if cx.depth > 0 {
        return Ok(());
    }
    let now = node.clock.now();
    let paths = node.called_paths.lock();
    let mut levels = node.path_levels.lock();
    for path in paths.usual(&kind) {
        if levels.level(now, path) > Level::CLOSED {
            continue;
        }
        if let Err(shed) = levels.check(now, path, cx.criticality, cx.hash, cx.objective) {
            *path_level.lock() = Level::CLOSED;
            return Err(refusal_from_shed(shed));
        }
    }
    Ok(())
}

/// Refuses a request with a content that has crashed several upstreams.
fn check_ban(node: &Node, content: &RequestContent) -> Result<(), Refusal> {
    let left = content.digest().and_then(|content| node.crash_watch.ban_left(content));
    match left {
        Some(left) => Err(Refusal::not_run(Reason::CrashSuspect).retry_after(left)),
        None => Ok(()),
    }
}

/// Waits for a slot and for what is needed of the body before the request is sent.
async fn admit(
    node: &Node,
    inbound: &Inbound,
    id: RequestId,
    body: RelayBody,
    work: Work,
    deadline: Instant,
) -> Result<(Permit, Payload, RequestContent), Refusal> {
    let permit = node.gate.enter(work).await.map_err(refusal_from_shed)?;
    let mut payload = Payload::read(body, deadline).await?;
    let content = RequestContent::of(inbound, &mut payload).of_request(id);
    if node.crash_watch.needs_body(content.head) {
        payload = payload.read_start(DIGESTED_BODY_BYTES, deadline).await?;
    }
    Ok((permit, payload, content))
}

/// Runs `waiting`, for which the request is not passed on, until requests that wait for the
/// instance are refused because it or the daemon leaves.
async fn until_queue_closes<T>(
    node: &Node,
    instance: &InstanceId,
    waiting: impl Future<Output = Result<T, Refusal>> + Unpin,
) -> Result<T, Refusal> {
    tokio::select! {
        biased;
        result = waiting => result,
        () = wait_until_queue_closes(node, instance) => Err(Refusal::not_run(Reason::Leaving)),
    }
}

/// Waits until the daemon or the instance leaves and queued requests must be refused.
async fn wait_until_queue_closes(node: &Node, instance: &InstanceId) {
    let daemon_leaves = async {
        node.lifecycle.wait_leaving().await;
        sleep(LEAVING_QUEUE_GRACE).await;
    };
    tokio::select! {
        () = daemon_leaves => {}
        () = node.wait_after_leave(instance, INSTANCE_LEAVING_QUEUE_GRACE) => {}
    }
}

/// Whether requests for an instance that were accepted before it left are refused by now.
pub(super) fn is_queue_closed(node: &Node, instance: &InstanceId) -> bool {
    let closes_at = node.left_at(instance).map(|at| at + INSTANCE_LEAVING_QUEUE_GRACE);
    closes_at.is_some_and(|at| at <= node.clock.now())
}

/// Runs a request that is cancelled if its caller disconnects.
async fn run_attached(
    node: &Arc<Node>,
    exchange: Exchange,
) -> Result<Response<RelayBody>, Refusal> {
    let wait_deadline = attached_wait_deadline(node, &exchange);
    let received = send(node, exchange, wait_deadline).await?;
    relay_response(node, received, wait_deadline).await
}

/// Reads a response to its end, as far as it is to be buffered, or relays it while it arrives.
async fn relay_response(
    node: &Arc<Node>,
    (mut rsp, lease, exchange): (Response<Incoming>, Lease, Exchange),
    wait_deadline: Instant,
) -> Result<Response<RelayBody>, Refusal> {
    let len = rsp.body().size_hint().exact();
    let is_delimited = is_delimited(&rsp);
    remove_hop_by_hop(rsp.headers_mut());
    if len.is_some_and(|len| len > BUFFERING_THRESHOLD_BYTES) {
        return Ok(stream_response(node, rsp, lease, exchange, wait_deadline));
    }
    if len.is_none() && is_delimited {
        return hold_response(node, rsp, lease, exchange, wait_deadline).await;
    }
    // Short ones, so that a truncated one becomes a failure that may be retried, and undelimited
    // ones, because only the end of the connection shows where they end.
    let is_own_error = is_own_error(&rsp, exchange.parent.parent());
    let mut rsp = buffer_response(node, rsp, lease, exchange, wait_deadline).await?;
    if is_own_error {
        rsp.headers_mut().insert(UPSTREAM_ERROR, HeaderValue::from_static("1"));
    }
    Ok(rsp)
}

/// Relays a response while it arrives.
fn stream_response(
    node: &Arc<Node>,
    rsp: Response<Incoming>,
    lease: Lease,
    exchange: Exchange,
    wait_deadline: Instant,
) -> Response<RelayBody> {
    let retries = exchange.parent.parent().take_retries();
    let rsp = rsp.map(|incoming| body::relay(lease.count(incoming)));
    let guard = ExchangeGuard::new(node, exchange, lease, Completion::Answered);
    let mut rsp = guard.watch(rsp, wait_deadline);
    rsp.headers_mut().insert(RETRIES_LEFT, retries.into());
    rsp
}

/// Reads a long response to its end, like a short one. If it is too long for that, the rest is
/// relayed while it arrives, and fails for its reader if it breaks off.
async fn hold_response(
    node: &Arc<Node>,
    rsp: Response<Incoming>,
    lease: Lease,
    exchange: Exchange,
    wait_deadline: Instant,
) -> Result<Response<RelayBody>, Refusal> {
    let parent = Arc::clone(exchange.parent.parent());
    let is_own_error = is_own_error(&rsp, &parent);
    let completion = if is_own_error { Completion::Failed } else { Completion::Answered };
    let rsp = rsp.map(|incoming| body::relay(lease.count(incoming)));
    let guard = ExchangeGuard::new(node, exchange, lease, completion);
    let (mut parts, body) = guard.watch(rsp, wait_deadline).into_parts();
    let held = node.response_memory.hold(body, MAX_BUFFERED_RESPONSE_BYTES).await;
    let retries = parent.take_retries();
    let body = match held {
        Ok(Held::Whole(body)) => {
            if is_own_error {
                parts.headers.insert(UPSTREAM_ERROR, HeaderValue::from_static("1"));
            }
            parts.extensions.insert(WholeInMemory);
            body
        }
        Ok(Held::Begun(body)) => body,
        Err(_) => return Err(Refusal::ran(Reason::UpstreamFailed)),
    };
    parts.headers.insert(RETRIES_LEFT, retries.into());
    Ok(Response::from_parts(parts, body))
}

/// Returns the time at which the owner stops waiting for the response to an idempotent
/// request.
///
/// The daemon that sent the request waits as long as the caller does. Without a daemon in
/// between, the owner has to end at the deadline itself.
fn attached_wait_deadline(node: &Node, exchange: &Exchange) -> Instant {
    let is_from_peer = exchange.parent.parent().cx.sender != node.incarnation;
    match is_from_peer {
        true => exchange.deadline + DEADLINE_ANSWER_GRACE,
        false => exchange.deadline,
    }
}

/// Runs a request to completion even if its caller disconnects, because cancelling
/// it halfway would leave its effects unknown.
async fn run_detached(
    node: &Arc<Node>,
    exchange: Exchange,
) -> Result<Response<RelayBody>, Refusal> {
    let (tx, rx) = oneshot::channel();
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let result = run_to_end(&node, exchange).await;
        // The receiver may be gone; the request has run to completion regardless.
        let _ = tx.send(result);
    });
    rx.await.unwrap_or_else(|_| Err(Refusal::unknown(Reason::UpstreamFailed)))
}

async fn run_to_end(node: &Arc<Node>, exchange: Exchange) -> Result<Response<RelayBody>, Refusal> {
    let wait_deadline = exchange.deadline + LATE_FINISH_GRACE;
    let answer_deadline = match node.dialect.ends_work_at_deadline() {
        true => exchange.deadline + ENDED_WORK_GRACE,
        false => wait_deadline,
    };
    let (mut rsp, lease, exchange) = send(node, exchange, answer_deadline).await?;
    let is_long = rsp.body().size_hint().exact().is_none_or(|len| len > BUFFERING_THRESHOLD_BYTES);
    let is_delimited = is_delimited(&rsp);
    remove_hop_by_hop(rsp.headers_mut());
    match is_long && is_delimited {
        true => hold_response(node, rsp, lease, exchange, wait_deadline).await,
        false => buffer_response(node, rsp, lease, exchange, wait_deadline).await,
    }
}

/// Whether a response is an error that the upstream itself has caused.
///
/// An upstream also answers with an error if one of its calls fails or its time is up;
/// another instance would answer alike.
fn is_own_error(rsp: &Response<Incoming>, parent: &Parent) -> bool {
    let status = rsp.status();
    status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT && !parent.lacks_call_answer()
}

/// Reads a complete response body into memory before it is relayed.
async fn buffer_response(
    node: &Arc<Node>,
    rsp: Response<Incoming>,
    lease: Lease,
    exchange: Exchange,
    wait_deadline: Instant,
) -> Result<Response<RelayBody>, Refusal> {
    let completion = match is_own_error(&rsp, exchange.parent.parent()) {
        true => Completion::Failed,
        false => Completion::Answered,
    };
    let (parts, incoming) = rsp.into_parts();
    let body = body::relay(lease.count(incoming));
    let guard = ExchangeGuard {
        node: Arc::clone(node),
        exchange: None,
        lease: Some(lease),
        whole: completion,
    };
    let guarded = GuardedBody::new(body, wait_deadline, guard).boxed_unsync();
    let buffered = node.response_memory.collect(guarded, MAX_BUFFERED_RESPONSE_BYTES).await;
    let retries = exchange.parent.parent().take_retries();
    let Ok(buffered) = buffered else {
        node.check_for_crash(&exchange.instance);
        exchange.complete(Completion::Failed);
        return Err(Refusal::ran(Reason::UpstreamFailed));
    };
    exchange.complete(completion);
    let mut rsp = Response::from_parts(parts, body::full(buffered));
    rsp.headers_mut().insert(RETRIES_LEFT, retries.into());
    Ok(rsp)
}

/// Completes the exchange and releases the connection when the response body ends.
struct ExchangeGuard {
    node: Arc<Node>,
    exchange: Option<Exchange>,
    lease: Option<Lease>,
    /// How the exchange is completed by a whole body.
    whole: Completion,
}

impl ExchangeGuard {
    fn new(node: &Arc<Node>, exchange: Exchange, lease: Lease, whole: Completion) -> Self {
        Self { node: Arc::clone(node), exchange: Some(exchange), lease: Some(lease), whole }
    }

    /// Returns the response with a body that completes the exchange when it ends.
    fn watch(self, rsp: Response<RelayBody>, wait_deadline: Instant) -> Response<RelayBody> {
        rsp.map(|body| GuardedBody::new(body, wait_deadline, self).boxed_unsync())
    }
}

impl OnEnd for ExchangeGuard {
    fn on_end(&mut self, end: BodyEnd) {
        let lease = self.lease.take();
        if let (BodyEnd::Whole, Some(lease)) = (end, lease) {
            lease.release();
        }
        let Some(exchange) = self.exchange.take() else { return };
        if end == BodyEnd::Failed {
            self.node.check_for_crash(&exchange.instance);
        }
        exchange.complete(match end {
            BodyEnd::Whole => self.whole,
            BodyEnd::Failed => Completion::Failed,
            BodyEnd::Dropped => Completion::Cancelled,
        });
    }
}

fn admission_work(node: &Node, cx: &Context, kind: PlanKey) -> Work {
    let now = node.clock.now();
    Work {
        criticality: cx.criticality,
        hash: cx.hash,
        depth: cx.depth,
        kind,
        deadline: now + cx.remaining,
        objective: cx.objective.map(|left| now + left),
        may_wait: cx.may_wait,
        weight: cx.weight,
    }
}

/// Returns the rule or route that matches a request in the rules version in force
/// on this daemon, which may briefly differ from the sender's version.
fn matching_plan_key(node: &Node, inbound: &Inbound) -> PlanKey {
    let rules = node.rules();
    let key = |rules: Arc<ActiveRules>| {
        rules.policy.plan_key(&inbound.host, &inbound.method, inbound.path.path())
    };
    rules.and_then(key).unwrap_or_default()
}

fn refusal_from_shed(shed: Shed) -> Refusal {
    let reason = match shed.reason {
        ShedReason::Level | ShedReason::QueueFull | ShedReason::NoWait => Reason::Overloaded,
        ShedReason::Objective => Reason::Overloaded,
        ShedReason::RateLimit => Reason::RateLimited,
        ShedReason::Deadline => Reason::Expired,
    };
    Refusal::not_run(reason).retry_after(shed.retry_after)
}
