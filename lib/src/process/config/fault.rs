//! Deliberate defects, for the tests that must see them.

/// A deliberate defect of the configuration's part.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    /// The version that was offered last is taken, whatever its number.
    TakeLast,
    /// Two texts under one number count as the same version.
    IgnoreHash,
    /// Peers are asked for what is newer than the newest refused version.
    AskAboveRefused,
    /// A daemon serves as soon as the platform gave it a version, and asks no peer.
    AskNobody,
}
