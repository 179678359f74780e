//! Selection of the instance that a call is sent to; see `docs/design/routing.md`.

mod cost;
mod load;
mod router;
mod subset;

pub use load::LoadReport;
pub use load::ParseLoadError;
pub use router::NoRoute;
pub use router::Pick;
pub use router::Place;
pub use router::Router;
pub use router::Work;
pub use subset::rendezvous;
