//! The rules that operators write, one line each; see `docs/rules.md`.

mod attributes;
mod error;
mod index;
mod parser;
mod pattern;
mod printer;
mod shadow;
mod words;

use std::time::Duration;

pub use self::error::Problem;
pub use self::error::ProblemKind;
pub use self::error::RulesError;
use self::index::Index;
pub use self::parser::MAX_TEXT_BYTES;
pub use self::pattern::MethodPattern;
pub use self::pattern::PathPattern;
pub use self::pattern::Segment;
pub use self::pattern::ServicePattern;
use super::Criticality;

/// One line of a rules file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rule {
    /// Line in the file, counted from 1; 0 for [`Rule::fallback`].
    pub line: usize,
    /// Services whose requests the rule is for.
    pub service: ServicePattern,
    /// Methods that the rule is for.
    pub method: MethodPattern,
    /// Paths that the rule is for.
    pub path: PathPattern,
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
    /// Why they asked, or empty.
    pub reason: String,
}

impl Rule {
    /// Time for the whole answer where neither a rule nor the caller names one.
    pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

    /// Returns the rule for a request that no line matches.
    ///
    /// It takes the careful side of each choice: the request is shed first and
    /// is never run twice.
    pub fn fallback() -> Self {
        Self {
            line: 0,
            service: ServicePattern::Any,
            method: MethodPattern::Any,
            path: PathPattern::any(),
            criticality: Criticality::Deferrable,
            weight: 1,
            idempotent: false,
            retries: 0,
            deadline: Self::DEFAULT_DEADLINE,
            may_wait: false,
            requested_by: "endivescale".to_owned(),
            reason: "no line of the rules file matches".to_owned(),
        }
    }
}

/// A rules file that parsed without a problem.
#[derive(Clone, Debug)]
pub struct Rules {
    lines: Vec<Line>,
    rules: Vec<Rule>,
    index: Index,
    fallback: Rule,
}

/// What one line of a rules file holds.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Line {
    Blank,
    Comment(String),
    Rule,
}

impl Rules {
    /// Parses and checks a rules file; `file_name` stands for it in errors.
    ///
    /// # Errors
    ///
    /// Fails with every problem of the file, in the order of its lines.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, RulesError> {
        parser::parse(file_name, text)
    }

    /// Returns the rule that serves a request: the first line that matches it,
    /// or [`Rule::fallback`].
    ///
    /// `path` may carry a query, which no rule looks at.
    pub fn find(&self, service: &str, method: &http::Method, path: &str) -> &Rule {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let matches = |rule: &&Rule| rule.method.matches(method) && rule.path.matches(path);
        let mut candidates = self.index.candidates(service).map(|at| &self.rules[at]);
        candidates.find(matches).unwrap_or(&self.fallback)
    }

    /// Returns the rules in the order of their lines.
    pub fn iter(&self) -> std::slice::Iter<'_, Rule> {
        self.rules.iter()
    }

    fn new(lines: Vec<Line>, rules: Vec<Rule>) -> Self {
        let index = Index::new(&rules);
        Self { lines, rules, index, fallback: Rule::fallback() }
    }
}

impl PartialEq for Rules {
    fn eq(&self, other: &Self) -> bool {
        self.lines == other.lines && self.rules == other.rules
    }
}

impl Eq for Rules {}
