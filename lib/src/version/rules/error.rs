//! The problems that a rules file can have, with a hint for each.

use std::fmt;

use snafu::Snafu;

use crate::version::customers::CustomerError;

/// A rules file was rejected.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(super)), display("{}", Listing(problems)))]
pub struct RulesError {
    /// All problems in the file, ordered by line and column.
    pub problems: Vec<Problem>,
}

/// One problem in a rules file and its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Name of the rules file.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// The words that are wrong; empty if words are missing.
    pub words: String,
    /// Kind of the problem.
    pub kind: ProblemKind,
}

/// The kinds of problems in a rules file.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ProblemKind {
    /// The file exceeds [`MAX_TEXT_BYTES`](super::MAX_TEXT_BYTES).
    #[snafu(display("the file is {found} bytes long"))]
    TooLong {
        /// Length of the file in bytes.
        found: usize,
    },
    /// The line does not end in a comment `# asked by NAME`.
    #[snafu(display("the line does not say who asked for the rule"))]
    MissingName,
    /// The line has no method or no path.
    #[snafu(display("the {part} is missing"))]
    MissingPart {
        /// The missing part, `method` or `path`.
        part: &'static str,
    },
    /// The first word is neither a service name in lower case nor `*`.
    #[snafu(display("invalid service name"))]
    InvalidService,
    /// The second word is neither a list of HTTP methods in upper case nor `*`.
    #[snafu(display("invalid HTTP method"))]
    InvalidMethod,
    /// The line lists a method twice.
    #[snafu(display("the method is repeated"))]
    RepeatedMethod,
    /// The path pattern is malformed.
    #[snafu(display("invalid path pattern: {fault}"))]
    InvalidPath {
        /// What is wrong with the pattern.
        fault: PathFault,
    },
    /// A word is not a known attribute.
    #[snafu(display("unknown attribute"))]
    UnknownAttribute,
    /// A word is not a known attribute of a customer.
    #[snafu(display("unknown attribute of a customer"))]
    UnknownCustomerAttribute,
    /// A key is empty, too long, or has a character that no key can have.
    #[snafu(display("invalid key"))]
    InvalidKey,
    /// A customer's name or key stands in the file twice.
    #[snafu(display("{fault}"))]
    CustomerConflict {
        /// What stands in the file twice.
        fault: CustomerError,
    },
    /// An attribute is set twice, or both to a value and to its opposite, such as
    /// `wait` and `no-wait`.
    #[snafu(display("the line sets {attribute} more than once"))]
    RepeatedAttribute {
        /// Name of the attribute.
        attribute: &'static str,
    },
    /// A required attribute is not set.
    #[snafu(display("the line does not set {attribute}"))]
    MissingAttribute {
        /// Name of the attribute.
        attribute: &'static str,
        /// An example of the attribute, for the hint.
        example: &'static str,
    },
    /// The value of an attribute cannot be parsed or is out of range.
    #[snafu(display("{attribute} cannot be {found}"))]
    InvalidValue {
        /// Name of the attribute.
        attribute: &'static str,
        /// The value in the file.
        found: String,
        /// The values that are accepted.
        accepted: &'static str,
    },
    /// A safe method, which is idempotent by definition, is declared non-idempotent.
    #[snafu(display("{method} requests cannot be non-idempotent"))]
    SafeMethodNonIdempotent {
        /// Name of the method.
        method: String,
    },
    /// An earlier rule matches every request that this rule matches.
    #[snafu(display("the rule can never apply: line {by} already matches all its requests"))]
    Shadowed {
        /// Line number of the earlier rule.
        by: usize,
    },
}

/// The ways in which a path pattern can be malformed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum PathFault {
    /// The pattern does not begin with `/`.
    #[snafu(display("it does not begin with '/'"))]
    NoRoot,
    /// Two slashes follow each other, or a pattern other than `/` ends in one.
    #[snafu(display("a segment is empty"))]
    EmptySegment,
    /// A segment contains `*` together with other characters.
    #[snafu(display("a segment has '*' beside other characters"))]
    PartialWildcard,
    /// `**` is not the last segment.
    #[snafu(display("'**' is not the last segment"))]
    EarlyWildcard,
    /// A character that RFC 3986 does not allow in a path segment.
    #[snafu(display("it has a character that is not allowed in a path"))]
    InvalidCharacter,
}

impl ProblemKind {
    /// Returns advice on how to fix the problem.
    pub fn hint(&self) -> String {
        let hint = match self {
            Self::TooLong { .. } => "keep the file under 1048576 bytes; merge rules with '*'",
            Self::MissingName => "end the line with '# asked by NAME, why'",
            Self::MissingPart { .. } => "begin the line with SERVICE METHOD PATH",
            Self::InvalidService => "write a name such as 'submission' in lower case, or '*'",
            Self::InvalidMethod => "write GET, or several as GET,HEAD, or '*' for all",
            Self::RepeatedMethod => "list each method once",
            Self::InvalidPath { fault } => fault.hint(),
            Self::UnknownAttribute => {
                "known attributes are criticality=, weight=, idempotent, non-idempotent, retries=, \
                 deadline=, wait, no-wait, public"
            }
            Self::UnknownCustomerAttribute => {
                "known attributes of a customer are key=, cap=, burst=, criticality="
            }
            Self::InvalidKey => "write 1 to 512 printable characters without space or comma",
            Self::CustomerConflict { .. } => "give each customer one line and keys of its own",
            Self::RepeatedAttribute { .. } => "keep one of them",
            Self::MissingAttribute { example, .. } => return format!("add '{example}'"),
            Self::InvalidValue { accepted, .. } => {
                return format!("accepted values are {accepted}");
            }
            Self::SafeMethodNonIdempotent { .. } => {
                "declare the line idempotent, or list only the methods that change something"
            }
            Self::Shadowed { .. } => "move this line above the other one, or delete it",
        };
        hint.to_owned()
    }
}

impl PathFault {
    fn hint(self) -> &'static str {
        match self {
            Self::NoRoot => "write the path from its root, such as '/calls/**'",
            Self::EmptySegment => "write one '/' between segments and none at the end",
            Self::PartialWildcard => "use '*' only for a whole segment, such as '/calls/*'",
            Self::EarlyWildcard => "use '**' as the last segment only",
            Self::InvalidCharacter => "leave out the query, and percent-encode special characters",
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.kind)?;
        if !self.words.is_empty() {
            write!(f, ": '{}'", self.words)?;
        }
        write!(f, "\n  hint: {}", self.kind.hint())
    }
}

struct Listing<'a>(&'a [Problem]);

impl fmt::Display for Listing<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}
