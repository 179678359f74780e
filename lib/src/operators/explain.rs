//! Reports which rule applies to a request and who asked for the rule.

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

/// The properties of a request that rules match.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Name of the service, as in the `Host` header.
    pub service: &'a str,
    /// HTTP method.
    pub method: &'a Method,
    /// Path, with or without a query.
    pub path: &'a str,
}

/// A request and the rule that applies to it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ExplainReport {
    /// Rules file or daemon that the rules were read from.
    pub source: String,
    /// Version of the rules, if they were read from a daemon.
    pub version: Option<u64>,
    /// Service of the request.
    pub service: String,
    /// Method of the request.
    pub method: String,
    /// Path of the request.
    pub path: String,
    /// Whether a line of the rules matches; if not, [`Rule::fallback`] applies.
    pub matched: bool,
    /// The rule that applies to the request.
    pub rule: RuleReport,
}

/// One rule, in the form that is shown to people and scripts.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RuleReport {
    /// Line number in the file; `None` for [`Rule::fallback`].
    pub line: Option<usize>,
    /// The rule in its canonical form, as one line of a rules file.
    pub text: String,
    /// Name of the person who asked for the rule.
    pub requested_by: String,
    /// Why the rule was asked for; empty if the line gives no reason.
    pub reason: String,
    /// Criticality of the request, which sets the order of shedding.
    #[serde_as(as = "DisplayFromStr")]
    pub criticality: Criticality,
    /// Weight of one complete response in the weighted goodput.
    pub weight: u32,
    /// Whether executing the request again has no further effect.
    pub idempotent: bool,
    /// Maximum number of retries across the whole call chain.
    pub retries: u32,
    /// Time within which the complete response must arrive.
    #[serde_as(as = "DurationText")]
    pub deadline: Duration,
    /// Whether the request may be queued when capacity is short.
    pub may_wait: bool,
}

/// Reports the rule that applies to a request, from `rules` that were read from
/// `source`.
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
        let location = match self.rule.line {
            Some(line) => format!("{}{}, line {line}", self.source, version.unwrap_or_default()),
            None => format!("no line of {}{}", self.source, version.unwrap_or_default()),
        };
        let rule = &self.rule;
        let yes_or_no = |flag: bool| if flag { "yes" } else { "no" }.to_owned();
        let rows = [
            ("request", format!("{} {} {}", self.service, self.method, self.path)),
            ("served by", location),
            ("asked by", rule.requested_by.clone()),
            ("why", rule.reason().to_owned()),
            ("criticality", rule.criticality.to_string()),
            ("weight", rule.weight.to_string()),
            ("idempotent", yes_or_no(rule.idempotent)),
            ("retries", format!("{} over the whole chain", rule.retries)),
            ("deadline", DurationText(rule.deadline).to_string()),
            ("may wait", yes_or_no(rule.may_wait)),
        ];
        let mut table = Table::new(&["FIELD", "VALUE"]);
        rows.into_iter().for_each(|(field, value)| table.push(vec![field.to_owned(), value]));
        write!(f, "{table}")
    }
}
