//! Which work may start at the local upstream, which waits and which is shed.
//!
//! [`Admission`] is a pure state machine: it reads no clock and does no I/O, so
//! tests, the policy bench and the daemon drive the very same code. The
//! reasons and the measurements behind it are in `docs/design/admission.md`.

mod config;
mod latency;
mod level;
mod level_control;
mod limit;
mod load;
mod pacing;
mod path_levels;
mod queue;
mod state;
mod work;

pub use config::AdmissionConfig;
pub use config::Fault;
pub use config::LimitPolicy;
pub use config::Policy;
pub use config::QueueOrder;
pub use level::Level;
pub use level::ParseLevelError;
pub use pacing::return_after;
pub use path_levels::PathLevels;
pub use state::Admission;
pub use work::Arrival;
pub use work::Completion;
pub use work::Decision;
pub use work::Shed;
pub use work::ShedReason;
pub use work::Ticket;
pub use work::Verdict;
pub use work::Work;
