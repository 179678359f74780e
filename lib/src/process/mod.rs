//! What lives for the whole process.

pub mod admission;
pub mod burn;
pub mod config;
mod ids;
pub mod membership;
pub mod metrics;
pub mod routing;
pub mod settings;

pub use ids::Incarnation;
pub use ids::InstanceId;
pub use ids::ParseIncarnationError;
pub use ids::Region;
pub use ids::ServiceName;
pub use ids::Zone;
