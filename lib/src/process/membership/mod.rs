//! The list of instances and their observed health; see `docs/design/membership.md`.

mod departed;
mod health_record;
mod list_change;
mod members;
mod vm;

pub use departed::Departed;
pub use health_record::Observation;
pub use list_change::Listing;
pub use list_change::listing_changes;
pub use members::Health;
pub use members::Membership;
pub use vm::UpstreamFacts;
pub use vm::Vm;
pub use vm::VmList;
pub use vm::VmState;
