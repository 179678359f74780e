//! Changes between two versions of a text, by whole lines.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// One step in building the new text from the old one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Edit {
    /// Take lines of the old text.
    #[serde(rename = "c")]
    Copy(u32, u32),
    /// Take these lines, line ends included.
    #[serde(rename = "i")]
    Insert(String),
}

/// The steps that build the new text, in order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Delta(Vec<Edit>);

impl Delta {
    /// Returns the steps from `old` to `new`.
    ///
    /// Each run of lines that stands in the old text in the same order is
    /// copied, wherever it stood, so that moved lines cost as little as kept ones.
    pub fn between(old: &str, new: &str) -> Self {
        let old_lines: Vec<&str> = old.split_inclusive('\n').collect();
        let positions: IndexMap<&str, usize> =
            old_lines.iter().enumerate().rev().map(|(at, &line)| (line, at)).collect();
        let mut builder = Builder::default();
        for line in new.split_inclusive('\n') {
            let next = builder.next_copied();
            let at = match next.filter(|&next| old_lines.get(next) == Some(&line)) {
                Some(next) => Some(next),
                None => positions.get(line).copied(),
            };
            match at {
                Some(at) => builder.copy(at),
                None => builder.insert(line),
            }
        }
        Self(builder.edits)
    }

    /// Builds the new text; `None` if a step copies lines that `old` lacks.
    pub fn apply(&self, old: &str) -> Option<String> {
        let old_lines: Vec<&str> = old.split_inclusive('\n').collect();
        let mut new = String::with_capacity(old.len());
        for edit in &self.0 {
            match edit {
                Edit::Copy(start, count) => {
                    let start = *start as usize;
                    let end = start.checked_add(*count as usize)?;
                    new.extend(old_lines.get(start..end)?.iter().copied());
                }
                Edit::Insert(lines) => new.push_str(lines),
            }
        }
        Some(new)
    }

    /// Returns about how many bytes the steps take in a message.
    pub fn size(&self) -> usize {
        const STEP_BYTES: usize = 16;
        let size = |edit: &Edit| match edit {
            Edit::Copy(..) => STEP_BYTES,
            Edit::Insert(lines) => STEP_BYTES + lines.len(),
        };
        self.0.iter().map(size).sum()
    }
}

#[derive(Debug, Default)]
struct Builder {
    edits: Vec<Edit>,
}

impl Builder {
    /// Returns the old line after the last one copied, if a copy is under way.
    fn next_copied(&self) -> Option<usize> {
        self.edits.iter().rev().find_map(|edit| match edit {
            Edit::Copy(start, count) => Some((start + count) as usize),
            Edit::Insert(_) => None,
        })
    }

    fn copy(&mut self, at: usize) {
        let at = at as u32;
        match self.edits.last_mut() {
            Some(Edit::Copy(start, count)) if *start + *count == at => *count += 1,
            _ => self.edits.push(Edit::Copy(at, 1)),
        }
    }

    fn insert(&mut self, line: &str) {
        match self.edits.last_mut() {
            Some(Edit::Insert(lines)) => lines.push_str(line),
            _ => self.edits.push(Edit::Insert(line.to_owned())),
        }
    }
}
