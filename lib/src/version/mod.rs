//! What lives for one version of the rules.

mod criticality;
pub mod rules;

pub use criticality::Criticality;
pub use criticality::ParseCriticalityError;
