//! Serves requests to the operator listener.

use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::ALLOW;
use http::header::CONTENT_TYPE;
use indexmap::IndexMap;
use serde::Serialize;

use super::DrainReport;
use super::ErrorReport;
use super::RulesReport;
use super::StatusReport;
use crate::connection::body;
use crate::connection::body::RelayBody;
use crate::process::burn::BurnReport;

/// Access to a daemon for the operator API.
pub trait OperatorApi {
    /// Returns the current status of the daemon.
    fn status(&self) -> StatusReport;

    /// Returns the daemon's error-budget burn.
    fn burn(&self) -> BurnReport;

    /// Returns every counter that is not zero.
    fn counters(&self) -> IndexMap<String, u64>;

    /// Returns the rules in force, or `None` if the daemon has none yet.
    fn rules(&self) -> Option<RulesReport>;

    /// Begins a graceful shutdown, or reports the one in progress.
    fn drain(&self) -> DrainReport;
}

/// The supported requests, as listed in error hints.
const SUPPORTED_REQUESTS: &str = "GET /status, GET /burn, GET /counters, GET /rules, POST /drain";

/// Serves one request of an operator. A request body is ignored.
pub fn serve<B>(operated: &impl OperatorApi, req: &Request<B>) -> Response<RelayBody> {
    match (req.uri().path(), req.method()) {
        ("/status", &Method::GET) => json_response(StatusCode::OK, &operated.status()),
        ("/burn", &Method::GET) => json_response(StatusCode::OK, &operated.burn()),
        ("/counters", &Method::GET) => json_response(StatusCode::OK, &operated.counters()),
        ("/rules", &Method::GET) => rules_response(operated.rules()),
        ("/drain", &Method::POST) => json_response(StatusCode::OK, &operated.drain()),
        ("/status" | "/burn" | "/counters" | "/rules", _) => method_not_allowed("GET"),
        ("/drain", _) => method_not_allowed("POST"),
        (path, _) => error_response(StatusCode::NOT_FOUND, &format!("nothing is served at {path}")),
    }
}

fn rules_response(report: Option<RulesReport>) -> Response<RelayBody> {
    match report {
        Some(report) => json_response(StatusCode::OK, &report),
        None => error_response(StatusCode::SERVICE_UNAVAILABLE, "no rules are in force yet"),
    }
}

fn method_not_allowed(allowed: &'static str) -> Response<RelayBody> {
    let mut rsp =
        error_response(StatusCode::METHOD_NOT_ALLOWED, "the method does not fit the path");
    rsp.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    rsp
}

fn error_response(status: StatusCode, error: &str) -> Response<RelayBody> {
    let hint = format!("ask one of {SUPPORTED_REQUESTS}");
    json_response(status, &ErrorReport { error: error.to_owned(), hint })
}

fn json_response(status: StatusCode, value: &impl Serialize) -> Response<RelayBody> {
    let text = serde_json::to_vec(value);
    let text = text.expect("all map keys in reports are strings");
    let mut rsp = Response::new(body::full(text));
    *rsp.status_mut() = status;
    rsp.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    rsp
}
