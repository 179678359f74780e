//! Parses the lines of a rules file that name customers.

use super::error::ProblemKind;
use super::parser::ProblemSink;
use super::words::Word;
use crate::version::Criticality;
use crate::version::customers::ApiKey;
use crate::version::customers::Customer;
use crate::version::customers::UsageCap;

/// First word of a line that names a customer.
const KEYWORD: &str = "customer";
/// Prefix of a word that holds a key.
const KEY_PREFIX: &str = "key=";
/// What is shown of a key.
const HIDDEN_KEY: &str = "key=...";
/// Largest rate and burst of a cap.
const CAP_MAX: f64 = 1e6;

/// A customer of a rules file with its keys.
pub(super) struct CustomerLine {
    pub(super) customer: Customer,
    pub(super) keys: Vec<ApiKey>,
}

/// Returns whether the words of a line name a customer. The second word of a rule is a list of
/// methods, which have no lower-case letters.
pub(super) fn is_customer(words: &[Word<'_>]) -> bool {
    let is_name = |word: &Word<'_>| word.text.bytes().any(|b| b.is_ascii_lowercase());
    words.first().is_some_and(|word| word.text == KEYWORD) && words.get(1).is_some_and(is_name)
}

/// Returns the words of a customer's line without its keys, as they are printed.
pub(super) fn without_keys(words: &[Word<'_>]) -> String {
    let shown = words.iter().map(|word| match word.text.starts_with(KEY_PREFIX) {
        true => HIDDEN_KEY,
        false => word.text,
    });
    shown.collect::<Vec<_>>().join(" ")
}

/// Parses the words of a line that names a customer. Reports every problem to `sink` and
/// returns `None` if there is any; keys are not part of the report.
pub(super) fn parse(
    words: &[Word<'_>],
    end: Word<'_>,
    sink: &mut ProblemSink<'_>,
) -> Option<CustomerLine> {
    let mut keys = Vec::new();
    let (mut per_second, mut burst, mut criticality) = (None, None, None);
    let mut is_valid = true;
    for word in &words[2..] {
        let set = match word.text.split_once('=') {
            Some(("key", text)) => match ApiKey::new(text) {
                Some(key) => {
                    keys.push(key);
                    Ok(())
                }
                None => {
                    sink.push(Word { text: HIDDEN_KEY, ..*word }, ProblemKind::InvalidKey);
                    is_valid = false;
                    continue;
                }
            },
            Some(("cap", text)) => set(&mut per_second, "cap", number("cap", text)),
            Some(("burst", text)) => set(&mut burst, "burst", number("burst", text)),
            Some(("criticality", text)) => {
                set(&mut criticality, "criticality", parse_criticality(text))
            }
            _ => Err(ProblemKind::UnknownCustomerAttribute),
        };
        if let Err(kind) = set {
            sink.push(*word, kind);
            is_valid = false;
        }
    }
    if keys.is_empty() && is_valid {
        let example = "key=KEY";
        sink.push(end, ProblemKind::MissingAttribute { attribute: "key", example });
        return None;
    }
    if burst.is_some() && per_second.is_none() && is_valid {
        let example = "cap=10";
        sink.push(end, ProblemKind::MissingAttribute { attribute: "cap", example });
        return None;
    }
    let cap =
        per_second.map(|per_second| UsageCap { per_second, burst: burst.unwrap_or(per_second) });
    let customer = Customer { name: words[1].text.into(), criticality, cap };
    is_valid.then_some(CustomerLine { customer, keys })
}

fn set<T>(
    field: &mut Option<T>,
    attribute: &'static str,
    value: Result<T, ProblemKind>,
) -> Result<(), ProblemKind> {
    match field.replace(value?) {
        Some(_) => Err(ProblemKind::RepeatedAttribute { attribute }),
        None => Ok(()),
    }
}

fn number(attribute: &'static str, text: &str) -> Result<f64, ProblemKind> {
    let number = text.parse().ok().filter(|number| (0.0..=CAP_MAX).contains(number));
    let accepted = "0 to 1000000";
    number.ok_or(ProblemKind::InvalidValue { attribute, found: text.to_owned(), accepted })
}

fn parse_criticality(text: &str) -> Result<Criticality, ProblemKind> {
    text.parse().map_err(|_| ProblemKind::InvalidValue {
        attribute: "criticality",
        found: text.to_owned(),
        accepted: "critical, high, normal, deferrable",
    })
}
