//! Line-based deltas between two versions of a text.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// One instruction for building the new text from the old one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Edit {
    /// Copy lines of the old text: index of the first line and number of lines.
    #[serde(rename = "c")]
    Copy(u32, u32),
    /// Insert these lines, which include their line endings.
    #[serde(rename = "i")]
    Insert(String),
}

/// Edits that build the new text, in order of application.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Delta(Vec<Edit>);

impl Delta {
    /// Computes the delta from `old` to `new`.
    ///
    /// Each run of consecutive lines of the old text is copied, wherever it was,
    /// so that moved lines cost no more than unchanged ones.
    pub fn between(old: &str, new: &str) -> Self {
        let old_lines: Vec<&str> = old.split_inclusive('\n').collect();
        let positions: IndexMap<&str, usize> =
            old_lines.iter().enumerate().rev().map(|(at, &line)| (line, at)).collect();
        let mut builder = EditBuilder::default();
        for line in new.split_inclusive('\n') {
            let next = builder.next_to_copy();
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

    /// Applies the delta to `old`; `None` if an edit copies lines beyond its end.
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

    /// Estimates the encoded size of the delta in a message, in bytes.
    pub fn size(&self) -> usize {
        const EDIT_OVERHEAD_BYTES: usize = 16;
        let size = |edit: &Edit| match edit {
            Edit::Copy(..) => EDIT_OVERHEAD_BYTES,
            Edit::Insert(lines) => EDIT_OVERHEAD_BYTES + lines.len(),
        };
        self.0.iter().map(size).sum()
    }
}

#[derive(Debug, Default)]
struct EditBuilder {
    edits: Vec<Edit>,
}

impl EditBuilder {
    /// Returns the index of the old line that follows the last copied one, if any
    /// line was copied.
    fn next_to_copy(&self) -> Option<usize> {
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
