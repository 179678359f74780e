//! Checks rules and settings files.

use std::fmt;
use std::path::Path;

use serde::Serialize;

use crate::process::settings::Problem;
use crate::process::settings::Settings;
use crate::process::settings::SettingsError;
use crate::version::rules::Rules;

/// The kinds of files that can be checked.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FileKind {
    /// A rules file.
    Rules,
    /// The settings file of a daemon.
    Settings,
}

/// Results of checking several files.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct CheckReport {
    /// One report for each file, in the order of checking.
    pub files: Vec<FileReport>,
}

/// Result of checking one file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FileReport {
    /// Path of the file, as given.
    pub file: String,
    /// Kind of the file.
    pub kind: FileKind,
    /// Whether the file could be read from disk.
    pub readable: bool,
    /// Summary of the file's content; `None` if the file has problems.
    pub holds: Option<String>,
    /// All problems in the file.
    pub problems: Vec<ProblemReport>,
}

/// One problem in a file.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ProblemReport {
    /// Line number, starting at 1; `None` if the position is not known.
    pub line: Option<usize>,
    /// Column in characters, starting at 1; `None` if the position is not known.
    pub column: Option<usize>,
    /// The words that are wrong, or the settings key; empty if there are none.
    pub words: String,
    /// Description of the problem.
    pub message: String,
    /// Advice on how to fix the problem.
    pub hint: Option<String>,
}

/// Reads and checks a rules file.
pub fn check_rules(path: &Path) -> FileReport {
    let file = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(err) => return FileReport::unreadable(file, FileKind::Rules, &err),
    };
    match Rules::parse(&file, &text) {
        Ok(rules) => {
            let holds = format!("{} rules", rules.iter().len());
            FileReport::valid(file, FileKind::Rules, holds)
        }
        Err(err) => {
            let problems = err.problems.iter().map(|problem| ProblemReport {
                line: Some(problem.line),
                column: Some(problem.column),
                words: problem.words.clone(),
                message: problem.kind.to_string(),
                hint: Some(problem.kind.hint()),
            });
            FileReport::invalid(file, FileKind::Rules, problems.collect())
        }
    }
}

/// Reads and checks a settings file.
pub fn check_settings(path: &Path) -> FileReport {
    let file = path.display().to_string();
    match Settings::load(path) {
        Ok(settings) => {
            let daemon = &settings.daemon;
            let holds = format!("settings of {} for service {}", daemon.instance, daemon.service);
            FileReport::valid(file, FileKind::Settings, holds)
        }
        Err(SettingsError::Read { source, .. }) => {
            FileReport::unreadable(file, FileKind::Settings, &source)
        }
        Err(SettingsError::Syntax { source, .. }) => {
            let message = source.to_string().trim_end().to_owned();
            let problem = ProblemReport { message, ..ProblemReport::default() };
            FileReport::invalid(file, FileKind::Settings, vec![problem])
        }
        Err(SettingsError::Invalid { problems, .. }) => {
            let problems = problems.iter().map(settings_problem).collect();
            FileReport::invalid(file, FileKind::Settings, problems)
        }
    }
}

fn settings_problem(problem: &Problem) -> ProblemReport {
    let words = problem.key().to_owned();
    ProblemReport { words, message: problem.to_string(), ..ProblemReport::default() }
}

impl CheckReport {
    /// Returns whether all files could be read and have no problems.
    pub fn is_valid(&self) -> bool {
        self.files.iter().all(|file| file.problems.is_empty())
    }

    /// Returns whether all files could be read.
    pub fn is_readable(&self) -> bool {
        self.files.iter().all(|file| file.readable)
    }
}

impl FileReport {
    fn valid(file: String, kind: FileKind, holds: String) -> Self {
        Self { file, kind, readable: true, holds: Some(holds), problems: Vec::new() }
    }

    fn invalid(file: String, kind: FileKind, problems: Vec<ProblemReport>) -> Self {
        Self { file, kind, readable: true, holds: None, problems }
    }

    fn unreadable(file: String, kind: FileKind, err: &std::io::Error) -> Self {
        let message = format!("cannot be read: {err}");
        let problem = ProblemReport { message, ..ProblemReport::default() };
        Self { file, kind, readable: false, holds: None, problems: vec![problem] }
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.files.iter().try_for_each(|file| write!(f, "{file}"))
    }
}

impl fmt::Display for FileReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(holds) = &self.holds {
            return writeln!(f, "{}: ok, {holds}", self.file);
        }
        for problem in &self.problems {
            writeln!(f, "{}{problem}", self.file)?;
        }
        let count = self.problems.len();
        let noun = if count == 1 { "problem" } else { "problems" };
        writeln!(f, "{}: {count} {noun}", self.file)
    }
}

impl fmt::Display for ProblemReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let (Some(line), Some(column)) = (self.line, self.column) {
            write!(f, ":{line}:{column}")?;
        }
        write!(f, ": {}", self.message)?;
        // The message of a settings problem already begins with the key in `words`.
        if self.line.is_some() && !self.words.is_empty() {
            write!(f, ": '{}'", self.words)?;
        }
        match &self.hint {
            Some(hint) => write!(f, "\n  hint: {hint}"),
            None => Ok(()),
        }
    }
}
