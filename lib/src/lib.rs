//! Overload control for service call graphs.
//!
//! This crate contains all logic of the daemon and of the operators' command-line
//! tool; it performs no terminal input or output. Modules are grouped by the lifetime
//! of their state: one [`request`], one [`connection`], one [`version`] of the rules,
//! or the whole [`process`]; [`operators`] holds the logic of the command-line tool.
//! See `docs/architecture.md` for the path of a request through the modules.

pub mod connection;
pub mod operators;
pub mod process;
pub mod request;
pub mod version;
