//! Marks requests that count as repeats.

/// Why a request counts as a repeat at each upstream that it reaches; see
/// `docs/design/retries.md`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// The request itself has reached an upstream before.
    Own,
    /// The request is a call made by a run that was a repeat.
    Inherited,
}
