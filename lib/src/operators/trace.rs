//! Merges the log lines of one request from several daemons, ordered by time.

use std::collections::BTreeSet;
use std::fmt;

use indexmap::IndexMap;
use serde::Serialize;

use super::Table;

/// The log of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct LogFile<'a> {
    /// Name of the log file, which identifies the daemon.
    pub name: &'a str,
    /// Content of the log file.
    pub text: &'a str,
}

/// One log line about a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TraceLine {
    /// Time at which the line was written, by the clock of the daemon's VM.
    pub time: String,
    /// Name of the log file that contains the line.
    pub file: String,
    /// Name of the logged event.
    pub event: String,
    /// The fields of the line besides time, level and event, in their order.
    pub fields: IndexMap<String, String>,
}

/// The log lines about one request and its calls, and the cause of its failure.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct TraceReport {
    /// The request name or chain identity that was searched for.
    pub id: String,
    /// The matching lines, ordered by time.
    pub lines: Vec<TraceLine>,
    /// Index in `lines` of the line that logs the cause of the request's failure.
    pub cause: Option<usize>,
    /// Number of lines in all files that could not be parsed.
    pub unreadable: usize,
    /// Names of the files in which a time is earlier than that of the line before,
    /// so that the order of the lines is uncertain.
    pub clock_went_back: Vec<String>,
    /// Number of lines that the daemons left out of their logs, by event name.
    pub left_out: IndexMap<String, u64>,
}

/// Finds the lines of a request, of its calls and of the other requests in its
/// chain.
///
/// `id` is the name that the sender gave the request, or the identity of its chain.
pub fn trace(id: &str, files: &[LogFile<'_>]) -> TraceReport {
    let mut report = TraceReport { id: id.to_owned(), ..TraceReport::default() };
    let mut all = Vec::new();
    for file in files {
        let mut previous_time = String::new();
        for text in file.text.lines().filter(|text| !text.trim().is_empty()) {
            let Some(line) = parse(file.name, text) else {
                report.unreadable += 1;
                continue;
            };
            let goes_back = line.time < previous_time;
            if goes_back && !report.clock_went_back.iter().any(|name| name == file.name) {
                report.clock_went_back.push(file.name.to_owned());
            }
            previous_time = line.time.clone();
            if line.event == "lines-left-out" {
                let kind = line.field("of").to_owned();
                let count: u64 = line.field("left_out").parse().unwrap_or_default();
                *report.left_out.entry(kind).or_default() += count;
            }
            all.push(line);
        }
    }
    let chains: BTreeSet<String> = all
        .iter()
        .filter(|line| line.is_about(id))
        .map(|line| line.field("chain").to_owned())
        .filter(|chain| !chain.is_empty())
        .collect();
    all.retain(|line| line.is_about(id) || chains.contains(line.field("chain")));
    all.sort_by(|a, b| a.time.cmp(&b.time));
    report.cause = find_cause(&all);
    report.lines = all;
    report
}

/// Returns the index of the line that logs the cause of the failure.
///
/// The cause is the first refusal with `origin=here` among those at the greatest
/// call depth, since refusals further up the chain are its consequence. Without
/// such a refusal, the cause is the first cancellation.
fn find_cause(lines: &[TraceLine]) -> Option<usize> {
    let is_own_failure =
        |line: &TraceLine| line.event == "refused" && line.field("origin") == "here";
    let depth_of = |line: &TraceLine| line.field("depth").parse::<u8>().unwrap_or_default();
    let deepest = lines.iter().filter(|line| is_own_failure(line)).map(depth_of).max();
    let decided =
        lines.iter().position(|line| is_own_failure(line) && Some(depth_of(line)) == deepest);
    decided.or_else(|| lines.iter().position(|line| line.event == "cancelled"))
}

impl TraceLine {
    fn field(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }

    /// Returns whether the line is about the request or chain with this `id`, or
    /// about a call of the request, whose name is `id` followed by a dot.
    fn is_about(&self, id: &str) -> bool {
        let name = self.field("request");
        let is_call = name.strip_prefix(id).is_some_and(|rest| rest.starts_with('.'));
        name == id || is_call || self.field("chain") == id
    }
}

/// Parses one log line, `time=... level=... event=... key=value ...`.
fn parse(file: &str, text: &str) -> Option<TraceLine> {
    let mut fields = IndexMap::new();
    let mut rest = text.trim();
    while !rest.is_empty() {
        let (key, after) = rest.split_once('=')?;
        let (value, after) = match after.strip_prefix('"') {
            Some(quoted) => split_quoted_value(quoted)?,
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

/// Splits the text after an opening quotation mark into the quoted value and the
/// rest of the line; `None` if no quotation mark closes the value.
fn split_quoted_value(text: &str) -> Option<(&str, &str)> {
    let mut escaped = false;
    for (at, c) in text.char_indices() {
        match c {
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
            let hidden = ["chain", "hash"];
            let fields = line.fields.iter().filter(|(key, _)| !hidden.contains(&key.as_str()));
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
                writeln!(f, "cause: the sender cancelled the request, logged by {}", line.file)?;
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
            None => writeln!(f, "no cause of failure is logged for {}", self.id)?,
        }
        if self.unreadable > 0 {
            writeln!(f, "note: {} lines could not be read", self.unreadable)?;
        }
        for file in &self.clock_went_back {
            writeln!(f, "note: the times in {file} go back; the order of lines is uncertain")?;
        }
        for (kind, count) in &self.left_out {
            writeln!(f, "note: {count} lines of {kind} were left out; see the counters")?;
        }
        Ok(())
    }
}
