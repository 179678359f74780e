//! The list of instances and their observed health; see `docs/design/membership.md`.

mod daemons;
mod health_record;
mod leaving_notices;
mod list_change;
mod local_instances;
mod members;
mod vm;

pub use daemons::Daemons;
pub use daemons::ListedDaemon;
pub use health_record::Observation;
pub use list_change::Listing;
pub use list_change::listing_changes;
pub use local_instances::Description;
pub use local_instances::LocalInstances;
pub use local_instances::LocalStanding;
pub use members::Health;
pub use members::Membership;
pub use vm::UpstreamFacts;
pub use vm::Vm;
pub use vm::VmList;
pub use vm::VmState;
