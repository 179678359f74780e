//! Passes the catalog on from daemons that read it to daemons that do not.
//!
//! If every daemon watched the catalog, each change of one entry would cost one call
//! for each daemon, and the calls would grow with the square of the fleet. In a large
//! availability zone only a few daemons therefore read the catalog; the others poll
//! one of them. See `docs/design/relays.md`.

mod client;
mod history;
mod readers;
mod rpc;
mod server;
mod source;

pub(super) use self::client::Polled;
pub(super) use self::client::RelayClient;
pub(super) use self::client::RelayError;
pub use self::history::History;
pub use self::history::RelayedChange;
pub use self::history::Since;
pub use self::readers::ReadRole;
pub use self::readers::assign;
pub(super) use self::server::RelayState;
pub(super) use self::server::serve;
pub use self::source::Source;
pub use self::source::SourceCursor;
