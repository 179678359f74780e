//! Idempotency tokens, under which a non-idempotent request runs at most once.
//!
//! A non-idempotent request runs only under a token. The issuer of the token, which
//! is one incarnation of a daemon, decides alone whether the request may run.
//!
//! The issuer is a state machine without clock or I/O. The daemon and the model
//! checker that `docs/spec/once.md` describes run the same code. See
//! `docs/design/idempotency.md` for the design.

mod answers;
mod fingerprint;
mod issuer;
mod refusal;
mod token;
mod window;

pub use fingerprint::Fingerprint;
pub use fingerprint::FingerprintInput;
pub use issuer::Begin;
pub use issuer::Finished;
pub use issuer::Issuer;
pub use issuer::IssuerConfig;
pub use refusal::TokenRefusal;
pub use token::ParseTokenError;
pub use token::Secret;
pub use token::Sequence;
pub use token::Token;
