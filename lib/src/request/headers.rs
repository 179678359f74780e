//! Names of the request and response headers that endivescale defines.
//!
//! Only the peer listener believes the request headers; every other listener
//! strips them. `docs/architecture.md` lists who writes and who reads each.

use http::HeaderName;

/// Every header of ours begins with this prefix.
pub const HEADER_PREFIX: &str = "endivescale-";

/// Request context between daemons, and its handle towards the local upstream.
pub const CONTEXT: HeaderName = HeaderName::from_static("endivescale-context");

/// Time left for the request, in whole milliseconds, towards the upstream.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("endivescale-deadline-ms");

/// Outcome of a refused or failed request; see [`super::Outcome`].
pub const OUTCOME: HeaderName = HeaderName::from_static("endivescale-outcome");

/// Why a request was refused or failed, as one word for scripts.
pub const REASON: HeaderName = HeaderName::from_static("endivescale-reason");

/// Idempotency token, issued by a daemon and sent back by the caller.
pub const TOKEN: HeaderName = HeaderName::from_static("endivescale-token");

/// Retry tokens that an answer hands back to the daemon that sent the request.
pub const RETRIES_LEFT: HeaderName = HeaderName::from_static("endivescale-retries-left");

/// Admission level of the answering daemon, sent when it has changed.
pub const LEVEL: HeaderName = HeaderName::from_static("endivescale-level");

/// How busy the answering daemon's upstream is; see [`crate::process::routing::LoadReport`].
pub const LOAD: HeaderName = HeaderName::from_static("endivescale-load");

/// Strictest admission level of the hops that the request visited.
pub const PATH_LEVEL: HeaderName = HeaderName::from_static("endivescale-path-level");

/// Name that the caller gave this attempt, between daemons.
pub const NAME: HeaderName = HeaderName::from_static("endivescale-name");

/// Service that the request is for, between daemons, where the host does not name it.
pub const SERVICE: HeaderName = HeaderName::from_static("endivescale-service");

/// Service of the VM where the request began, between daemons.
pub const ORIGIN: HeaderName = HeaderName::from_static("endivescale-origin");

/// The one instance that may run the request, between daemons.
pub const INSTANCE: HeaderName = HeaderName::from_static("endivescale-instance");

/// Set by a daemon that is leaving; peers send it no new work.
pub const LEAVING: HeaderName = HeaderName::from_static("endivescale-leaving");

/// Tells another daemon of the configuration in force, in place of a request.
pub const HELD: HeaderName = HeaderName::from_static("endivescale-held");

/// Version of the rules that the sending daemon decided by.
pub const RULES_VERSION: HeaderName = HeaderName::from_static("endivescale-rules-version");

/// Name that the caller gives a non-idempotent request, for people and logs.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// `Retry-After` in whole milliseconds, where a second is too coarse.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("endivescale-retry-after-ms");
