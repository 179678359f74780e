//! The list of instances and their observed health; see `docs/design/membership.md`.

mod departed;
mod members;
mod standing;
mod vm;

pub use departed::Departed;
pub use members::Health;
pub use members::Membership;
pub use standing::Observation;
pub use vm::UpstreamFacts;
pub use vm::Vm;
pub use vm::VmList;
pub use vm::VmState;
