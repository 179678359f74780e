//! One version of the operators' configuration: rules or routes, and the plan
//! that they give each request.

mod criticality;
pub mod customers;
mod plan;
mod policy;
pub mod routes;
pub mod rules;

pub use criticality::Criticality;
pub use criticality::ParseCriticalityError;
pub use plan::Plan;
pub use plan::PlanKey;
pub use policy::Policy;
