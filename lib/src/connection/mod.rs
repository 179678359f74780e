//! What lives for one connection.

pub mod body;
pub mod listener;
pub mod peers;
pub mod pipeline;
pub mod strip;
pub mod tcp;
pub mod upstream;
