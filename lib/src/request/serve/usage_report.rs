//! Reports the usage of customers to the daemon that coordinates it; see
//! `docs/design/customer-caps.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::connection::body;
use crate::connection::body::RelayBody;
use crate::connection::body::RelayError;
use crate::connection::peers::PeerError;
use crate::process::customers::UsageAnswer;
use crate::process::customers::UsageReport;
use crate::process::node::Node;
use crate::request::USAGE;

/// Longest wait for the answer of a coordinator, after which the next one is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two looks at the configuration while no customer has a cap.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// The same before there is a configuration. Until the first answer, a daemon admits its even
/// part of each cap only.
const START_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest pause after a report, so that a surge does not send one for each request.
const PAUSE_MIN: Duration = Duration::from_millis(20);
/// Pause while there is no coordinator to report to.
const NO_COORDINATOR_PAUSE: Duration = Duration::from_millis(100);
/// Longest message that is accepted, in bytes: 4,000 customers at 64 bytes each.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Why a report was not answered.
#[derive(Debug, Snafu)]
enum ReportError {
    #[snafu(display("the daemon did not respond within {ANSWER_TIMEOUT:?}"))]
    Silent,
    #[snafu(display("the report could not be sent to the daemon"))]
    Exchange { source: PeerError },
    #[snafu(display("the answer could not be read"))]
    Body { source: RelayError },
    #[snafu(display("the message could not be serialized or parsed"))]
    Text { source: serde_json::Error },
    #[snafu(display("the request could not be built"))]
    Head { source: http::Error },
    #[snafu(display("the daemon has no configuration, or does not understand the report"))]
    Rejected,
}

/// Reports this daemon's usage until the process ends.
pub async fn report_usage(node: Arc<Node>) {
    loop {
        match node.usage_report_due_in() {
            None => {
                let is_configured = node.config().rules.borrow().is_some();
                sleep(if is_configured { IDLE_INTERVAL } else { START_INTERVAL }).await;
                continue;
            }
            Some(due_in) if !due_in.is_zero() => tokio::select! {
                () = sleep(due_in) => {}
                () = node.customers.surged.notified() => {}
            },
            Some(_) => {}
        }
        if node.usage_report_due_in().is_some_and(|due_in| due_in.is_zero()) {
            send_reports(&node).await;
        }
        sleep(PAUSE_MIN).await;
    }
}

async fn send_reports(node: &Arc<Node>) {
    let reports = node.take_usage_reports();
    if reports.is_empty() {
        sleep(NO_COORDINATOR_PAUSE).await;
        return;
    }
    // A coordinator that does not answer must not delay the reports to the other one.
    for (coordinator, report) in reports {
        let node = Arc::clone(node);
        tokio::spawn(async move { send_report(&node, coordinator, &report).await });
    }
}

async fn send_report(node: &Node, coordinator: SocketAddr, report: &UsageReport) {
    let answer = match coordinator == node.peer_addr {
        true => node.answer_usage_report(report).ok_or(ReportError::Rejected),
        false => timeout(ANSWER_TIMEOUT, ask(node, coordinator, report))
            .await
            .unwrap_or_else(|_| SilentSnafu.fail()),
    };
    match answer {
        Ok(answer) => node.apply_usage_answer(coordinator, report, &answer),
        Err(err) => {
            spdlog::debug!("event=usage-not-reported coordinator={coordinator} error={err:?}");
            node.record_unanswered_usage(coordinator);
        }
    }
}

async fn ask(
    node: &Node,
    coordinator: SocketAddr,
    report: &UsageReport,
) -> Result<UsageAnswer, ReportError> {
    let json = serde_json::to_vec(report).context(TextSnafu)?;
    let req = Request::post(format!("http://{coordinator}/"))
        .header(USAGE, HeaderValue::from_static("1"))
        .body(body::full(json))
        .context(HeadSnafu)?;
    let rsp = node.peers.send(coordinator, req).await.context(ExchangeSnafu)?;
    if rsp.status() != StatusCode::OK {
        return RejectedSnafu.fail();
    }
    parse(body::relay(rsp.into_body())).await
}

async fn parse<T: serde::de::DeserializeOwned>(body: RelayBody) -> Result<T, ReportError> {
    let json = body::collect(body, MAX_MESSAGE_BYTES).await.context(BodySnafu)?;
    serde_json::from_slice(&json).context(TextSnafu)
}

/// Answers the report of another daemon.
pub(super) async fn receive(node: &Node, req: Request<RelayBody>) -> Response<RelayBody> {
    let report: Result<UsageReport, _> = parse(req.into_body()).await;
    let answer = match report {
        Ok(report) => node.answer_usage_report(&report),
        Err(err) => {
            spdlog::warn!("event=usage-report-unreadable error={err:?}");
            None
        }
    };
    let json = answer.and_then(|answer| serde_json::to_vec(&answer).ok());
    let mut rsp = Response::new(body::full(json.clone().unwrap_or_default()));
    if json.is_none() {
        *rsp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    rsp
}
