//! Parses a rules file line by line and collects all its problems.

use http::Method;

use super::Line;
use super::MethodPattern;
use super::PathPattern;
use super::Rule;
use super::Rules;
use super::Segment;
use super::ServicePattern;
use super::attributes::Attributes;
use super::customers;
use super::error::PathFault;
use super::error::Problem;
use super::error::ProblemKind;
use super::error::RulesError;
use super::shadow;
use super::words;
use super::words::SplitLine;
use super::words::Word;
use crate::version::customers::CustomerTable;

/// Maximum length of a rules file in bytes, which is the longest value that the
/// platform serves.
pub const MAX_TEXT_BYTES: usize = 1 << 20;

const ASKED_BY_PREFIX: &str = "asked by";

/// Collects the problems of one line.
pub(super) struct ProblemSink<'a> {
    file: &'a str,
    line: usize,
    problems: &'a mut Vec<Problem>,
}

impl ProblemSink<'_> {
    pub(super) fn push(&mut self, word: Word<'_>, kind: ProblemKind) {
        self.problems.push(Problem {
            file: self.file.to_owned(),
            line: self.line,
            column: word.column,
            words: word.text.to_owned(),
            kind,
        });
    }
}

/// Parses and checks a rules file.
pub(super) fn parse(file: &str, text: &str) -> Result<Rules, RulesError> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(RulesError { problems: vec![too_long_problem(file, text.len())] });
    }
    let mut problems = Vec::new();
    let (mut lines, mut rules) = (Vec::new(), Vec::new());
    let mut table = CustomerTable::default();
    for (index, line) in text.lines().enumerate() {
        let mut sink = ProblemSink { file, line: index + 1, problems: &mut problems };
        let split = words::split_line(line);
        if customers::is_customer(&split.words) {
            parse_customer(line, &split, &mut table, &mut sink);
            lines.push(Line::Customer(printed_customer(&split)));
            continue;
        }
        let (kind, rule) = parse_line(line, &split, &mut sink);
        lines.push(kind);
        rules.extend(rule);
    }
    report_shadowed(file, &rules, &mut problems);
    if problems.is_empty() {
        return Ok(Rules::new(lines, rules, table));
    }
    problems.sort_by_key(|problem| (problem.line, problem.column));
    Err(RulesError { problems })
}

fn too_long_problem(file: &str, found: usize) -> Problem {
    let kind = ProblemKind::TooLong { found };
    Problem { file: file.to_owned(), line: 1, column: 1, words: String::new(), kind }
}

fn report_shadowed(file: &str, rules: &[Rule], problems: &mut Vec<Problem>) {
    for found in shadow::find_shadowed(rules) {
        let rule = &rules[found.rule];
        problems.push(Problem {
            file: file.to_owned(),
            line: rule.line,
            column: 1,
            words: format!("{} {} {}", rule.service, rule.method, rule.path),
            kind: ProblemKind::Shadowed { by: rules[found.by].line },
        });
    }
}

/// Parses the line of a customer and adds the customer to `table`.
fn parse_customer(
    line: &str,
    split: &SplitLine<'_>,
    table: &mut CustomerTable,
    sink: &mut ProblemSink<'_>,
) {
    let end = Word { text: "", column: line.trim_end().chars().count() + 1 };
    let parsed = customers::parse(&split.words, end, sink);
    let requester = parse_asked_by(split.comment, end, sink);
    let (Some(parsed), Some(_)) = (parsed, requester) else { return };
    if let Err(fault) = table.insert(parsed.customer, &parsed.keys) {
        sink.push(split.words[1], ProblemKind::CustomerConflict { fault });
    }
}

fn printed_customer(split: &SplitLine<'_>) -> String {
    let words = customers::without_keys(&split.words);
    match split.comment {
        Some(comment) => format!("{words}  # {}", comment.text),
        None => words,
    }
}

fn parse_line(
    line: &str,
    split: &SplitLine<'_>,
    sink: &mut ProblemSink<'_>,
) -> (Line, Option<Rule>) {
    match (split.words.as_slice(), split.comment) {
        ([], None) => (Line::Blank, None),
        ([], Some(comment)) => (Line::Comment(comment.text.to_owned()), None),
        (words, comment) => (Line::Rule, parse_rule(line, words, comment, sink)),
    }
}

fn parse_rule(
    line: &str,
    words: &[Word<'_>],
    comment: Option<Word<'_>>,
    sink: &mut ProblemSink<'_>,
) -> Option<Rule> {
    let end = Word { text: "", column: line.trim_end().chars().count() + 1 };
    let mut rest = words.iter().copied();
    let service = match rest.next() {
        Some(word) => parse_service(word, sink),
        None => None,
    };
    let method_word = rest.next();
    let method = match method_word {
        Some(word) => parse_method(word, sink),
        None => report_missing(end, "method", sink),
    };
    let path = match rest.next() {
        Some(word) => parse_path(word, sink),
        None => report_missing(end, "path", sink),
    };
    let attributes = Attributes::parse(rest, end, sink);
    let requester = parse_asked_by(comment, end, sink);
    let (service, method, path) = (service?, method?, path?);
    let attributes = attributes?.resolve(&method, method_word?, sink)?;
    let (requested_by, reason) = requester?;
    Some(Rule {
        line: sink.line,
        service,
        method,
        path,
        criticality: attributes.criticality,
        weight: attributes.weight,
        idempotent: attributes.idempotent,
        retries: attributes.retries,
        deadline: attributes.deadline,
        may_wait: attributes.may_wait,
        public: attributes.public,
        requested_by,
        reason,
    })
}

fn report_missing<T>(end: Word<'_>, part: &'static str, sink: &mut ProblemSink<'_>) -> Option<T> {
    sink.push(end, ProblemKind::MissingPart { part });
    None
}

fn parse_service(word: Word<'_>, sink: &mut ProblemSink<'_>) -> Option<ServicePattern> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    if word.text == "*" {
        return Some(ServicePattern::Any);
    }
    if word.text.chars().all(is_allowed) {
        return Some(ServicePattern::Named(word.text.to_owned()));
    }
    sink.push(word, ProblemKind::InvalidService);
    None
}

fn parse_method(word: Word<'_>, sink: &mut ProblemSink<'_>) -> Option<MethodPattern> {
    if word.text == "*" {
        return Some(MethodPattern::Any);
    }
    let mut methods = Vec::new();
    for part in word.split(',') {
        let is_allowed = !part.text.is_empty() && part.text.bytes().all(|b| b.is_ascii_uppercase());
        let parsed = is_allowed.then(|| Method::from_bytes(part.text.as_bytes()).ok()).flatten();
        match parsed {
            Some(method) if methods.contains(&method) => {
                sink.push(part, ProblemKind::RepeatedMethod);
                return None;
            }
            Some(method) => methods.push(method),
            None => {
                sink.push(word, ProblemKind::InvalidMethod);
                return None;
            }
        }
    }
    Some(MethodPattern::OneOf(methods))
}

fn parse_path(word: Word<'_>, sink: &mut ProblemSink<'_>) -> Option<PathPattern> {
    match parse_path_pattern(word.text) {
        Ok(pattern) => Some(pattern),
        Err(fault) => {
            sink.push(word, ProblemKind::InvalidPath { fault });
            None
        }
    }
}

fn parse_path_pattern(text: &str) -> Result<PathPattern, PathFault> {
    let rest = text.strip_prefix('/').ok_or(PathFault::NoRoot)?;
    let (rest, open_ended) = match rest.strip_suffix("**") {
        Some("") => return Ok(PathPattern::any()),
        Some(body) => (body.strip_suffix('/').ok_or(PathFault::PartialWildcard)?, true),
        None => (rest, false),
    };
    if rest.is_empty() && !open_ended {
        return Ok(PathPattern { segments: Vec::new(), open_ended });
    }
    let segments = rest.split('/').map(parse_segment).collect::<Result<_, _>>()?;
    Ok(PathPattern { segments, open_ended })
}

fn parse_segment(text: &str) -> Result<Segment, PathFault> {
    match text {
        "" => Err(PathFault::EmptySegment),
        "*" => Ok(Segment::Any),
        "**" => Err(PathFault::EarlyWildcard),
        _ if text.contains('*') => Err(PathFault::PartialWildcard),
        _ if !text.bytes().all(is_path_byte) => Err(PathFault::InvalidCharacter),
        _ => Ok(Segment::Exact(text.to_owned())),
    }
}

/// Returns whether RFC 3986 allows a byte in a path segment.
fn is_path_byte(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"-._~!$&'()+,;=:@%".contains(&b)
}

fn parse_asked_by(
    comment: Option<Word<'_>>,
    end: Word<'_>,
    sink: &mut ProblemSink<'_>,
) -> Option<(String, String)> {
    let named = comment.and_then(|comment| comment.text.strip_prefix(ASKED_BY_PREFIX));
    let named = named.filter(|rest| rest.starts_with(char::is_whitespace));
    let (name, reason) = match named.map(|rest| rest.split_once(',').unwrap_or((rest, ""))) {
        Some((name, reason)) => (name.trim(), reason.trim()),
        None => ("", ""),
    };
    if name.is_empty() {
        sink.push(comment.unwrap_or(end), ProblemKind::MissingName);
        return None;
    }
    Some((name.to_owned(), reason.to_owned()))
}
