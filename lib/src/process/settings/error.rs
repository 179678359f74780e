//! Errors in settings files.

use std::fmt;

use snafu::Snafu;

/// The settings file cannot be read or its settings are invalid.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    /// The settings file cannot be read.
    #[snafu(display("cannot read the settings file {file}"))]
    Read {
        /// Name of the file.
        file: String,
        /// Why the file cannot be read.
        source: std::io::Error,
    },
    /// The settings file is not valid TOML.
    #[snafu(display("{file} is not valid TOML: {source}"))]
    Syntax {
        /// Name of the file.
        file: String,
        /// Where and why parsing failed.
        source: toml::de::Error,
    },
    /// The settings file is valid TOML, but its settings are invalid.
    #[snafu(display("{}", ProblemList { file, problems }))]
    Invalid {
        /// Name of the file.
        file: String,
        /// All problems found in the file, in the order of the sections.
        problems: Vec<Problem>,
    },
}

/// One problem in a settings file. Keys are written as `section.key`.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Problem {
    /// A section or key that does not exist.
    #[snafu(display("{key}: unknown key; expected one of {expected}"))]
    UnknownKey {
        /// The unknown key.
        key: String,
        /// The sections, or the keys of the section, that exist.
        expected: String,
    },
    /// A required key that is not set.
    #[snafu(display("{key}: missing; expected {expected}"))]
    MissingKey {
        /// The missing key.
        key: String,
        /// Description of a valid value.
        expected: String,
    },
    /// A value of the wrong type or format.
    #[snafu(display("{key}: {found} cannot be used; expected {expected}"))]
    InvalidValue {
        /// The key with the invalid value.
        key: String,
        /// The value as written in the file.
        found: String,
        /// Description of a valid value.
        expected: String,
    },
    /// A value outside of the accepted range.
    #[snafu(display("{key}: {found} is out of range; accepted are {min} to {max}"))]
    OutOfRange {
        /// The key with the value out of range.
        key: String,
        /// The value found.
        found: String,
        /// Smallest accepted value.
        min: String,
        /// Largest accepted value.
        max: String,
    },
    /// Two values that contradict each other.
    #[snafu(display("{key}: {found} contradicts {other} = {other_found}; accepted is {accepted}"))]
    Contradiction {
        /// The key whose value should be changed.
        key: String,
        /// Value of `key`.
        found: String,
        /// The key that `key` contradicts.
        other: String,
        /// Value of `other`.
        other_found: String,
        /// Description of the values of `key` that would not contradict `other`.
        accepted: String,
    },
}

impl Problem {
    /// Returns the key that the problem is about, as `section.key`.
    pub fn key(&self) -> &str {
        match self {
            Self::UnknownKey { key, .. }
            | Self::MissingKey { key, .. }
            | Self::InvalidValue { key, .. }
            | Self::OutOfRange { key, .. }
            | Self::Contradiction { key, .. } => key,
        }
    }
}

/// Displays the problems of a file, one per line.
struct ProblemList<'a> {
    file: &'a str,
    problems: &'a [Problem],
}

impl fmt::Display for ProblemList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{}: {problem}", self.file)?;
        }
        Ok(())
    }
}
