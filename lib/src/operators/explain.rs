//! Tells which rule serves a request, and who asked for it.

use std::fmt;
use std::time::Duration;

use http::Method;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;

use super::Table;
use crate::process::DurationText;
use crate::version::Criticality;
use crate::version::rules::Rule;
use crate::version::rules::Rules;

/// A request as far as rules look at it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Service, as the `Host` header names it.
    pub service: &'a str,
    /// HTTP method.
    pub method: &'a Method,
    /// Path, with or without a query.
    pub path: &'a str,
}

/// The rule that serves a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ExplainReport {
    /// File or daemon that the rules come from.
    pub source: String,
    /// Version of the rules, if they come from a daemon.
    pub version: Option<u64>,
    /// Service of the request.
    pub service: String,
    /// Method of the request.
    pub method: String,
    /// Path of the request.
    pub path: String,
    /// Whether a line of the file matches.
    pub matched: bool,
    /// The rule.
    pub rule: RuleReport,
}

/// One rule, for people and scripts.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RuleReport {
    /// Line in the file, or none for what holds without a line.
    pub line: Option<usize>,
    /// The line as printed.
    pub text: String,
    /// Who asked for it.
    pub requested_by: String,
    /// Why, or empty.
    pub reason: String,
    /// How much the request matters.
    #[serde_as(as = "DisplayFromStr")]
    pub criticality: Criticality,
    /// Worth of a whole answer.
    pub weight: u32,
    /// Whether running it again has no further effect.
    pub idempotent: bool,
    /// Retries over the whole chain.
    pub retries: u32,
    /// Time for the whole answer.
    #[serde_as(as = "DurationText")]
    pub deadline: Duration,
    /// Whether the request may queue.
    pub may_wait: bool,
}

/// Finds the rule that serves a request.
pub fn explain(
    source: &str,
    version: Option<u64>,
    rules: &Rules,
    req: Request<'_>,
) -> ExplainReport {
    let rule = rules.find(req.service, req.method, req.path);
    ExplainReport {
        source: source.to_owned(),
        version,
        service: req.service.to_owned(),
        method: req.method.to_string(),
        path: req.path.to_owned(),
        matched: rule.line != 0,
        rule: RuleReport::new(rule),
    }
}

impl RuleReport {
    fn new(rule: &Rule) -> Self {
        Self {
            line: (rule.line != 0).then_some(rule.line),
            text: rule.to_string(),
            requested_by: rule.requested_by.clone(),
            reason: rule.reason.clone(),
            criticality: rule.criticality,
            weight: rule.weight,
            idempotent: rule.idempotent,
            retries: rule.retries,
            deadline: rule.deadline,
            may_wait: rule.may_wait,
        }
    }

    fn reason(&self) -> &str {
        if self.reason.is_empty() { "(no reason given)" } else { &self.reason }
    }
}

impl fmt::Display for ExplainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let version = self.version.map(|version| format!(" version {version}"));
        let place = match self.rule.line {
            Some(line) => format!("{}{}, line {line}", self.source, version.unwrap_or_default()),
            None => format!("no line of {}{}", self.source, version.unwrap_or_default()),
        };
        let rule = &self.rule;
        let yes = |flag: bool| if flag { "yes" } else { "no" }.to_owned();
        let rows = [
            ("request", format!("{} {} {}", self.service, self.method, self.path)),
            ("served by", place),
            ("asked by", rule.requested_by.clone()),
            ("why", rule.reason().to_owned()),
            ("criticality", rule.criticality.to_string()),
            ("weight", rule.weight.to_string()),
            ("idempotent", yes(rule.idempotent)),
            ("retries", format!("{} over the whole chain", rule.retries)),
            ("deadline", DurationText(rule.deadline).to_string()),
            ("may wait", yes(rule.may_wait)),
        ];
        let mut table = Table::new(&["FIELD", "VALUE"]);
        rows.into_iter().for_each(|(field, value)| table.push(vec![field.to_owned(), value]));
        write!(f, "{table}")
    }
}
