//! The rules that operators write, one line each; see `docs/rules.md`.

use std::time::Duration;

use super::Criticality;

/// One line of a rules file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rule {
    /// Line in the file, counted from 1; 0 for [`Rule::fallback`].
    pub line: usize,
    /// How much the request matters.
    pub criticality: Criticality,
    /// Worth of one whole answer, for weighted goodput.
    pub weight: u32,
    /// Whether running the request again has no further effect.
    pub idempotent: bool,
    /// Retries allowed for the request across its whole call chain.
    pub retries: u32,
    /// Time within which the whole answer must arrive.
    pub deadline: Duration,
    /// Whether the request may queue when capacity is short.
    pub may_wait: bool,
    /// Who asked for this rule.
    pub requested_by: String,
}
