//! The list of entries over a change of era and over an outage of the catalog; see
//! `docs/design/eras.md` and `docs/design/membership.md`.

use std::time::Duration;

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
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

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

/// A daemon that learns late of the catalog's return is bound by removals as others are. Without
/// room before the bound, a request that was sent just before reached the instance after it.
#[test]
fn late_answer_does_not_prolong_the_belief() {
    let mut roster = fleet();
    away(&mut roster, 1_000, AWAY);
    let late = AWAY + 4_200;
    roster.record_answer(ms(late));
    let removed = |name: &str, revision| Change::Removed(key(name), Revision::new(0, revision));
    roster.apply(ms(late), removed("a-x1-1", 10));
    roster.apply(ms(late), removed("a-x1-2", 11));
    // Removals bind 3 s after the return, and then 2 s later.
    let due = roster.next_expiry().unwrap();
    assert_eq!(due, ms(AWAY + 3_000 + 2_000 - 200));
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

/// A full read tells again of entries that were written before the outage; their leases may
/// still lapse before they are written again.
#[test]
fn entry_that_a_full_read_has_unchanged_is_believed_when_it_lapses() {
    let mut roster = fleet_after_outage();
    let at_revision_9 = [("a-x1-1", 3), ("a-x1-2", 4)];
    let entries = at_revision_9.map(|(name, port)| (name, at_port(name, port, VmState::Live)));
    roster.replace(ms(BACK), page(0, 9, entries.to_vec()));
    remove(&mut roster, BACK + 200, "a-x1-1", 10);
    assert_eq!(names(&roster), ["a-x1-1", "a-x1-2"]);
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

/// Guards against requests that are refused after an outage, because another writer lists the
/// addresses of the instances whose entries have lapsed.
#[test]
fn entry_that_stood_beside_a_lapsed_one_does_not_end_its_belief() {
    let mut roster = fleet();
    let other = at_port("b-x1-9", 3, VmState::Live);
    roster.apply(ms(1), Change::Written(key("b-x1-9"), Revision::new(0, 8), other));
    away(&mut roster, 1_000, AWAY);
    roster.record_answer(ms(BACK));
    remove(&mut roster, BACK, "a-x1-1", 10);
    assert!(names(&roster).contains(&"a-x1-1".to_owned()));
}

const INSTANCES: usize = 4;
/// Service of another writer's entries.
const FOREIGN: &str = "agent";
const SEED: u64 = 24;
const TRACES: u64 = 2_000;
/// Longest time after a drill until an instance writes its entry again.
const WRITE_AGAIN_MAX: Duration = Duration::from_secs(2);
/// Time after a drill until the leases of instances that are gone run out.
const LEASE: Duration = Duration::from_secs(5);
/// Most time that a copy is behind.
const COPY_AGE_MAX: Duration = Duration::from_secs(5);
/// Longest time between two answers to a daemon.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for which a belief may differ from what the instances say.
const BELIEF_MAX: Duration = Duration::from_secs(10);

/// What an instance is, by the start of its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Said {
    Live(u64),
    Leaving(u64),
    Gone,
}

/// One event of a trace.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// An instance goes on to its next state.
    Next(usize),
    /// The store comes back from a copy that lacks so many changes, as far as it may be
    /// behind. Each instance writes again after a share of the time it has, in parts of 255.
    Drill(usize, [u8; INSTANCES]),
    /// The daemon gets an answer to its watch of all entries.
    Watch,
    /// So many milliseconds pass.
    Pass(u64),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::Next(usize::arbitrary(g) % INSTANCES),
            3 => Self::Drill(usize::arbitrary(g) % 8, std::array::from_fn(|_| u8::arbitrary(g))),
            4 => Self::Watch,
            _ => Self::Pass(u64::arbitrary(g) % 1_500),
        }
    }
}

/// A deliberate fault, to show that the property finds it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Broken {
    /// Nothing is broken.
    No,
    /// An entry that was written again under a lower revision of a later era is passed over.
    EntriesNeverOlder,
    /// A new era is read as by a daemon that has just started.
    ForgetsAll,
}

/// A change that the store has made, with its time.
#[derive(Clone, Copy, Debug)]
struct Logged {
    at: Duration,
    instance: usize,
    said: Said,
}

/// Instances that write to a store, and a daemon that follows it.
struct Drilled {
    now: Duration,
    said: [Said; INSTANCES],
    /// When an instance writes its entry again, or its lease runs out.
    due: [Option<Duration>; INSTANCES],
    log: Vec<Logged>,
    era: u64,
    last_drill: Duration,
    last_start: u64,
    roster: Roster,
    after: Revision,
    next_watch: Duration,
    broken: Broken,
    /// Starts that the daemon has listed as leaving.
    known_leaving: Vec<(String, u64)>,
    /// Starts that the daemon has listed.
    known: Vec<(String, u64)>,
    problem: Option<String>,
    /// Draws what another writer writes, if there is one, and how often it has.
    foreign: Option<(ChaCha8Rng, u64)>,
}

fn instance_name(instance: usize) -> String {
    format!("a-x1-{instance}")
}

fn stored(instance: usize, said: Said) -> Option<Entry> {
    let name = instance_name(instance);
    match said {
        Said::Live(start) => Some(entry(&name, VmState::Live, start)),
        Said::Leaving(start) => Some(entry(&name, VmState::Leaving, start)),
        Said::Gone => None,
    }
}

impl Drilled {
    fn new(broken: Broken) -> Self {
        let mut drilled = Self {
            now: COPY_AGE_MAX * 2,
            said: [Said::Live(1); INSTANCES],
            due: [None; INSTANCES],
            log: Vec::new(),
            era: 1,
            last_drill: Duration::ZERO,
            last_start: 1,
            roster: Roster::default(),
            after: Revision::default(),
            next_watch: Duration::ZERO,
            broken,
            known_leaving: Vec::new(),
            known: Vec::new(),
            problem: None,
            foreign: None,
        };
        for (instance, said) in drilled.said.into_iter().enumerate() {
            drilled.log.push(Logged { at: Duration::ZERO, instance, said });
        }
        drilled.watch();
        drilled
    }

    fn revision(&self, number: usize) -> Revision {
        match self.broken {
            Broken::EntriesNeverOlder => Revision::new(1, number as u64),
            Broken::No | Broken::ForgetsAll => Revision::new(self.era, number as u64),
        }
    }

    /// Returns what the store has of an instance, and under which number.
    fn stored(&self, instance: usize) -> Option<(usize, Said)> {
        let numbered = (1..).zip(&self.log).filter(|(_, logged)| logged.instance == instance);
        numbered.last().map(|(number, logged)| (number, logged.said))
    }

    fn write(&mut self, instance: usize) {
        self.due[instance] = None;
        if self.stored(instance).map_or(Said::Gone, |(_, said)| said) != self.said[instance] {
            self.log.push(Logged { at: self.now, instance, said: self.said[instance] });
        }
    }

    fn next(&mut self, instance: usize) {
        self.said[instance] = match self.said[instance] {
            Said::Live(start) => Said::Leaving(start),
            Said::Leaving(_) => Said::Gone,
            Said::Gone => {
                self.last_start += 1;
                Said::Live(self.last_start)
            }
        };
        self.write(instance);
    }

    fn drill(&mut self, lost: usize, delays: [u8; INSTANCES]) {
        let lost = self.log.iter().rev().take(lost);
        let lost = lost.take_while(|logged| logged.at + COPY_AGE_MAX >= self.now).count();
        self.log.truncate(self.log.len() - lost);
        self.era += 1;
        self.last_drill = self.now;
        for (instance, delay) in delays.into_iter().enumerate() {
            let delay = match self.said[instance] {
                Said::Gone => LEASE,
                Said::Live(_) | Said::Leaving(_) => {
                    WRITE_AGAIN_MAX.mul_f64(f64::from(delay) / 255.0)
                }
            };
            self.due[instance] = Some(self.now + delay);
        }
    }

    /// Lets time pass in steps, in which all that is due happens.
    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = (self.now + ms(50)).min(until);
            for instance in 0..INSTANCES {
                if self.due[instance].is_some_and(|due| due <= self.now) {
                    self.write(instance);
                }
            }
            if self.next_watch <= self.now {
                self.watch();
            }
            if self.roster.next_expiry().is_some_and(|at| at <= self.now) {
                self.roster.expire(self.now);
            }
            self.check();
        }
    }

    fn watch(&mut self) {
        self.next_watch = self.now + WATCH_INTERVAL;
        let complete = self.revision(self.log.len());
        match self.after.era == self.era {
            true => self.apply_changes(),
            false => self.read(complete),
        }
        self.after = Revision::new(self.era, self.log.len() as u64);
        self.write_foreign();
        self.roster.forget_removals(complete);
        self.check();
    }

    /// Lets another writer write or remove an entry at the address of the instances.
    fn write_foreign(&mut self) {
        let Some((rng, writes)) = &mut self.foreign else { return };
        *writes += 1;
        let at = Revision::new(self.era, *writes);
        let name = format!("{FOREIGN}-x1-{}", rng.random_range(0..3));
        let state = if rng.random() { VmState::Live } else { VmState::Leaving };
        let change = match rng.random_range(0..3) {
            0 => Change::Removed(key(&name), at),
            1 => Change::Written(key(&name), at, Entry::unusable(&"odd")),
            _ => Change::Written(key(&name), at, entry(&name, state, rng.random_range(0..9_000))),
        };
        self.roster.apply(self.now, change);
    }

    fn apply_changes(&mut self) {
        for number in self.after.number as usize + 1..=self.log.len() {
            let Logged { instance, said, .. } = self.log[number - 1];
            let (key, at) = (key(&instance_name(instance)), self.revision(number));
            let change = match stored(instance, said) {
                Some(entry) => Change::Written(key, at, entry),
                None => Change::Removed(key, at),
            };
            self.roster.apply(self.now, change);
        }
    }

    fn read(&mut self, complete: Revision) {
        let mut entries = Vec::new();
        for instance in 0..INSTANCES {
            let Some((number, said)) = self.stored(instance) else { continue };
            if let Some(entry) = stored(instance, said) {
                entries.push((key(&instance_name(instance)), self.revision(number), entry));
            }
        }
        match self.broken {
            Broken::No => {}
            Broken::ForgetsAll => self.roster = Roster::default(),
            Broken::EntriesNeverOlder => {
                let changes =
                    entries.into_iter().map(|(key, at, entry)| Change::Written(key, at, entry));
                self.roster.begin_era(self.now, complete.era, changes.collect());
                return;
            }
        }
        self.roster.replace(self.now, vec![Page { entries, has_more: false, revision: complete }]);
    }

    /// Checks what the daemon believes against what it knew and what the instances say.
    fn check(&mut self) {
        let listed: Vec<(String, u64, VmState)> = self
            .roster
            .vms()
            .filter(|vm| vm.service.as_str() != FOREIGN)
            .map(|vm| (vm.instance.as_str().to_owned(), vm.upstream.unwrap().start_ms, vm.state))
            .collect();
        for (name, start, state) in &listed {
            let start_of = (name.clone(), *start);
            let was_leaving = self.known_leaving.contains(&start_of);
            match state {
                VmState::Leaving if !was_leaving => self.known_leaving.push(start_of.clone()),
                VmState::Live if was_leaving => {
                    self.fail("a leaving instance is live again", &listed);
                }
                VmState::Leaving | VmState::Live => {}
            }
            if !self.known.contains(&start_of) {
                self.known.push(start_of);
            }
        }
        for instance in 0..INSTANCES {
            let Said::Live(start) = self.said[instance] else { continue };
            // The copy may tell of an earlier start.
            let is_listed = |(name, ..): &(String, u64, VmState)| *name == instance_name(instance);
            let is_known = self.known.contains(&(instance_name(instance), start));
            if is_known && !listed.iter().any(is_listed) {
                self.fail("a live instance is dropped", &listed);
            }
        }
    }

    fn fail(&mut self, problem: &str, listed: &[(String, u64, VmState)]) {
        let Self { now, era, said, .. } = &*self;
        let problem = format!("{problem} at {now:?} in era {era}: {said:?}, {listed:?}");
        self.problem.get_or_insert(problem);
    }

    /// Lets the beliefs end, after which the daemon lists what the instances say.
    fn settle(&mut self) {
        let due = self.now.max(self.last_drill + WATCH_INTERVAL + BELIEF_MAX);
        self.pass(due - self.now + WATCH_INTERVAL);
        let mut listed = states(&self.roster);
        listed.retain(|(name, _)| !name.starts_with(FOREIGN));
        listed.sort_unstable_by(|left, right| left.0.cmp(&right.0));
        let said = (0..INSTANCES).filter_map(|instance| match self.said[instance] {
            Said::Live(_) => Some((instance_name(instance), VmState::Live)),
            Said::Leaving(_) => Some((instance_name(instance), VmState::Leaving)),
            Said::Gone => None,
        });
        if listed != said.collect::<Vec<_>>() {
            self.fail(&format!("a belief has not ended: {listed:?}"), &[]);
        }
    }
}

/// Plays a trace; returns what went wrong.
fn play(trace: &[Event], broken: Broken) -> Option<String> {
    play_on(Drilled::new(broken), trace)
}

fn play_on(mut drilled: Drilled, trace: &[Event]) -> Option<String> {
    for event in trace {
        match *event {
            Event::Next(instance) => drilled.next(instance),
            Event::Drill(lost, delays) => drilled.drill(lost, delays),
            Event::Watch => drilled.watch(),
            Event::Pass(millis) => drilled.pass(ms(millis)),
        }
    }
    drilled.settle();
    drilled.problem
}

#[test]
fn holds_roster_over_drills() {
    fn property(trace: Vec<Event>) -> Result<(), String> {
        play(&trace, Broken::No).map_or(Ok(()), Err)
    }
    let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(60, SEED)).tests(TRACES);
    checker.quickcheck(property as fn(Vec<Event>) -> Result<(), String>);
}

#[test]
fn holds_roster_over_drills_beside_another_writer() {
    fn property(seed: u64, trace: Vec<Event>) -> Result<(), String> {
        let foreign = Some((ChaCha8Rng::seed_from_u64(seed), 0));
        play_on(Drilled { foreign, ..Drilled::new(Broken::No) }, &trace).map_or(Ok(()), Err)
    }
    let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(60, SEED)).tests(TRACES);
    checker.quickcheck(property as fn(u64, Vec<Event>) -> Result<(), String>);
}

macro_rules! holds_over_trace {
    ($($name:ident: [$($event:expr),*];)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(play(&[$($event),*], Broken::No), None);
        })*
    };
}

holds_over_trace! {
    copy_does_not_bring_back_an_earlier_start: [
        Event::Next(3), Event::Watch, Event::Next(3), Event::Next(3), Event::Pass(1464),
        Event::Drill(7, [43, 116, 134, 218])
    ];
    copy_does_not_fill_a_list_that_all_have_left: [
        Event::Next(2), Event::Next(1), Event::Next(0), Event::Next(1), Event::Next(1),
        Event::Next(0), Event::Next(1), Event::Next(2), Event::Next(3), Event::Pass(851),
        Event::Next(3), Event::Next(1), Event::Watch, Event::Drill(5, [182, 209, 183, 156])
    ];
    removed_instance_that_a_second_copy_lacks_does_not_return: [
        Event::Next(3), Event::Next(3), Event::Next(3), Event::Next(1), Event::Next(0),
        Event::Next(3), Event::Next(2), Event::Next(3), Event::Pass(1472),
        Event::Drill(4, [146, 25, 152, 101]), Event::Next(1), Event::Pass(1275),
        Event::Drill(5, [233, 186, 57, 37])
    ];
    instance_that_three_copies_lack_is_kept: [
        Event::Next(3), Event::Next(3), Event::Next(3), Event::Pass(1303),
        Event::Drill(6, [0, 197, 76, 198]), Event::Pass(990),
        Event::Drill(4, [87, 255, 23, 190]), Event::Pass(1411),
        Event::Drill(4, [162, 125, 40, 244])
    ];
}

macro_rules! finds_in_drills {
    ($($name:ident: $broken:expr => $problem:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut traces = Gen::from_size_and_seed(60, SEED);
            let mut problems = (0..TRACES).filter_map(|_| {
                let trace: Vec<Event> = Vec::arbitrary(&mut traces);
                play(&trace, $broken)
            });
            assert!(problems.any(|problem| problem.starts_with($problem)));
        })*
    };
}

finds_in_drills! {
    finds_entries_that_never_get_older: Broken::EntriesNeverOlder => "a belief has not ended";
    finds_leaving_instances_that_a_copy_brings_back:
        Broken::ForgetsAll => "a leaving instance is live again";
    finds_live_instances_that_a_copy_drops: Broken::ForgetsAll => "a live instance is dropped";
}
