//! Network connections: listeners for callers, peers, the local upstream and operators, and
//! connection pools for requests to peers and to the local upstream.

mod accepted;
pub mod body;
pub mod control_frames;
pub mod framing_limit;
pub mod limited;
pub mod listener;
mod peer_stream;
pub mod peers;
pub mod pipeline;
pub mod seal;
mod sock_diag;
pub mod strip;
pub mod tcp;
pub mod upstream;
mod window_watch;
