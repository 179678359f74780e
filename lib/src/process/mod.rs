//! State and tasks that exist for the lifetime of the process.

pub mod admission;
pub mod burn;
pub mod catalog;
pub mod clock;
pub mod config;
pub mod crashes;
pub mod customers;
pub mod daemon;
mod ids;
pub mod log;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod repeats;
pub mod resources;
pub mod routing;
pub mod settings;
pub mod status;
pub mod stop;
mod units;

pub use ids::CustomerName;
pub use ids::Incarnation;
pub use ids::InstanceId;
pub use ids::ParseIncarnationError;
pub use ids::Region;
pub use ids::RequestName;
pub use ids::ServiceName;
pub use ids::Zone;
pub use units::DurationText;
pub use units::ParseDurationError;
