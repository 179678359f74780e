//! Idempotency tokens: issue, first use, resend.
//!
//! A non-idempotent request runs only under a token, and only the daemon run
//! that issued the token, its issuer, decides whether it may run. All of it is
//! a pure state machine without clock or I/O; the daemon drives it and the
//! model in `docs/spec/once.md` explores the same code. The design is weighed
//! in `docs/design/idempotency.md`.

mod answers;
mod fingerprint;
mod issuer;
mod refusal;
mod token;
mod window;

pub use fingerprint::Asked;
pub use fingerprint::Fingerprint;
pub use issuer::Begin;
pub use issuer::Finished;
pub use issuer::Issuer;
pub use issuer::IssuerConfig;
pub use refusal::TokenRefusal;
pub use token::ParseTokenError;
pub use token::Secret;
pub use token::Sequence;
pub use token::Token;
