//! Retry tokens: the bound on retries of one request across its call chain.
//!
//! The entry mints the number that the request's rule allows; every later hop
//! only spends, lends and gives back. See `docs/design/retries.md`.

mod account;
mod calls;

pub use account::Grant;
pub use account::RetryAccount;
pub use calls::Attempt;
pub use calls::Call;
pub use calls::CallLedger;
