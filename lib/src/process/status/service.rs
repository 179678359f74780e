//! Answers operators.

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

/// A daemon as its operators see it.
pub trait Operated {
    /// Returns what the daemon is doing.
    fn status(&self) -> StatusReport;

    /// Returns the daemon's burn.
    fn burn(&self) -> BurnReport;

    /// Returns every counter that is not zero.
    fn counters(&self) -> IndexMap<String, u64>;

    /// Returns the rules in force.
    fn rules(&self) -> Option<RulesReport>;

    /// Begins a graceful shutdown, or reports the one in progress.
    fn drain(&self) -> DrainReport;
}

/// The questions that are answered.
const PATHS: &str = "GET /status, GET /burn, GET /counters, GET /rules, POST /drain";

/// Answers one question of an operator; its body, if any, is not read.
pub fn serve<B>(operated: &impl Operated, req: &Request<B>) -> Response<RelayBody> {
    match (req.uri().path(), req.method()) {
        ("/status", &Method::GET) => json(StatusCode::OK, &operated.status()),
        ("/burn", &Method::GET) => json(StatusCode::OK, &operated.burn()),
        ("/counters", &Method::GET) => json(StatusCode::OK, &operated.counters()),
        ("/rules", &Method::GET) => rules(operated.rules()),
        ("/drain", &Method::POST) => json(StatusCode::OK, &operated.drain()),
        ("/status" | "/burn" | "/counters" | "/rules", _) => wrong_method("GET"),
        ("/drain", _) => wrong_method("POST"),
        (path, _) => error(StatusCode::NOT_FOUND, &format!("nothing is served at {path}")),
    }
}

fn rules(report: Option<RulesReport>) -> Response<RelayBody> {
    match report {
        Some(report) => json(StatusCode::OK, &report),
        None => error(StatusCode::SERVICE_UNAVAILABLE, "no rules are in force yet"),
    }
}

fn wrong_method(allowed: &'static str) -> Response<RelayBody> {
    let mut rsp = error(StatusCode::METHOD_NOT_ALLOWED, "the method does not fit the path");
    rsp.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    rsp
}

fn error(status: StatusCode, error: &str) -> Response<RelayBody> {
    let hint = format!("ask one of {PATHS}");
    json(status, &ErrorReport { error: error.to_owned(), hint })
}

fn json(status: StatusCode, value: &impl Serialize) -> Response<RelayBody> {
    let text = serde_json::to_vec(value);
    let text = text.expect("a report has only names as keys, which JSON can hold");
    let mut rsp = Response::new(body::full(text));
    *rsp.status_mut() = status;
    rsp.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    rsp
}
