//! The way of one request through the daemon, by the listener it came from.
//!
//! [`entry`] serves outside callers, [`outbound`] the local upstream's own
//! calls, [`peer`] other daemons. All three meet in [`call`], which sends a
//! request to an instance of its service, and [`owner`], which admits it and hands
//! it to the local upstream in an [`exchange`]. See `docs/architecture.md`.

mod attempt;
mod call;
mod entry;
mod exchange;
mod once;
mod outbound;
mod owner;
mod peer;
mod teaching;
mod track;

pub use entry::serve_caller;
pub use outbound::serve_upstream;
pub use peer::serve_peer;
