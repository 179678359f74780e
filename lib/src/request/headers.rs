//! Names of the request and response headers that endivescale defines.
//!
//! Only the peer listener accepts all of the request headers. The other listeners
//! remove them, except for the few that callers and upstreams may set.
//! `docs/architecture.md` lists which component writes and which one reads each
//! header.

use http::HeaderName;

/// Prefix of the headers that endivescale defines.
pub const HEADER_PREFIX: &str = "endivescale-";

/// Request context, sent between daemons; towards the local upstream, the handle of
/// the request.
pub const CONTEXT: HeaderName = HeaderName::from_static("endivescale-context");

/// Time left for the request, in whole milliseconds; set by callers and towards the
/// upstream.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("endivescale-deadline-ms");

/// Outcome of a refused or failed request; see [`super::Outcome`].
pub const OUTCOME: HeaderName = HeaderName::from_static("endivescale-outcome");

/// Reason for which a request was refused or failed, as one word for scripts; see
/// [`super::Reason`].
pub const REASON: HeaderName = HeaderName::from_static("endivescale-reason");

/// Idempotency token, issued by a daemon and sent back by the caller.
pub const TOKEN: HeaderName = HeaderName::from_static("endivescale-token");

/// Number of unused retry tokens that an answer returns to the daemon that sent the
/// request.
pub const RETRIES_LEFT: HeaderName = HeaderName::from_static("endivescale-retries-left");

/// Admission level of the answering daemon; omitted if the level admits everything.
pub const LEVEL: HeaderName = HeaderName::from_static("endivescale-level");

/// Load of the answering daemon's upstream; see
/// [`crate::process::routing::LoadReport`].
pub const LOAD: HeaderName = HeaderName::from_static("endivescale-load");

/// Strictest admission level among the daemons that served the request and its
/// calls; omitted if the level admits everything.
pub const PATH_LEVEL: HeaderName = HeaderName::from_static("endivescale-path-level");

/// Level up to which the answering daemon and the services that the request calls grant repeats
/// of it; omitted if that is all. See [`crate::process::repeats::PathRoom`].
pub const REPEAT_LEVEL: HeaderName = HeaderName::from_static("endivescale-repeat-level");

/// Limit on the rate of requests that an upstream states in its answers, in requests per
/// second. Between daemons, the limit that the sender knows of; see
/// [`crate::process::admission::KnownLimit`].
pub const RATE_LIMIT: HeaderName = HeaderName::from_static("endivescale-rate-limit");

/// Name that the caller gave this attempt; sent between daemons.
pub const NAME: HeaderName = HeaderName::from_static("endivescale-name");

/// Service that the request is for; sent between daemons, since the host may name
/// another one.
pub const SERVICE: HeaderName = HeaderName::from_static("endivescale-service");

/// Service of the VM whose daemon received the request first; sent between daemons.
pub const ORIGIN: HeaderName = HeaderName::from_static("endivescale-origin");

/// Name of the customer that a request belongs to; sent between daemons and to the upstream.
pub const CUSTOMER: HeaderName = HeaderName::from_static("endivescale-customer");

/// Authentication scheme of the `Authorization` header in which callers send their keys.
pub const KEY_SCHEME: &str = "Bearer";

/// Version of the rules that the answering daemon applies, and how old its knowledge is that no
/// newer one exists; see [`crate::process::customers::Stamp`].
pub const CONFIRMED: HeaderName = HeaderName::from_static("endivescale-confirmed");

/// Marks a message to another daemon about the usage of customers instead of a request for a
/// service.
pub const USAGE: HeaderName = HeaderName::from_static("endivescale-usage");

/// The only instance that may run the request; sent between daemons.
pub const INSTANCE: HeaderName = HeaderName::from_static("endivescale-instance");

/// Set on the answers of a daemon that is leaving, or whose upstream is, so that peers
/// send it no new requests.
pub const LEAVING: HeaderName = HeaderName::from_static("endivescale-leaving");

/// Value of [`LEAVING`] if the upstream itself has said that it is leaving, so that requests
/// can only be sent to a later start of it. Any other value concerns its daemon.
pub const UPSTREAM_LEAVING: &str = "upstream";

/// Identity of the daemon that sends a message, and the time left until its stop ends; sent
/// while it stops. Without a request, the message only says so.
pub const STOPPING: HeaderName = HeaderName::from_static("endivescale-stopping");

/// Set between daemons on an upstream's error that none of its calls has caused, so that
/// an idempotent request may be tried elsewhere.
pub const UPSTREAM_ERROR: HeaderName = HeaderName::from_static("endivescale-upstream-error");

/// Marks a message to another daemon that carries the configuration in force
/// instead of a request for a service.
pub const HELD: HeaderName = HeaderName::from_static("endivescale-held");

/// Marks a message to another daemon about crashes of upstreams instead of a request for a
/// service.
pub const CRASHES: HeaderName = HeaderName::from_static("endivescale-crashes");

/// Checksum of the head of a message between daemons; see
/// [`crate::connection::seal`].
pub const SEAL: HeaderName = HeaderName::from_static("endivescale-seal");

/// Number by which the checksum of a request differs from those of others with an equal head.
pub const SEAL_NUMBER: HeaderName = HeaderName::from_static("endivescale-seal-number");

/// Version of the rules that the sending daemon applied.
pub const RULES_VERSION: HeaderName = HeaderName::from_static("endivescale-rules-version");

/// Name that the caller gives a non-idempotent request, for people and logs; part
/// of the request's fingerprint.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Delay of `Retry-After` in whole milliseconds, for delays that whole seconds
/// would round too coarsely.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("endivescale-retry-after-ms");
