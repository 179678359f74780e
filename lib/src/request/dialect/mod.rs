//! How callers and the local upstream speak: the edge that an adapter replaces.
//!
//! Requests between daemons always speak the project's own language, so only
//! the first and the last daemon on a request's way look at a dialect. A dialect
//! translates and decides nothing; see `docs/design/platform.md`.

mod own;

use std::fmt;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::Response;
use http::StatusCode;

pub use self::own::OwnDialect;
use super::Refusal;
use super::parent::Handle;
use crate::connection::body::RelayBody;
use crate::process::InstanceId;
use crate::process::RequestName;
use crate::process::ServiceName;

/// What the sender of a request says of it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Asked {
    /// Name of this attempt.
    pub name: Option<RequestName>,
    /// Time for which the sender waits.
    pub deadline: Option<Duration>,
}

/// What the upstream is told of a request beside its own head.
#[derive(Clone, Copy, Debug)]
pub struct Handover<'a> {
    /// Host that the caller named.
    pub host: &'a str,
    /// Name that the caller gave this attempt.
    pub name: Option<&'a RequestName>,
    /// Service of the VM where the request began.
    pub origin: Option<&'a ServiceName>,
    /// Service that the request is for.
    pub service: &'a ServiceName,
    /// The one instance that may run the request.
    pub instance: &'a InstanceId,
    /// Time left for the whole answer.
    pub left: Duration,
    /// Handle that the upstream may copy onto its own calls.
    pub handle: Handle,
}

/// What an upstream's answer says of its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// It is the answer of a run.
    Answered,
    /// The upstream had no room and did not run the request.
    Shed,
    /// Another upstream holds the address and did not run the request.
    Elsewhere,
    /// It answers another request.
    Foreign,
}

/// How callers and the local upstream speak.
pub trait Dialect: fmt::Debug + Send + Sync + 'static {
    /// Returns the headers of ours that a caller may send.
    fn caller_headers(&self) -> &'static [HeaderName];

    /// Returns the headers of an upstream's answer that reach the caller though
    /// they bear our prefix.
    fn answer_headers(&self) -> &'static [HeaderName];

    /// Whether each attempt of a caller bears a name of its own, so that a
    /// non-idempotent one needs no idempotency token.
    fn names_attempts(&self) -> bool;

    /// Whether the end of a connection ends an answer without a length; a reset
    /// never does.
    fn ends_by_close(&self) -> bool;

    /// Takes what the sender says of a request out of its headers.
    ///
    /// # Errors
    ///
    /// Fails if a header cannot be read.
    fn take_asked(&self, headers: &mut HeaderMap) -> Result<Asked, Refusal>;

    /// Returns the name of the request on whose behalf an upstream made this
    /// one, where the names tell.
    fn parent_of<'a>(&self, name: &'a RequestName) -> Option<&'a str>;

    /// Adds what the upstream is told.
    fn hand_over(&self, headers: &mut HeaderMap, handover: &Handover<'_>);

    /// Reads what an upstream's answer says of the request called `name`.
    fn claim(&self, status: StatusCode, headers: &HeaderMap, name: Option<&RequestName>) -> Claim;

    /// Marks an upstream's own failure on its way to the caller.
    fn mark_failure(&self, headers: &mut HeaderMap);

    /// Builds the answer that a caller receives in place of an upstream's.
    fn refuse(&self, refusal: Refusal) -> Response<RelayBody>;
}
