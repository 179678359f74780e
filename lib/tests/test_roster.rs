//! The list of entries over a change of era; see `docs/design/eras.md`.

use endivescale::process::catalog::Change;
use endivescale::process::catalog::Entry;
use endivescale::process::catalog::EntryKey;
use endivescale::process::catalog::Page;
use endivescale::process::catalog::Revision;
use endivescale::process::catalog::Roster;
use endivescale::process::membership::UpstreamFacts;
use endivescale::process::membership::Vm;
use endivescale::process::membership::VmState;

use crate::test_membership::ms;
use crate::test_membership::vm;

fn key(name: &str) -> EntryKey {
    EntryKey(name.into())
}

fn entry(name: &str, state: VmState, start_ms: u64) -> Entry {
    let address = "127.0.0.1:3".parse().unwrap();
    let facts = UpstreamFacts { address, slots: 4, warmup_left: ms(0), start_ms };
    Entry::Listed(Vm { upstream: Some(facts), state, ..vm(name) })
}

fn live(name: &str) -> Entry {
    entry(name, VmState::Live, 1)
}

fn page(era: u64, revision: u64, entries: Vec<(&str, Entry)>) -> Vec<Page> {
    let at = Revision::new(era, 1);
    let entries = entries.into_iter().map(|(name, entry)| (key(name), at, entry));
    vec![Page {
        entries: entries.collect(),
        has_more: false,
        revision: Revision::new(era, revision),
    }]
}

fn states(roster: &Roster) -> Vec<(String, VmState)> {
    roster.vms().map(|vm| (vm.instance.as_str().to_owned(), vm.state)).collect()
}

fn expected(states: &[(&str, VmState)]) -> Vec<(String, VmState)> {
    states.iter().map(|(name, state)| ((*name).to_owned(), *state)).collect()
}

/// Returns a roster of era 1 with two live instances.
fn roster() -> Roster {
    let mut roster = Roster::default();
    roster.replace(ms(0), page(1, 9, vec![("a-x1-1", live("a-x1-1")), ("a-x1-2", live("a-x1-2"))]));
    roster
}

fn copy() -> Vec<Page> {
    page(2, 3, vec![("a-x1-1", live("a-x1-1")), ("a-x1-2", live("a-x1-2"))])
}

#[test]
fn copy_does_not_make_a_leaving_instance_live() {
    let mut roster = roster();
    let leaving = entry("a-x1-1", VmState::Leaving, 1);
    roster.apply(ms(1), Change::Written(key("a-x1-1"), Revision::new(1, 10), leaving));
    roster.replace(ms(2), copy());
    let leaving = expected(&[("a-x1-1", VmState::Leaving), ("a-x1-2", VmState::Live)]);
    assert_eq!(states(&roster), leaving);
}

#[test]
fn instance_that_started_again_is_live_though_its_earlier_start_was_leaving() {
    let mut roster = roster();
    let leaving = entry("a-x1-1", VmState::Leaving, 1);
    roster.apply(ms(1), Change::Written(key("a-x1-1"), Revision::new(1, 10), leaving));
    roster.replace(ms(2), copy());
    let again = entry("a-x1-1", VmState::Live, 2);
    roster.apply(ms(3), Change::Written(key("a-x1-1"), Revision::new(2, 4), again));
    assert_eq!(states(&roster)[0].1, VmState::Live);
}

#[test]
fn removed_instance_returns_only_if_the_copy_keeps_it() {
    let mut roster = roster();
    roster.apply(ms(1), Change::Removed(key("a-x1-1"), Revision::new(1, 10)));
    roster.replace(ms(2), copy());
    assert_eq!(states(&roster), expected(&[("a-x1-2", VmState::Live)]));
    let due = roster.next_expiry().unwrap();
    assert!(roster.expire(due));
    assert_eq!(states(&roster).len(), 2);
}

#[test]
fn removed_instance_stays_away_once_its_lease_has_run_out_in_the_copy() {
    let mut roster = roster();
    roster.apply(ms(1), Change::Removed(key("a-x1-1"), Revision::new(1, 10)));
    roster.replace(ms(2), copy());
    roster.apply(ms(3_000), Change::Removed(key("a-x1-1"), Revision::new(2, 4)));
    assert_eq!(roster.next_expiry(), None);
    assert_eq!(states(&roster), expected(&[("a-x1-2", VmState::Live)]));
}

#[test]
fn instance_that_the_copy_lacks_is_kept_for_a_while() {
    let mut roster = roster();
    roster.replace(ms(10), page(2, 3, vec![("a-x1-2", live("a-x1-2"))]));
    assert_eq!(states(&roster).len(), 2);
    let due = roster.next_expiry().unwrap();
    assert!(due <= ms(10 + 5_000));
    assert!(roster.expire(due));
    assert_eq!(states(&roster), expected(&[("a-x1-2", VmState::Live)]));
}

#[test]
fn instance_that_writes_again_stays() {
    let mut roster = roster();
    roster.replace(ms(10), page(2, 3, vec![]));
    roster.apply(ms(500), Change::Written(key("a-x1-1"), Revision::new(2, 4), live("a-x1-1")));
    let due = roster.next_expiry().unwrap();
    roster.expire(due);
    assert_eq!(states(&roster), expected(&[("a-x1-1", VmState::Live)]));
    assert_eq!(roster.next_expiry(), None);
}

#[test]
fn changes_of_an_earlier_era_are_left_out() {
    let mut roster = roster();
    roster.replace(ms(2), copy());
    let leaving = entry("a-x1-1", VmState::Leaving, 1);
    assert!(!roster.apply(ms(3), Change::Written(key("a-x1-1"), Revision::new(1, 99), leaving)));
    assert!(!roster.apply(ms(3), Change::Removed(key("a-x1-2"), Revision::new(1, 99))));
    assert_eq!(states(&roster).len(), 2);
}
