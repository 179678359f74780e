//! Small stand-ins for what surrounds endivescale: the platform, the upstreams
//! and the callers.
//!
//! Each is a module that tests run in their own process, on ports that the
//! system picks, and a thin program under `src/bin/` for runs with separate
//! processes.

pub mod caller;
pub mod demo;
pub mod error;
pub mod headers;
pub mod http;
pub mod link;
pub mod mark;
pub mod place;
pub mod platform;
pub mod process;
pub mod program;
pub mod upstream;
