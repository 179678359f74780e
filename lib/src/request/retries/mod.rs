//! Retry tokens, which limit the retries of one request across its call chain.
//!
//! The daemon at the root of the chain creates the number of tokens that the
//! request's rule allows. Every daemon further down can only spend the tokens it
//! was lent, lend them to its own calls, and return the rest. See
//! `docs/design/retries.md`.

mod account;
mod calls;

pub use account::Grant;
pub use account::RetryAccount;
pub use calls::Attempt;
pub use calls::Call;
pub use calls::CallLedger;
