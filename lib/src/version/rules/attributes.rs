//! Parses the attributes of a rule, which follow its path in any order.

use std::ops::RangeInclusive;
use std::time::Duration;

use http::Method;

use super::MethodPattern;
use super::Rule;
use super::error::ProblemKind;
use super::parser::ProblemSink;
use super::words::Word;
use crate::process::DurationText;
use crate::version::Criticality;

const WEIGHT_RANGE: RangeInclusive<u32> = 1..=1_000_000;
const RETRIES_RANGE: RangeInclusive<u32> = 0..=100;
const DEADLINE_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(1)..=Duration::from_secs(86_400);

const DEFAULT_WEIGHT: u32 = 1;
const DEFAULT_RETRIES: u32 = 0;

/// The attributes that a line sets; `None` for those that it does not set.
#[derive(Default)]
pub(super) struct Attributes {
    criticality: Option<Criticality>,
    weight: Option<u32>,
    idempotent: Option<bool>,
    retries: Option<u32>,
    deadline: Option<Duration>,
    may_wait: Option<bool>,
    public: Option<bool>,
}

/// The attributes of a rule after defaults are applied.
pub(super) struct ResolvedAttributes {
    pub(super) criticality: Criticality,
    pub(super) weight: u32,
    pub(super) idempotent: bool,
    pub(super) retries: u32,
    pub(super) deadline: Duration,
    pub(super) may_wait: bool,
    pub(super) public: bool,
}

impl Attributes {
    /// Parses the words after the path. Reports every problem to `sink` and returns
    /// `None` if there is any.
    ///
    /// `end` is the end of the line, where a missing attribute is reported.
    pub(super) fn parse<'a>(
        words: impl Iterator<Item = Word<'a>>,
        end: Word<'_>,
        sink: &mut ProblemSink<'_>,
    ) -> Option<Self> {
        let mut attributes = Self::default();
        let mut valid = true;
        for word in words {
            if let Err(kind) = attributes.set(word.text) {
                sink.push(word, kind);
                valid = false;
            }
        }
        if valid && attributes.criticality.is_none() {
            let example = "criticality=normal";
            sink.push(end, ProblemKind::MissingAttribute { attribute: "criticality", example });
            valid = false;
        }
        valid.then_some(attributes)
    }

    fn set(&mut self, word: &str) -> Result<(), ProblemKind> {
        match word.split_once('=') {
            Some(("criticality", value)) => {
                set_once(&mut self.criticality, "criticality", parse_criticality(value)?)
            }
            Some(("weight", value)) => {
                let accepted = "1 to 1000000";
                set_once(
                    &mut self.weight,
                    "weight",
                    parse_number("weight", value, &WEIGHT_RANGE, accepted)?,
                )
            }
            Some(("retries", value)) => {
                let accepted = "0 to 100";
                set_once(
                    &mut self.retries,
                    "retries",
                    parse_number("retries", value, &RETRIES_RANGE, accepted)?,
                )
            }
            Some(("deadline", value)) => {
                set_once(&mut self.deadline, "deadline", parse_deadline(value)?)
            }
            None if word == "idempotent" => set_once(&mut self.idempotent, "idempotent", true),
            None if word == "non-idempotent" => set_once(&mut self.idempotent, "idempotent", false),
            None if word == "wait" => set_once(&mut self.may_wait, "wait", true),
            None if word == "no-wait" => set_once(&mut self.may_wait, "wait", false),
            None if word == "public" => set_once(&mut self.public, "public", true),
            _ => Err(ProblemKind::UnknownAttribute),
        }
    }

    /// Applies defaults, and reports a rule that declares a safe method
    /// non-idempotent.
    ///
    /// A rule is idempotent by default only if HTTP defines all its methods as
    /// idempotent.
    pub(super) fn resolve(
        self,
        method: &MethodPattern,
        method_word: Word<'_>,
        sink: &mut ProblemSink<'_>,
    ) -> Option<ResolvedAttributes> {
        let idempotent = self.idempotent.unwrap_or_else(|| is_idempotent(method));
        if let (MethodPattern::OneOf(methods), false) = (method, idempotent)
            && let Some(safe) = methods.iter().find(|method| method.is_safe())
        {
            let method = safe.to_string();
            sink.push(method_word, ProblemKind::SafeMethodNonIdempotent { method });
            return None;
        }
        Some(ResolvedAttributes {
            criticality: self.criticality?,
            weight: self.weight.unwrap_or(DEFAULT_WEIGHT),
            idempotent,
            retries: self.retries.unwrap_or(DEFAULT_RETRIES),
            deadline: self.deadline.unwrap_or(Rule::DEFAULT_DEADLINE),
            may_wait: self.may_wait.unwrap_or(false),
            public: self.public.unwrap_or(false),
        })
    }
}

fn is_idempotent(method: &MethodPattern) -> bool {
    match method {
        MethodPattern::Any => false,
        MethodPattern::OneOf(methods) => methods.iter().all(Method::is_idempotent),
    }
}

fn set_once<T>(
    field: &mut Option<T>,
    attribute: &'static str,
    value: T,
) -> Result<(), ProblemKind> {
    match field.replace(value) {
        Some(_) => Err(ProblemKind::RepeatedAttribute { attribute }),
        None => Ok(()),
    }
}

fn parse_criticality(value: &str) -> Result<Criticality, ProblemKind> {
    value.parse().map_err(|_| ProblemKind::InvalidValue {
        attribute: "criticality",
        found: value.to_owned(),
        accepted: "critical, high, normal, deferrable",
    })
}

fn parse_number(
    attribute: &'static str,
    value: &str,
    range: &RangeInclusive<u32>,
    accepted: &'static str,
) -> Result<u32, ProblemKind> {
    let digits = value.bytes().all(|b| b.is_ascii_digit());
    let parsed = value.parse().ok().filter(|number| digits && range.contains(number));
    let found = value.to_owned();
    parsed.ok_or(ProblemKind::InvalidValue { attribute, found, accepted })
}

fn parse_deadline(value: &str) -> Result<Duration, ProblemKind> {
    let parsed = value.parse().ok().map(|DurationText(deadline)| deadline);
    let found = value.to_owned();
    let accepted = "1ms to 24h, such as 250ms, 2s, 10m";
    let attribute = "deadline";
    let in_range = parsed.filter(|deadline| DEADLINE_RANGE.contains(deadline));
    in_range.ok_or(ProblemKind::InvalidValue { attribute, found, accepted })
}
