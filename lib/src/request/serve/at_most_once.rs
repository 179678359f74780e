//! Runs each non-idempotent request at most once, by means of idempotency tokens.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Response;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::call::Call;
use super::call::dispatch;
use super::owner::MAX_BUFFERED_RESPONSE_BYTES;
use crate::connection::body;
use crate::connection::body::RelayBody;
use crate::process::burn::Role;
use crate::process::metrics::Counter;
use crate::process::node::Answer;
use crate::process::node::End;
use crate::process::node::Node;
use crate::process::node::RunEnd;
use crate::process::node::RunStart;
use crate::request::DEADLINE_MS;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::TOKEN;
use crate::request::idempotency::Token;

/// Retry delay returned to a caller whose request may still be running.
const STILL_RUNNING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Runs a request whose token this daemon issued. If the token was used before,
/// returns the result of that run instead.
///
/// The run belongs to the token and not to the caller: it continues if the caller
/// disconnects, and a repeated request with the same token waits for its result.
pub(super) async fn run_with_token(
    node: &Arc<Node>,
    token: &Token,
    request: Call,
) -> Result<Response<RelayBody>, Refusal> {
    let deadline = request.deadline;
    let fingerprint = request.inbound.fingerprint(&request.payload);
    let mut rx = match node.tokens.begin(token, fingerprint) {
        RunStart::Ended(end) => {
            node.metrics.count(Counter::TokensReplayed);
            return end.into_result();
        }
        RunStart::Attach(rx) => {
            node.metrics.count(Counter::TokensReplayed);
            request.request.set_passed_on();
            rx
        }
        RunStart::Run(run, rx) => {
            node.metrics.count(Counter::TokensUsed);
            let node = Arc::clone(node);
            let in_progress = node.lifecycle.begin(Role::Entry);
            in_progress.handle().set_name(request.inbound.name.as_ref());
            in_progress.handle().set_passed_on();
            tokio::spawn(async move {
                run.finish(execute(&node, request).await);
                in_progress.set_end(End::Answered);
                drop(in_progress);
            });
            rx
        }
    };
    let finished = timeout_at(deadline, rx.wait_for(Option::is_some)).await;
    match finished {
        Ok(Ok(end)) => match end.clone() {
            Some(end) => end.into_result(),
            None => Err(Refusal::unknown(Reason::OutcomeUnknown)),
        },
        Ok(Err(_)) => Err(Refusal::unknown(Reason::OutcomeUnknown)),
        Err(_) => {
            Err(Refusal::unknown(Reason::StillRunning).retry_after(STILL_RUNNING_RETRY_AFTER))
        }
    }
}

async fn execute(node: &Arc<Node>, request: Call) -> RunEnd {
    let rsp = match dispatch(node, request).await {
        Ok(rsp) => rsp,
        Err(refusal) => return RunEnd::Refused(refusal),
    };
    let (parts, body) = rsp.into_parts();
    match body::collect(body, MAX_BUFFERED_RESPONSE_BYTES).await {
        Ok(body) => {
            let answer = Answer { status: parts.status, headers: parts.headers, body };
            RunEnd::Answered(Arc::new(answer))
        }
        Err(body::RelayError::TooLong { .. }) => {
            RunEnd::Refused(Refusal::ran(Reason::AnswerTooLong))
        }
        Err(_) => RunEnd::Refused(Refusal::ran(Reason::PeerFailed)),
    }
}

/// Forwards a request to the daemon that issued its token.
///
/// Only that daemon can report the outcome `not-run`. Any failure on the way to it
/// has an unknown outcome, because a copy of the request may be running there.
pub(super) async fn send_to_issuer(
    node: &Arc<Node>,
    token: &Token,
    mut request: Call,
) -> Result<Response<RelayBody>, Refusal> {
    if !is_known_daemon(node, token.issuer) {
        return Err(Refusal::unknown(Reason::TokenIssuerGone));
    }
    let deadline = request.deadline;
    let body = request.payload.take_body().unwrap_or_else(body::empty);
    let built = request.inbound.to_request(body);
    let mut req = built.map_err(|refusal| Refusal::unknown(refusal.reason))?;
    let headers = req.headers_mut();
    if let Ok(value) = HeaderValue::try_from(token.to_string()) {
        headers.insert(TOKEN, value);
    }
    let left = deadline.saturating_duration_since(Instant::now());
    headers.insert(DEADLINE_MS, u64::try_from(left.as_millis()).unwrap_or(u64::MAX).into());
    let rsp = match timeout_at(deadline, node.peers.send(token.issuer, req)).await {
        Ok(Ok(rsp)) => rsp.map(body::relay),
        Ok(Err(err)) if err.is_unsent() => {
            let refusal = Refusal::unknown(Reason::TokenIssuerUnreachable);
            return Err(refusal.retry_after(STILL_RUNNING_RETRY_AFTER));
        }
        Ok(Err(_)) => return Err(Refusal::unknown(Reason::PeerFailed)),
        Err(_) => {
            let refusal = Refusal::unknown(Reason::StillRunning);
            return Err(refusal.retry_after(STILL_RUNNING_RETRY_AFTER));
        }
    };
    match Refusal::from_headers(rsp.headers()) {
        Some(refusal) => Err(refusal),
        None => Ok(rsp),
    }
}

/// Whether a token's issuer is a known daemon. A caller can put any address into a
/// token, and the daemon must not connect to arbitrary ones.
fn is_known_daemon(node: &Node, issuer: SocketAddr) -> bool {
    node.daemons().iter().any(|daemon| daemon.peer == issuer)
}
