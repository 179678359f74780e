//! The rules files of operators, with one rule a line; see `docs/rules.md`.

mod attributes;
mod customers;
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
use super::customers::CustomerTable;

/// One line of a rules file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rule {
    /// Line number in the file, starting at 1; 0 for [`Rule::fallback`].
    pub line: usize,
    /// Services that the rule applies to.
    pub service: ServicePattern,
    /// Methods that the rule applies to.
    pub method: MethodPattern,
    /// Paths that the rule applies to.
    pub path: PathPattern,
    /// Criticality of the requests, which sets the order of shedding.
    pub criticality: Criticality,
    /// Weight of one complete response in the weighted goodput.
    pub weight: u32,
    /// Whether executing a request again has no further effect.
    pub idempotent: bool,
    /// Maximum number of retries for a request across its whole call chain.
    pub retries: u32,
    /// Time within which the complete response must arrive.
    pub deadline: Duration,
    /// Whether a request may be queued when capacity is short.
    pub may_wait: bool,
    /// Whether the requests need no key, also if the file names customers.
    pub public: bool,
    /// Name of the person who asked for the rule.
    pub requested_by: String,
    /// Why the rule was asked for; empty if the line gives no reason.
    pub reason: String,
}

impl Rule {
    /// Deadline if neither a rule nor the caller sets one.
    pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

    /// Returns the rule for requests that no line matches.
    ///
    /// Every value is the conservative choice: the requests are shed first and
    /// are never executed twice.
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
            public: false,
            requested_by: "endivescale".to_owned(),
            reason: "no line of the rules file matches".to_owned(),
        }
    }
}

/// The rules, comments and blank lines of a rules file without problems.
#[derive(Clone, Debug)]
pub struct Rules {
    lines: Vec<Line>,
    rules: Vec<Rule>,
    index: Index,
    fallback: Rule,
    customers: Box<CustomerTable>,
}

/// Kind of a line in a rules file.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Line {
    Blank,
    Comment(String),
    Rule,
    /// A customer, as it stands in the file.
    Customer(String),
}

impl Rules {
    /// Parses and checks the text of a rules file; errors refer to it as
    /// `file_name`.
    ///
    /// # Errors
    ///
    /// Fails with all problems in the file, ordered by line and column.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, RulesError> {
        parser::parse(file_name, text)
    }

    /// Returns the first rule that matches a request, or [`Rule::fallback`] if
    /// none does.
    ///
    /// `path` may include a query, which is ignored.
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

    /// Returns the customers that the file names.
    pub fn customers(&self) -> &CustomerTable {
        &self.customers
    }

    fn new(lines: Vec<Line>, rules: Vec<Rule>, customers: CustomerTable) -> Self {
        let (index, customers) = (Index::new(&rules), Box::new(customers));
        Self { lines, rules, index, fallback: Rule::fallback(), customers }
    }
}

impl PartialEq for Rules {
    fn eq(&self, other: &Self) -> bool {
        self.lines == other.lines && self.rules == other.rules
    }
}

impl Eq for Rules {}
