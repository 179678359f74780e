//! The dialect that the project defines itself.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use super::Dialect;
use super::Echo;
use super::ResponseClass;
use super::SenderInfo;
use super::UnnamedInstance;
use super::UpstreamInfo;
use super::UpstreamNotice;
use super::limit_notice;
use crate::connection::body::RelayBody;
use crate::process::RequestName;
use crate::request::CONTEXT;
use crate::request::CUSTOMER;
use crate::request::DEADLINE_MS;
use crate::request::KEY_SCHEME;
use crate::request::OUTCOME;
use crate::request::Outcome;
use crate::request::RATE_LIMIT;
use crate::request::REASON;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::TOKEN;

/// Headers of the project that callers may set.
static CALLER_HEADERS: [HeaderName; 2] = [TOKEN, DEADLINE_MS];

/// The dialect that the project defines itself.
///
/// The `Host` header names the service, idempotency tokens identify non-idempotent
/// requests, and upstreams copy a handle into their calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeDialect;

impl Dialect for NativeDialect {
    fn caller_headers(&self) -> &'static [HeaderName] {
        &CALLER_HEADERS
    }

    fn answer_headers(&self) -> &'static [HeaderName] {
        &[]
    }

    fn names_attempts(&self) -> bool {
        false
    }

    fn ends_work_at_deadline(&self) -> bool {
        false
    }

    fn allows_close_delimited(&self) -> bool {
        false
    }

    fn key_scheme(&self) -> &'static str {
        KEY_SCHEME
    }

    fn take_sender_info(&self, headers: &mut HeaderMap) -> Result<SenderInfo, Refusal> {
        let Some(value) = headers.remove(DEADLINE_MS) else { return Ok(SenderInfo::default()) };
        let millis = value.to_str().ok().and_then(|text| text.parse().ok());
        let millis = millis.ok_or(Refusal::not_run(Reason::Malformed))?;
        Ok(SenderInfo { name: None, deadline: Some(Duration::from_millis(millis)) })
    }

    fn parent_of<'a>(&self, _name: &'a RequestName) -> Option<&'a str> {
        None
    }

    fn insert_upstream_headers(
        &self,
        headers: &mut HeaderMap,
        info: &UpstreamInfo<'_>,
    ) -> Result<(), UnnamedInstance> {
        if let Ok(host) = HeaderValue::from_str(info.service.as_str()) {
            headers.insert(header::HOST, host);
        }
        if let Ok(handle) = HeaderValue::try_from(info.handle.to_string()) {
            headers.insert(CONTEXT, handle);
        }
        if let Some(customer) = info.customer
            && let Ok(customer) = HeaderValue::from_str(customer.as_str())
        {
            headers.insert(CUSTOMER, customer);
        }
        let left_ms = u64::try_from(info.left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE_MS, left_ms.into());
        Ok(())
    }

    fn classify_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseClass {
        let is_marked_not_run = headers.get(OUTCOME).is_some_and(|value| value == "not-run");
        match is_marked_not_run && status == StatusCode::SERVICE_UNAVAILABLE {
            true => ResponseClass::Shed,
            false => ResponseClass::Answered,
        }
    }

    fn upstream_notice(&self, headers: &HeaderMap) -> UpstreamNotice {
        UpstreamNotice {
            limit: limit_notice(headers, &RATE_LIMIT),
            // An upstream of the own interface leaves through its daemon.
            is_leaving: false,
        }
    }

    fn echo(&self, _headers: &HeaderMap, _name: Option<&RequestName>) -> Echo {
        Echo::Unused
    }

    fn mark_failure(&self, headers: &mut HeaderMap) {
        headers.insert(OUTCOME, HeaderValue::from_static(Outcome::Ran.as_str()));
        headers.insert(REASON, HeaderValue::from_static(Reason::UpstreamFailed.as_str()));
    }

    fn refuse(&self, refusal: Refusal) -> Response<RelayBody> {
        refusal.into_response()
    }
}
