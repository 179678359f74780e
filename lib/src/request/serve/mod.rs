//! Request handling, with one entry point for each listener of the daemon.
//!
//! [`entry`] serves outside callers, [`outbound`] serves the calls that the
//! local upstream makes, and [`peer`] serves other daemons. [`call`] selects an
//! instance of the service and sends the request to it. On the daemon of that
//! instance, [`owner`] admits the request and passes it to the local upstream as
//! an [`exchange`]. See `docs/architecture.md`.

mod at_most_once;
mod attempt;
mod call;
mod config_transfer;
mod crash_gossip;
mod entry;
mod exchange;
mod identify;
mod outbound;
mod owner;
mod peer;
mod stop_bound;
mod stop_notice;
mod tracker;
mod usage_report;

pub use crash_gossip::gossip_crashes;
pub use entry::serve_caller;
pub use outbound::serve_upstream;
pub use peer::serve_peer;
pub use stop_notice::announce_stop;
pub use usage_report::report_usage;
