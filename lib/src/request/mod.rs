//! What lives for one request.

mod context;
mod headers;
pub mod idempotency;
mod outcome;
pub mod retries;

pub use context::Context;
pub use context::ContextError;
pub use context::RequestId;
pub use headers::*;
pub use outcome::Outcome;
pub use outcome::ParseOutcomeError;
