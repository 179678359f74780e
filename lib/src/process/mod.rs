//! What lives for the whole process.

mod ids;

pub use ids::Incarnation;
pub use ids::InstanceId;
pub use ids::ParseIncarnationError;
pub use ids::ServiceName;
pub use ids::Zone;
