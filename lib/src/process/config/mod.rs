//! The configuration in force and its distribution to all daemons.
//!
//! See `docs/design/configuration.md`.

mod active;
mod catch_up;
mod counters;
mod delta;
mod document;
mod driver;
mod fault;
mod metered;
mod offer;
mod partner;
mod partners;
mod pause;
mod platform_client;
mod platform_watcher;
mod rpc;
mod server;
mod shared;
mod store;
mod sync_rounds;
mod turns;
mod version_id;
mod version_state;
mod vm_text;

pub use active::ActiveRules;
pub use counters::ConfigCounters;
pub use counters::Counter;
pub use delta::Delta;
pub use delta::Edit;
pub use driver::ConfigHandle;
pub use driver::ConfigOptions;
pub(crate) use driver::KnowledgeAges;
pub(crate) use driver::PeerReports;
pub use driver::spawn;
pub use fault::Fault;
pub(crate) use metered::Metered;
pub use offer::KnownVersions;
pub use partners::Slot;
pub use partners::choose;
pub use platform_client::PlatformClient;
pub use platform_client::PlatformError;
pub(crate) use rpc::context_with_timeout;
pub(crate) use rpc::framed;
pub use turns::TURN_DURATION;
pub use turns::Turn;
pub use turns::Turns;
pub use turns::WATCHERS_PER_ZONE;
pub use version_id::TextHash;
pub use version_id::VersionId;
pub use version_state::Verdict;
pub use version_state::VersionState;
