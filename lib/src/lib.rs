//! Overload control for service call graphs.
//!
//! The crate holds all the logic of the daemon and of the operators' command
//! line, and never touches a terminal. Modules are laid out by life span: what
//! lives for one [`request`], for one [`connection`], for one [`version`] of
//! the rules, and for the whole [`process`]. The way a request takes through
//! them is drawn in `docs/architecture.md`.

pub mod connection;
pub mod operators;
pub mod process;
pub mod request;
pub mod version;
