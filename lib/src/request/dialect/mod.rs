//! The HTTP conventions of callers and of the local upstream, which an adapter can
//! replace.
//!
//! Requests between daemons always follow the project's own conventions, so only
//! the first and the last daemon that handle a request use a dialect. A dialect
//! translates headers and responses and makes no decisions; see
//! `docs/design/platform.md`.

mod own;

use std::fmt;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::Response;
use http::StatusCode;

pub use self::own::NativeDialect;
use super::Refusal;
use super::parent::Handle;
use crate::connection::body::RelayBody;
use crate::process::CustomerName;
use crate::process::InstanceId;
use crate::process::RequestName;
use crate::process::ServiceName;
use crate::process::admission::LimitNotice;
use crate::process::admission::RequestRate;

/// Information about a request from headers that its sender set.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SenderInfo {
    /// Name that the sender gave this attempt.
    pub name: Option<RequestName>,
    /// Time that the sender waits for the answer.
    pub deadline: Option<Duration>,
}

/// Information about a request that a dialect adds to the headers for the upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamInfo<'a> {
    /// Host from the caller's request.
    pub host: &'a str,
    /// Name that the caller gave this attempt.
    pub name: Option<&'a RequestName>,
    /// Service of the VM whose daemon received the request first.
    pub origin: Option<&'a ServiceName>,
    /// Customer that the request belongs to.
    pub customer: Option<&'a CustomerName>,
    /// Service that the request is for.
    pub service: &'a ServiceName,
    /// The one instance that may run the request.
    pub instance: &'a InstanceId,
    /// Time left until the complete answer must have arrived.
    pub left: Duration,
    /// Handle that the upstream may copy into its own calls, to link them to the
    /// request.
    pub handle: Handle,
}

/// No header can carry the name of the one instance that may run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnnamedInstance;

/// What an upstream says about itself in an answer, whichever request it answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamNotice {
    /// Limit on the requests that the upstream takes from all daemons together.
    pub limit: LimitNotice,
    /// Whether the upstream says that it is leaving.
    pub is_leaving: bool,
}

/// What the answer of an upstream says about the request it was sent for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseClass {
    /// The upstream ran the request, and this is its answer.
    Answered,
    /// The upstream was overloaded and did not run the request.
    Shed,
    /// The upstream says that it did not run the request, but calls that it made for the request
    /// may have run.
    Contradicted,
    /// The address now belongs to another upstream, which did not run the request.
    Misdirected,
    /// The answer belongs to another request, or does not say to which.
    Foreign,
    /// Its status is none of an answer, so that nothing else in it can be believed.
    Unusable,
}

/// Which request the upstream names in its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Echo {
    /// Answers of the dialect name no request.
    Unused,
    /// The request for which the answer was received.
    Own,
    /// Another request.
    Other,
    /// No request, although answers of the dialect name theirs.
    Missing,
}

impl ResponseClass {
    /// Returns the class of an answer with this echo.
    ///
    /// An answer without a name may be a late one to an earlier request on the
    /// connection, so that it proves nothing about this request.
    pub fn for_echo(self, echo: Echo) -> Self {
        match echo {
            Echo::Unused | Echo::Own => self,
            Echo::Other | Echo::Missing => Self::Foreign,
        }
    }
}

/// Returns the limit that the headers `name` state.
///
/// Of several valid values the lowest counts.
pub fn limit_notice(headers: &HeaderMap, name: &HeaderName) -> LimitNotice {
    let values = headers.get_all(name).iter();
    let rates = values.filter_map(|value| value.to_str().ok()?.parse::<RequestRate>().ok());
    let lowest = rates.min_by(|a, b| a.per_second().total_cmp(&b.per_second()));
    match lowest {
        Some(rate) => LimitNotice::Stated(rate),
        None if headers.contains_key(name) => LimitNotice::Malformed,
        None => LimitNotice::Absent,
    }
}

/// HTTP conventions of callers and of the local upstream.
pub trait Dialect: fmt::Debug + Send + Sync + 'static {
    /// Returns the headers with special meaning to the daemon that callers may set.
    fn caller_headers(&self) -> &'static [HeaderName];

    /// Returns the headers of an upstream's answer that are passed on to the caller
    /// even though their names begin with the reserved prefix.
    fn answer_headers(&self) -> &'static [HeaderName];

    /// Whether callers give each attempt a unique name, so that non-idempotent
    /// attempts need no idempotency token.
    fn names_attempts(&self) -> bool;

    /// Whether an upstream stops work at the deadline that it is told, so that an answer which
    /// has not begun soon after it never will.
    fn ends_work_at_deadline(&self) -> bool;

    /// Whether an answer without a length is complete when the upstream closes the
    /// connection. A reset never completes an answer.
    fn allows_close_delimited(&self) -> bool;

    /// Returns the authentication scheme of the header in which callers send their keys.
    fn key_scheme(&self) -> &'static str;

    /// Removes the sender's information about a request from the headers and
    /// returns it.
    ///
    /// # Errors
    ///
    /// Fails if a header is malformed or a required one is missing.
    fn take_sender_info(&self, headers: &mut HeaderMap) -> Result<SenderInfo, Refusal>;

    /// Returns the name of the request on whose behalf an upstream made the request
    /// called `name`, if the name contains it.
    fn parent_of<'a>(&self, name: &'a RequestName) -> Option<&'a str>;

    /// Adds the headers that inform the upstream about a request.
    ///
    /// # Errors
    ///
    /// Fails if the dialect names the instance that may run the request, but no header can
    /// carry its name: any upstream at the address would run the request.
    fn insert_upstream_headers(
        &self,
        headers: &mut HeaderMap,
        info: &UpstreamInfo<'_>,
    ) -> Result<(), UnnamedInstance>;

    /// Determines what an upstream's answer says in its status and headers about the
    /// request that it names.
    fn classify_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseClass;

    /// Returns what an upstream says about itself in the headers of an answer.
    fn upstream_notice(&self, headers: &HeaderMap) -> UpstreamNotice;

    /// Determines whether an upstream's answer names the request called `name`.
    fn echo(&self, headers: &HeaderMap, name: Option<&RequestName>) -> Echo;

    /// Adds the headers that tell the caller that the upstream itself failed.
    fn mark_failure(&self, headers: &mut HeaderMap);

    /// Builds the answer that a caller receives instead of an upstream's.
    fn refuse(&self, refusal: Refusal) -> Response<RelayBody>;
}
