//! The configuration in force and how it reaches every daemon; see `docs/design/configuration.md`.

mod active;
mod counters;
mod document;
mod driver;
mod holder;
mod platform;
mod shared;
mod version_id;
mod vm_text;

pub use active::ActiveRules;
pub use counters::ConfigCounters;
pub use driver::ConfigHandle;
pub use driver::ConfigOptions;
pub use driver::spawn;
pub use holder::Holder;
pub use holder::Verdict;
pub use platform::PlatformClient;
pub use platform::PlatformError;
pub use version_id::TextHash;
pub use version_id::VersionId;
