//! Puts the lines of one request from the logs of several daemons in order.

use std::collections::BTreeSet;
use std::fmt;

use indexmap::IndexMap;
use serde::Serialize;

use super::Table;

/// One daemon's log.
#[derive(Clone, Copy, Debug)]
pub struct LogFile<'a> {
    /// Name of the file, which stands for the daemon.
    pub name: &'a str,
    /// Its lines.
    pub text: &'a str,
}

/// One line on the request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TraceLine {
    /// When it was written, by the clock of the daemon's VM.
    pub time: String,
    /// File that it stands in.
    pub file: String,
    /// The kind of decision.
    pub event: String,
    /// The other fields, as they were written.
    pub fields: IndexMap<String, String>,
}

/// What the logs say of one request and its calls.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct TraceReport {
    /// The name or chain that was asked for.
    pub id: String,
    /// The lines, the oldest first.
    pub lines: Vec<TraceLine>,
    /// The line that decided how the request ended, by its place in `lines`.
    pub cause: Option<usize>,
    /// Lines of all files that could not be read.
    pub unreadable: usize,
    /// Files whose times go back, so that the order is not certain.
    pub clock_went_back: Vec<String>,
    /// Lines on requests that the daemons left out, by kind.
    pub left_out: IndexMap<String, u64>,
}

/// Finds the lines of a request, of its calls, and of the other requests of its
/// chain, by the name that its sender gave it or by the identity of its chain.
pub fn trace(id: &str, files: &[LogFile<'_>]) -> TraceReport {
    let mut report = TraceReport { id: id.to_owned(), ..TraceReport::default() };
    let mut all = Vec::new();
    for file in files {
        let mut latest = String::new();
        for text in file.text.lines().filter(|text| !text.trim().is_empty()) {
            let Some(line) = parse(file.name, text) else {
                report.unreadable += 1;
                continue;
            };
            let goes_back = line.time < latest;
            if goes_back && !report.clock_went_back.iter().any(|name| name == file.name) {
                report.clock_went_back.push(file.name.to_owned());
            }
            latest = line.time.clone();
            if line.event == "lines-left-out" {
                let kind = line.field("of").to_owned();
                let number: u64 = line.field("left_out").parse().unwrap_or_default();
                *report.left_out.entry(kind).or_default() += number;
            }
            all.push(line);
        }
    }
    let chains: BTreeSet<String> = all
        .iter()
        .filter(|line| line.is_named(id))
        .map(|line| line.field("chain").to_owned())
        .filter(|chain| !chain.is_empty())
        .collect();
    all.retain(|line| line.is_named(id) || chains.contains(line.field("chain")));
    all.sort_by(|a, b| a.time.cmp(&b.time));
    report.cause = cause(&all);
    report.lines = all;
    report
}

/// Returns the line that decided: the first failure that a daemon met itself, at
/// the deepest call that failed; what came after it followed from it.
fn cause(lines: &[TraceLine]) -> Option<usize> {
    let own = |line: &TraceLine| line.event == "refused" && line.field("origin") == "here";
    let depth = |line: &TraceLine| line.field("depth").parse::<u8>().unwrap_or_default();
    let deepest = lines.iter().filter(|line| own(line)).map(depth).max();
    let decided = lines.iter().position(|line| own(line) && Some(depth(line)) == deepest);
    decided.or_else(|| lines.iter().position(|line| line.event == "cancelled"))
}

impl TraceLine {
    fn field(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }

    /// Whether the line is on the request, or on a call that bears its name.
    fn is_named(&self, id: &str) -> bool {
        let name = self.field("request");
        let is_call = name.strip_prefix(id).is_some_and(|rest| rest.starts_with('.'));
        name == id || is_call || self.field("chain") == id
    }
}

/// Reads one line, `time=... level=... event=... key=value ...`.
fn parse(file: &str, text: &str) -> Option<TraceLine> {
    let mut fields = IndexMap::new();
    let mut rest = text.trim();
    while !rest.is_empty() {
        let (key, after) = rest.split_once('=')?;
        let (value, after) = match after.strip_prefix('"') {
            Some(quoted) => quoted_value(quoted)?,
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        fields.insert(key.to_owned(), value.to_owned());
        rest = after.trim_start();
    }
    let time = fields.shift_remove("time")?;
    fields.shift_remove("level");
    let event = fields.shift_remove("event")?;
    Some(TraceLine { time, file: file.to_owned(), event, fields })
}

/// Splits a value off at the quotation mark that ends it.
fn quoted_value(text: &str) -> Option<(&str, &str)> {
    let mut escaped = false;
    for (at, letter) in text.char_indices() {
        match letter {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '"' => return Some((&text[..at], &text[at + 1..])),
            _ => {}
        }
    }
    None
}

impl fmt::Display for TraceReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&["TIME", "DAEMON", "EVENT", "WHAT"]);
        for line in &self.lines {
            let told = ["chain", "hash"];
            let fields = line.fields.iter().filter(|(key, _)| !told.contains(&key.as_str()));
            let fields: Vec<String> = fields.map(|(key, value)| format!("{key}={value}")).collect();
            table.push(vec![
                line.time.clone(),
                line.file.clone(),
                line.event.clone(),
                fields.join(" "),
            ]);
        }
        if !self.lines.is_empty() {
            write!(f, "{table}")?;
        }
        match self.cause.map(|at| &self.lines[at]) {
            Some(line) if line.event == "cancelled" => {
                writeln!(f, "cause: its sender went away, seen by {}", line.file)?;
            }
            Some(line) => writeln!(
                f,
                "cause: {} at {} of {}, depth {}; outcome {}",
                line.field("reason"),
                line.file,
                line.field("service"),
                line.field("depth"),
                line.field("outcome"),
            )?,
            None => writeln!(f, "no cause of a failure of {} is logged", self.id)?,
        }
        if self.unreadable > 0 {
            writeln!(f, "note: {} lines could not be read", self.unreadable)?;
        }
        for file in &self.clock_went_back {
            writeln!(f, "note: the times of {file} go back; the order is not certain")?;
        }
        for (kind, number) in &self.left_out {
            writeln!(f, "note: {number} lines of {kind} were left out; see the counters")?;
        }
        Ok(())
    }
}
