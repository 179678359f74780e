//! What lives for one version of the operators' configuration.

mod criticality;
mod plan;
mod policy;
pub mod routes;
pub mod rules;

pub use criticality::Criticality;
pub use criticality::ParseCriticalityError;
pub use plan::Plan;
pub use plan::PlanKey;
pub use policy::Policy;
