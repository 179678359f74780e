//! Splits a line into words that know their column.

/// A word of a line; the column counts characters from 1.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Word<'a> {
    pub(super) text: &'a str,
    pub(super) column: usize,
}

impl<'a> Word<'a> {
    /// Returns the part of the word from a byte offset on.
    pub(super) fn tail(self, offset: usize) -> Self {
        let column = self.column + self.text[..offset].chars().count();
        Self { text: &self.text[offset..], column }
    }

    /// Splits the word at a separator; parts may be empty.
    pub(super) fn split(self, separator: char) -> impl Iterator<Item = Self> {
        let offset = move |part: &str| part.as_ptr() as usize - self.text.as_ptr() as usize;
        self.text.split(separator).map(move |part| Self { text: part, ..self.tail(offset(part)) })
    }
}

/// One line, cut at the first `#`.
pub(super) struct SplitLine<'a> {
    /// The words before the comment.
    pub(super) words: Vec<Word<'a>>,
    /// The comment without its `#` and the white space around it.
    pub(super) comment: Option<Word<'a>>,
}

/// Splits a line into words and comment.
pub(super) fn split(line: &str) -> SplitLine<'_> {
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
    SplitLine { words: words(body), comment }
}

fn words(body: &str) -> Vec<Word<'_>> {
    let whole = Word { text: body, column: 1 };
    let offset = |part: &str| part.as_ptr() as usize - body.as_ptr() as usize;
    let word = |part| Word { text: part, ..whole.tail(offset(part)) };
    body.split_whitespace().map(word).collect()
}
