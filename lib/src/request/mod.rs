//! Requests: their context, headers and tokens, their retries, and how they are
//! served.

pub(crate) mod content;
mod context;
pub mod dialect;
mod headers;
pub mod idempotency;
pub mod message;
mod outcome;
pub mod parent;
mod refusal;
mod repeat;
pub mod retries;
pub mod serve;

pub use content::CallerDigest;
pub use content::ContentDigest;
pub use content::HeadDigest;
pub use content::RequestContent;
pub use context::Context;
pub use context::ContextError;
pub use context::RequestId;
pub use headers::*;
pub use outcome::Outcome;
pub use outcome::ParseOutcomeError;
pub use refusal::ParseReasonError;
pub use refusal::Reason;
pub use refusal::Refusal;
pub use repeat::Repeat;
