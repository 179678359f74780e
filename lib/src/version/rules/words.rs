//! Splits a line into words and keeps the column of each.

/// A word of a line; `column` is in characters, starting at 1.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Word<'a> {
    pub(super) text: &'a str,
    pub(super) column: usize,
}

impl<'a> Word<'a> {
    /// Returns the part of the word that starts at a byte offset.
    pub(super) fn tail(self, offset: usize) -> Self {
        let column = self.column + self.text[..offset].chars().count();
        Self { text: &self.text[offset..], column }
    }

    /// Splits the word at each separator; the parts can be empty.
    pub(super) fn split(self, separator: char) -> impl Iterator<Item = Self> {
        let offset = move |part: &str| part.as_ptr() as usize - self.text.as_ptr() as usize;
        self.text.split(separator).map(move |part| Self { text: part, ..self.tail(offset(part)) })
    }
}

/// A line, split at its first `#`.
pub(super) struct SplitLine<'a> {
    /// The words before the comment.
    pub(super) words: Vec<Word<'a>>,
    /// The comment without its `#` and without surrounding white space.
    pub(super) comment: Option<Word<'a>>,
}

/// Splits a line into its words and its comment.
pub(super) fn split_line(line: &str) -> SplitLine<'_> {
    let (body, comment) = match line.find('#') {
        Some(at) => (&line[..at], Some(at + 1)),
        None => (line, None),
    };
    let whole = Word { text: line, column: 1 };
    let comment = comment.map(|at| {
        let text = whole.tail(at);
        let leading = text.text.len() - text.text.trim_start().len();
        let word = text.tail(leading);
        Word { text: word.text.trim_end(), ..word }
    });
    SplitLine { words: split_words(body), comment }
}

fn split_words(body: &str) -> Vec<Word<'_>> {
    let whole = Word { text: body, column: 1 };
    let offset = |part: &str| part.as_ptr() as usize - body.as_ptr() as usize;
    let word = |part| Word { text: part, ..whole.tail(offset(part)) };
    body.split_whitespace().map(word).collect()
}
