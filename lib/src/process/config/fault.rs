//! Fault injection for tests which check that they would detect a defect.

/// A defect that tests inject into configuration distribution.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    /// Accept the most recently offered version, whatever its number.
    TakeLast,
    /// Treat two texts with the same number as the same version.
    IgnoreHash,
    /// Request only versions newer than the newest refused one from peers.
    AskAboveRefused,
    /// Poll no peers, and serve as soon as the platform has delivered a version.
    AskNobody,
}
