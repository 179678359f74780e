//! The operators' guide names everything that a daemon says.

use endivescale::process::metrics::Counter;
use endivescale::request::Reason;

const GUIDE: &str = include_str!("../../docs/operators.md");

fn has(word: &str) -> bool {
    GUIDE.contains(&format!("`{word}`"))
}

#[test]
fn every_reason_is_explained_with_its_status() {
    for reason in Reason::ALL {
        let row = format!("| `{reason}` | {} |", reason.status().as_u16());
        assert!(GUIDE.contains(&row), "{row} is missing");
    }
}

#[test]
fn every_counter_is_explained() {
    let plain = Counter::all().filter(|counter| !matches!(counter, Counter::Refused(_)));
    let missing: Vec<_> =
        plain.map(|counter| counter.to_string()).filter(|name| !has(name)).collect();
    assert!(missing.is_empty(), "{missing:?}");
}
