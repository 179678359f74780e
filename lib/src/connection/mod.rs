//! What lives for one connection.
