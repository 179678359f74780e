//! What can be wrong with a rules file, with a hint for each fault.

use std::fmt;

use snafu::Snafu;

/// A rules file that cannot be put in force.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(super)), display("{}", Listing(problems)))]
pub struct RulesError {
    /// Every problem of the file, in the order of its lines.
    pub problems: Vec<Problem>,
}

/// One fault of a rules file and where it stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// The words at fault, or empty where words are missing.
    pub words: String,
    /// What is wrong.
    pub kind: ProblemKind,
}

/// What is wrong with a line.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ProblemKind {
    /// The text is longer than the platform can serve.
    #[snafu(display("the file is {found} bytes long"))]
    TooLong {
        /// Length of the text in bytes.
        found: usize,
    },
    /// The line has no comment that says who asked for the rule.
    #[snafu(display("the line does not say who asked for the rule"))]
    MissingName,
    /// The line ends before service, method and path.
    #[snafu(display("the {part} is missing"))]
    MissingPart {
        /// Which part is missing.
        part: &'static str,
    },
    /// The service is no service name.
    #[snafu(display("no service name"))]
    InvalidService,
    /// The method is no HTTP method.
    #[snafu(display("no HTTP method"))]
    InvalidMethod,
    /// The same method stands twice.
    #[snafu(display("the method is repeated"))]
    RepeatedMethod,
    /// The path pattern is malformed.
    #[snafu(display("no path pattern: {fault}"))]
    InvalidPath {
        /// What is wrong with the pattern.
        fault: PathFault,
    },
    /// An attribute that no rule has.
    #[snafu(display("unknown attribute"))]
    UnknownAttribute,
    /// An attribute that is given twice, or its opposite is given as well.
    #[snafu(display("the line sets {attribute} more than once"))]
    RepeatedAttribute {
        /// The attribute.
        attribute: &'static str,
    },
    /// An attribute that every rule must set.
    #[snafu(display("the line does not set {attribute}"))]
    MissingAttribute {
        /// The attribute.
        attribute: &'static str,
        /// How the attribute is written.
        example: &'static str,
    },
    /// The value of an attribute cannot be read or is out of range.
    #[snafu(display("{attribute} cannot be {found}"))]
    InvalidValue {
        /// The attribute.
        attribute: &'static str,
        /// The value as written.
        found: String,
        /// The values that are accepted.
        accepted: &'static str,
    },
    /// A method that is idempotent by its definition is declared otherwise.
    #[snafu(display("{method} requests cannot be non-idempotent"))]
    SafeMethodNonIdempotent {
        /// The method.
        method: String,
    },
    /// An earlier line takes every request of this one.
    #[snafu(display("the rule can never apply: line {by} already takes all its requests"))]
    Shadowed {
        /// The earlier line.
        by: usize,
    },
}

/// What is wrong with a path pattern.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum PathFault {
    /// The pattern does not begin at the root.
    #[snafu(display("it does not begin with '/'"))]
    NoRoot,
    /// A segment is empty.
    #[snafu(display("a segment is empty"))]
    EmptySegment,
    /// `*` stands beside other characters.
    #[snafu(display("'*' stands inside a segment"))]
    PartialWildcard,
    /// `**` stands before the end.
    #[snafu(display("'**' stands before the end"))]
    EarlyWildcard,
    /// A character that no request path holds.
    #[snafu(display("a request path never holds such a character"))]
    InvalidCharacter,
}

impl ProblemKind {
    /// Says what to do about the problem.
    pub fn hint(&self) -> String {
        let hint = match self {
            Self::TooLong { .. } => "keep the file under 1048576 bytes; merge rules with '*'",
            Self::MissingName => "end the line with '# asked by NAME, why'",
            Self::MissingPart { .. } => "begin the line with SERVICE METHOD PATH",
            Self::InvalidService => "write a name such as 'submission' in lower case, or '*'",
            Self::InvalidMethod => "write GET, or several as GET,HEAD, or '*' for all",
            Self::RepeatedMethod => "name each method once",
            Self::InvalidPath { fault } => fault.hint(),
            Self::UnknownAttribute => {
                "known are criticality=, weight=, idempotent, non-idempotent, retries=, \
                 deadline=, wait, no-wait"
            }
            Self::RepeatedAttribute { .. } => "keep one of them",
            Self::MissingAttribute { example, .. } => return format!("add '{example}'"),
            Self::InvalidValue { accepted, .. } => return format!("accepted are {accepted}"),
            Self::SafeMethodNonIdempotent { .. } => {
                "declare the line idempotent, or name only the methods that change something"
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
            Self::PartialWildcard => "let '*' stand for a whole segment, such as '/calls/*'",
            Self::EarlyWildcard => "use '**' as the last segment only",
            Self::InvalidCharacter => {
                "leave out the query, and write special characters in percent-encoding"
            }
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
