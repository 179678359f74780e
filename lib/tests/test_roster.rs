//! The list of entries over a change of era and over an outage of the catalog; see
//! `docs/design/eras.md` and `docs/design/membership.md`.

use endivescale::process::catalog::CatalogError;
use endivescale::process::catalog::Change;
use endivescale::process::catalog::Entry;
use endivescale::process::catalog::EntryKey;
use endivescale::process::catalog::Page;
use endivescale::process::catalog::Revision;
use endivescale::process::catalog::Roster;
use endivescale::process::membership::UpstreamFacts;
use endivescale::process::membership::Vm;
use endivescale::process::membership::VmState;
use http::StatusCode;

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

/// When the last call was sent that the catalog did not answer, in ms.
const AWAY: u64 = 5_000;
/// When the catalog answers again, in ms.
const BACK: u64 = 7_000;
/// Until when most entries are believed if they have lapsed together, in ms.
const BELIEVED: u64 = 9_000;
/// Until when a single one is believed, in ms.
const BELIEVED_ALONE: u64 = 8_000;

fn at_port(name: &str, port: u16, state: VmState) -> Entry {
    let Entry::Listed(vm) = entry(name, state, 1) else { unreachable!() };
    let address = format!("127.0.0.1:{port}").parse().unwrap();
    Entry::Listed(Vm {
        upstream: vm.upstream.map(|facts| UpstreamFacts { address, ..facts }),
        ..vm
    })
}

/// Returns a roster of three instances, one of which is leaving.
fn fleet() -> Roster {
    let states = [VmState::Live, VmState::Live, VmState::Leaving];
    let names = ["a-x1-1", "a-x1-2", "a-x1-3"];
    let entries = names.iter().zip(states).zip(3..);
    let entries = entries.map(|((name, state), port)| (*name, at_port(name, port, state)));
    let mut roster = Roster::default();
    roster.replace(ms(0), page(0, 9, entries.collect()));
    roster
}

fn away(roster: &mut Roster, from: u64, last: u64) {
    for sent in [from, last] {
        roster.record_failure(ms(sent), ms(sent + 1_500), &CatalogError::Timeout);
    }
}

/// Returns [`fleet`] at the catalog's return from an outage.
fn fleet_after_outage() -> Roster {
    let mut roster = fleet();
    away(&mut roster, 1_000, AWAY);
    roster.record_answer(ms(BACK));
    roster
}

fn remove(roster: &mut Roster, now: u64, name: &str, revision: u64) {
    roster.apply(ms(now), Change::Removed(key(name), Revision::new(0, revision)));
    roster.expire(ms(now));
}

fn names(roster: &Roster) -> Vec<String> {
    roster.vms().map(|vm| vm.instance.as_str().to_owned()).collect()
}

#[test]
fn entries_that_lapsed_in_an_outage_are_believed_for_a_while() {
    let mut roster = fleet_after_outage();
    let removed = |name: &str, revision| Change::Removed(key(name), Revision::new(0, revision));
    roster.apply(ms(BACK), removed("a-x1-1", 10));
    roster.apply(ms(BACK), removed("a-x1-2", 11));
    assert_eq!(roster.next_expiry(), Some(ms(BELIEVED)));
    roster.expire(ms(BELIEVED - 1));
    assert_eq!(names(&roster), ["a-x1-1", "a-x1-2", "a-x1-3"]);
    assert!(roster.expire(ms(BELIEVED)));
    assert_eq!(names(&roster), ["a-x1-3"]);
}

#[test]
fn lapsed_entry_that_is_written_again_stays() {
    let mut roster = fleet_after_outage();
    remove(&mut roster, BACK, "a-x1-1", 10);
    let again =
        Change::Written(key("a-x1-1"), Revision::new(0, 11), at_port("a-x1-1", 3, VmState::Live));
    roster.apply(ms(BACK + 900), again);
    roster.expire(ms(BELIEVED + 9_000));
    assert!(names(&roster).contains(&"a-x1-1".to_owned()));
    assert_eq!(roster.next_expiry(), None);
}

#[test]
fn lapsed_entry_that_is_written_again_as_leaving_is_leaving() {
    let mut roster = fleet_after_outage();
    remove(&mut roster, BACK, "a-x1-1", 10);
    let leaving = at_port("a-x1-1", 3, VmState::Leaving);
    assert!(
        roster.apply(ms(BACK + 1), Change::Written(key("a-x1-1"), Revision::new(0, 11), leaving))
    );
    assert!(states(&roster).contains(&("a-x1-1".to_owned(), VmState::Leaving)));
    remove(&mut roster, BACK + 2, "a-x1-1", 12);
    assert_eq!(names(&roster).len(), 2);
}

/// Only this daemon may have been cut off, and removals bind it sooner.
#[test]
fn single_removal_in_an_outage_is_believed_for_less() {
    let mut roster = fleet_after_outage();
    remove(&mut roster, BACK, "a-x1-1", 10);
    assert_eq!(roster.next_expiry(), Some(ms(BELIEVED_ALONE)));
    roster.expire(ms(BELIEVED_ALONE));
    assert_eq!(names(&roster), ["a-x1-2", "a-x1-3"]);
}

#[test]
fn leaving_instance_that_is_removed_after_an_outage_is_dropped_at_once() {
    let mut roster = fleet_after_outage();
    remove(&mut roster, BACK, "a-x1-3", 10);
    assert_eq!(names(&roster), ["a-x1-1", "a-x1-2"]);
}

#[test]
fn removal_without_an_outage_holds_at_once() {
    let mut roster = fleet();
    remove(&mut roster, BACK, "a-x1-1", 10);
    assert_eq!(names(&roster), ["a-x1-2", "a-x1-3"]);
}

#[test]
fn removal_after_an_outage_shorter_than_a_lease_holds_at_once() {
    let mut roster = fleet();
    roster.record_failure(ms(1_000), ms(1_300), &CatalogError::Timeout);
    roster.record_answer(ms(1_500));
    remove(&mut roster, 1_500, "a-x1-1", 10);
    assert_eq!(names(&roster), ["a-x1-2", "a-x1-3"]);
}

#[test]
fn reader_that_does_not_answer_is_no_outage() {
    let mut roster = fleet();
    roster.record_failure(ms(1_000), ms(AWAY), &CatalogError::Relay);
    roster.record_answer(ms(BACK));
    remove(&mut roster, BACK, "a-x1-1", 10);
    assert_eq!(names(&roster), ["a-x1-2", "a-x1-3"]);
}

#[test]
fn refusal_for_too_many_calls_is_no_outage() {
    let mut roster = fleet();
    for status in [StatusCode::TOO_MANY_REQUESTS; 2] {
        roster.record_failure(ms(1_000), ms(AWAY), &CatalogError::Refused { status });
    }
    roster.record_answer(ms(BACK));
    remove(&mut roster, BACK, "a-x1-1", 10);
    assert_eq!(names(&roster), ["a-x1-2", "a-x1-3"]);
}

#[test]
fn removal_of_an_entry_written_since_the_outage_holds_at_once() {
    let mut roster = fleet_after_outage();
    let again =
        Change::Written(key("a-x1-1"), Revision::new(0, 10), at_port("a-x1-1", 3, VmState::Live));
    roster.apply(ms(BACK), again);
    remove(&mut roster, BACK + 10, "a-x1-1", 11);
    assert_eq!(names(&roster), ["a-x1-2", "a-x1-3"]);
}

#[test]
fn removal_long_after_an_outage_holds_at_once() {
    let mut roster = fleet_after_outage();
    remove(&mut roster, BELIEVED, "a-x1-1", 10);
    assert_eq!(names(&roster), ["a-x1-2", "a-x1-3"]);
}

/// A daemon that learns late of the catalog's return is bound by removals as others are.
#[test]
fn late_answer_does_not_prolong_the_belief() {
    let mut roster = fleet();
    away(&mut roster, 1_000, AWAY);
    let late = AWAY + 4_200;
    roster.record_answer(ms(late));
    let removed = |name: &str, revision| Change::Removed(key(name), Revision::new(0, revision));
    roster.apply(ms(late), removed("a-x1-1", 10));
    roster.apply(ms(late), removed("a-x1-2", 11));
    assert_eq!(roster.next_expiry(), Some(ms(AWAY + 5_000)));
}

#[test]
fn second_outage_does_not_prolong_the_belief() {
    let mut roster = fleet_after_outage();
    remove(&mut roster, BACK, "a-x1-1", 10);
    away(&mut roster, BACK + 10, BACK + 20);
    roster.record_answer(ms(BACK + 3_000));
    remove(&mut roster, BACK + 3_000, "a-x1-1", 12);
    assert_eq!(names(&roster), ["a-x1-2", "a-x1-3"]);
}

#[test]
fn entries_that_a_full_read_lacks_after_an_outage_are_believed_for_a_while() {
    let mut roster = fleet_after_outage();
    roster.replace(ms(BACK), page(0, 20, vec![]));
    assert_eq!(names(&roster), ["a-x1-1", "a-x1-2"]);
    assert_eq!(roster.next_expiry(), Some(ms(BELIEVED)));
    roster.replace(ms(BACK + 500), page(0, 21, vec![]));
    assert_eq!(roster.next_expiry(), Some(ms(BELIEVED)));
    roster.expire(ms(BELIEVED));
    assert!(names(&roster).is_empty());
}

#[test]
fn entries_that_a_full_read_lacks_without_an_outage_are_dropped_at_once() {
    let mut roster = fleet();
    roster.replace(ms(BACK), page(0, 20, vec![]));
    assert!(names(&roster).is_empty());
}

#[test]
fn entries_that_a_later_era_lacks_after_an_outage_are_dropped_in_time() {
    let mut roster = fleet_after_outage();
    roster.replace(ms(BACK), page(1, 3, vec![]));
    assert_eq!(names(&roster).len(), 3);
    let due = roster.next_expiry().unwrap();
    assert!(due > ms(BACK + 2_000) && due <= ms(AWAY + 5_000));
    roster.expire(due);
    assert!(names(&roster).is_empty());
}

#[test]
fn lapsed_entry_whose_address_another_instance_uses_is_dropped() {
    let mut roster = fleet_after_outage();
    remove(&mut roster, BACK, "a-x1-1", 10);
    let other = at_port("b-x1-9", 3, VmState::Live);
    roster.apply(ms(BACK + 1), Change::Written(key("b-x1-9"), Revision::new(0, 11), other));
    assert!(roster.expire(ms(BACK + 1)));
    assert_eq!(names(&roster), ["a-x1-2", "a-x1-3", "b-x1-9"]);
}
