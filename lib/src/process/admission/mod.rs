//! Admission control in front of the local upstream: which requests start, which
//! wait in the queue and which are shed.
//!
//! [`Admission`] is a deterministic state machine. Callers pass in the time and
//! it does no I/O, so the tests, the policy benchmark and the daemon all run the
//! same code. `docs/design/admission.md` gives the reasons and the measurements.

mod called_paths;
mod config;
mod latency;
mod level;
mod level_control;
mod limit;
mod load;
mod pacing;
mod path_levels;
mod queue;
mod rate_limit;
mod rate_limiter;
mod state;
mod work;

pub use called_paths::CalledPaths;
pub use config::AdmissionConfig;
pub use config::Fault;
pub use config::LimitPolicy;
pub use config::Policy;
pub use config::QueueOrder;
pub use level::Level;
pub use level::ParseLevelError;
pub use pacing::spread_retry_after;
pub use path_levels::PathLevels;
pub use rate_limit::KnownLimit;
pub use rate_limit::LimitChange;
pub use rate_limit::LimitNotice;
pub use rate_limit::ParseRateError;
pub use rate_limit::RequestRate;
pub use state::Admission;
pub use work::Arrival;
pub use work::Completion;
pub use work::Decision;
pub use work::Shed;
pub use work::ShedReason;
pub use work::Ticket;
pub use work::Verdict;
pub use work::Work;
