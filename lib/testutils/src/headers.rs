//! Names of the headers that the stand-ins send and read.
//!
//! The stand-ins take the place of foreign programs, so they name the headers
//! of endivescale themselves instead of linking the library under test.

/// Mark of the request that a caller made; every answer is derived from it.
pub const MARK: &str = "x-mark";

/// Number of the caller's attempt at the marked request; a resend under the
/// same idempotency token keeps the number.
pub const ATTEMPT: &str = "x-attempt";

/// Size of the answer's body that the caller asks for, in bytes.
pub const ANSWER_BYTES: &str = "x-answer-bytes";

/// Rate at which the answer's body is to be sent, in bytes a second.
pub const ANSWER_RATE: &str = "x-answer-rate";

/// Opaque handle that an upstream copies onto its own calls.
pub const CONTEXT: &str = "endivescale-context";

/// Time left for the request, in milliseconds.
pub const DEADLINE_MS: &str = "endivescale-deadline-ms";

/// Outcome of a refused or failed request.
pub const OUTCOME: &str = "endivescale-outcome";

/// Reason of a refusal or failure, as one word.
pub const REASON: &str = "endivescale-reason";

/// Idempotency token, handed out with a refusal and sent back on the resend.
pub const TOKEN: &str = "endivescale-token";
