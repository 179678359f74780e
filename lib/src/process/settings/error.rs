//! What can be wrong with a settings file.

use std::fmt;

use snafu::Snafu;

/// Settings that a daemon cannot run with.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read the settings file {file}"))]
    Read {
        /// Name of the file.
        file: String,
        /// Why it cannot be read.
        source: std::io::Error,
    },
    /// The file is no TOML.
    #[snafu(display("{file} is no TOML: {source}"))]
    Syntax {
        /// Name of the file.
        file: String,
        /// Where and why parsing failed.
        source: toml::de::Error,
    },
    /// The file is TOML with settings that cannot be used.
    #[snafu(display("{}", Listing { file, problems }))]
    Invalid {
        /// Name of the file.
        file: String,
        /// Every problem found, in the order of the sections.
        problems: Vec<Problem>,
    },
}

/// One problem of a settings file; keys are written `section.key`.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Problem {
    /// A section or key that no daemon knows.
    #[snafu(display("{key}: unknown key; expected one of {expected}"))]
    UnknownKey {
        /// The unknown key.
        key: String,
        /// The keys known at this place.
        expected: String,
    },
    /// A key that every settings file must set.
    #[snafu(display("{key}: missing; expected {expected}"))]
    MissingKey {
        /// The absent key.
        key: String,
        /// What its value must be.
        expected: String,
    },
    /// A value of the wrong type or form.
    #[snafu(display("{key}: {found} cannot be used; expected {expected}"))]
    InvalidValue {
        /// The key.
        key: String,
        /// The value as written.
        found: String,
        /// What the value must be.
        expected: String,
    },
    /// A value below or above what is accepted.
    #[snafu(display("{key}: {found} is out of range; accepted are {least} to {greatest}"))]
    OutOfRange {
        /// The key.
        key: String,
        /// The value as written.
        found: String,
        /// Least value accepted.
        least: String,
        /// Greatest value accepted.
        greatest: String,
    },
    /// Two values that cannot hold together.
    #[snafu(display("{key}: {found} contradicts {other} = {other_found}; accepted is {accepted}"))]
    Contradiction {
        /// The key to change.
        key: String,
        /// Its value.
        found: String,
        /// The key that it contradicts.
        other: String,
        /// That key's value.
        other_found: String,
        /// What would be accepted.
        accepted: String,
    },
}

impl Problem {
    /// Returns the key to change, as `section.key`.
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

/// Prints the problems of a file, one a line.
struct Listing<'a> {
    file: &'a str,
    problems: &'a [Problem],
}

impl fmt::Display for Listing<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{}: {problem}", self.file)?;
        }
        Ok(())
    }
}
