//! Which daemons read the catalog, and what reaches the others: worked out from the
//! daemons' own decisions; no daemon runs. See `docs/design/relays.md`.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use endivescale::process::catalog::Entry;
use endivescale::process::catalog::EntryKey;
use endivescale::process::catalog::History;
use endivescale::process::catalog::ReadRole;
use endivescale::process::catalog::RelayedChange;
use endivescale::process::catalog::Revision;
use endivescale::process::catalog::Since;
use endivescale::process::catalog::Source;
use endivescale::process::catalog::SourceCursor;
use endivescale::process::catalog::assign;
use endivescale::process::membership::Daemons;
use endivescale::process::membership::Vm;
use endivescale::process::membership::VmState;
use indexmap::IndexMap;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::test_membership::vm;

const ZONES: [&str; 6] = ["x1", "x2", "y1", "y2", "z1", "z2"];

fn address(n: usize) -> SocketAddr {
    let ip = Ipv4Addr::from_bits(0x0a00_0001 + u32::try_from(n).expect("a small fleet"));
    SocketAddr::from((ip, 7635))
}

fn daemon(n: usize) -> Vm {
    Vm { control: address(n), ..vm(&format!("svc-{}-{n}", ZONES[n % ZONES.len()])) }
}

fn fleet(size: usize) -> Vec<Vm> {
    (0..size).map(daemon).collect()
}

fn role(of: &Vm, list: &[Vm]) -> ReadRole {
    assign(of.control, &of.zone, &Daemons::of(list, None))
}

fn readers(list: &[Vm]) -> Vec<usize> {
    (0..list.len()).filter(|n| role(&list[*n], list) == ReadRole::Reader).collect()
}

fn change(revision: u64) -> RelayedChange {
    RelayedChange::Removed(EntryKey("e".into()), Revision::new(0, revision))
}

fn policy(revision: u64) -> RelayedChange {
    RelayedChange::Policy(Revision::new(0, revision), "text".into())
}

macro_rules! few_readers {
    ($($name:ident: $size:expr, $readers:expr;)*) => {
        $(#[test]
        fn $name() {
            let list = fleet($size);
            let readers = readers(&list);
            assert_eq!(readers.len(), $readers);
            // Every follower knows exactly the readers of its zone, in some order.
            let mut polls: IndexMap<SocketAddr, usize> = IndexMap::new();
            for vm in &list {
                let ReadRole::Follower { readers: known } = role(vm, &list) else { continue };
                let in_zone = readers.iter().filter(|n| list[**n].zone == vm.zone);
                let mut expected: Vec<SocketAddr> = in_zone.map(|n| list[*n].control).collect();
                *polls.entry(known[0]).or_default() += 1;
                let mut known = known;
                known.sort_unstable();
                expected.sort_unstable();
                assert_eq!(known, expected);
            }
            // Twice the mean of 64 that the number of readers is chosen for.
            assert!(polls.values().all(|polls| *polls <= 128), "{polls:?}");
        })*
    };
}

few_readers! {
    all_daemons_of_8_read: 8, 8;
    all_daemons_of_48_read: 48, 48;
    three_daemons_a_zone_of_100_read: 100, 18;
    three_daemons_a_zone_of_1000_read: 1_000, 18;
    one_daemon_in_64_of_8000_reads: 8_000, 6 * 21;
}

#[test]
fn a_leaving_daemon_is_no_reader() {
    let mut list = fleet(100);
    let leaving = readers(&list)[0];
    list[leaving].state = VmState::Leaving;
    for vm in list.iter().filter(|vm| vm.state == VmState::Live) {
        if let ReadRole::Follower { readers } = role(vm, &list) {
            assert!(!readers.contains(&list[leaving].control));
        }
    }
}

#[test]
fn a_loss_moves_no_other_reader() {
    let list = fleet(600);
    let before = readers(&list);
    let mut rest = list.clone();
    rest.remove(before[0]);
    let after: Vec<SocketAddr> = readers(&rest).iter().map(|n| rest[*n].control).collect();
    let kept = before[1..].iter().filter(|n| after.contains(&list[**n].control));
    assert_eq!(kept.count(), before.len() - 1);
    assert_eq!(after.len(), before.len());
}

#[test]
fn an_instance_listed_twice_counts_once() {
    let mut list = fleet(6 * 8);
    let again = Vm { instance: "svc-x1-again".into(), ..list[0].clone() };
    list.push(again);
    assert_eq!(role(&list[0], &list), ReadRole::Reader);
}

#[test]
fn a_history_returns_what_came_later() {
    let mut history = History::default();
    history.restart(Revision::new(0, 5));
    history.extend(Revision::new(0, 5), vec![change(6), change(8)], Revision::new(0, 9));
    assert_eq!(history.since(Revision::new(0, 4)), Since::Discarded);
    assert_eq!(
        history.since(Revision::new(0, 5)),
        Since::Changes(vec![change(6), change(8)], Revision::new(0, 9))
    );
    assert_eq!(
        history.since(Revision::new(0, 6)),
        Since::Changes(vec![change(8)], Revision::new(0, 9))
    );
    assert_eq!(
        history.since(Revision::new(0, 30)),
        Since::Changes(Vec::new(), Revision::new(0, 30))
    );
}

/// A daemon that polled another reader for a while has not recorded those changes.
#[test]
fn a_history_with_a_gap_begins_anew() {
    let mut history = History::default();
    history.restart(Revision::new(0, 5));
    history.extend(Revision::new(0, 5), vec![change(6)], Revision::new(0, 6));
    history.extend(Revision::new(0, 9), vec![change(10)], Revision::new(0, 10));
    assert_eq!(history.since(Revision::new(0, 6)), Since::Discarded);
    assert_eq!(
        history.since(Revision::new(0, 9)),
        Since::Changes(vec![change(10)], Revision::new(0, 10))
    );
}

/// Returns a history that has begun era 2 at revision 4, with a change after it.
fn history_of_era_2() -> History {
    let removed = |number| RelayedChange::Removed(EntryKey("e".into()), Revision::new(2, number));
    let mut history = History::default();
    history.extend(Revision::new(1, 0), vec![change(9)], Revision::new(1, 9));
    history.begin_era(vec![removed(1), removed(3)], Revision::new(2, 4));
    history.extend(Revision::new(2, 4), vec![removed(5)], Revision::new(2, 5));
    history
}

#[test]
fn followers_of_an_earlier_era_get_all_that_the_new_one_has() {
    let history = history_of_era_2();
    for after in [Revision::new(0, 0), Revision::new(1, 3), Revision::new(1, 50)] {
        let Since::Changes(changes, at) = history.since(after) else { panic!("kept") };
        assert_eq!((changes.len(), at), (3, Revision::new(2, 5)));
    }
}

/// The snapshot does not tell what was removed since a revision of its own era.
#[test]
fn followers_of_the_same_era_do_not_get_its_snapshot() {
    let history = history_of_era_2();
    assert_eq!(history.since(Revision::new(2, 2)), Since::Discarded);
    let Since::Changes(changes, _) = history.since(Revision::new(2, 4)) else { panic!("kept") };
    assert_eq!(changes.len(), 1);
}

#[test]
fn reader_that_is_behind_in_era_is_no_reader() {
    assert_eq!(history_of_era_2().since(Revision::new(3, 1)), Since::Behind);
}

#[test]
fn revisions_of_era_0_are_sent_as_earlier_builds_know_them() {
    for (revision, text) in [(Revision::new(0, 7), "7"), (Revision::new(2, 7), "[2,7]")] {
        assert_eq!(serde_json::to_string(&revision).unwrap(), text);
        assert_eq!(serde_json::from_str::<Revision>(text).unwrap(), revision);
    }
}

#[test]
fn a_history_keeps_one_policy() {
    let mut history = History::default();
    history.replace(vec![policy(3)], Revision::new(0, 3));
    history.extend(Revision::new(0, 3), vec![policy(7)], Revision::new(0, 7));
    assert_eq!(
        history.since(Revision::new(0, 0)),
        Since::Changes(vec![policy(7)], Revision::new(0, 7))
    );
    assert_eq!(history.since(Revision::new(0, 7)), Since::Changes(Vec::new(), Revision::new(0, 7)));
}

#[test]
fn a_history_is_bounded() {
    let mut history = History::default();
    for revision in 1..=10_000 {
        history.extend(
            Revision::new(0, revision - 1),
            vec![change(revision)],
            Revision::new(0, revision),
        );
    }
    assert_eq!(history.since(Revision::new(0, 1)), Since::Discarded);
    let Since::Changes(kept, _) = history.since(Revision::new(0, 9_000)) else { panic!("kept") };
    assert_eq!(kept.len(), 1_000);
}

#[test]
fn a_follower_tries_each_reader_and_then_the_catalog() {
    let readers: Vec<SocketAddr> = (0..3).map(address).collect();
    let role = ReadRole::Follower { readers: readers.clone() };
    let mut cursor = SourceCursor::default();
    for reader in readers {
        assert_eq!(cursor.current(&role), Source::Relay(reader));
        cursor.record_success(Source::Relay(reader));
        assert_eq!(cursor.current(&role), Source::Relay(reader));
        cursor.record_failure(Source::Relay(reader));
    }
    assert_eq!(cursor.current(&role), Source::Catalog);
    cursor.record_success(Source::Catalog);
    assert_eq!(cursor.current(&role), Source::Relay(address(0)));
}

#[test]
fn entries_pass_between_daemons_unchanged() {
    let written = RelayedChange::Written(
        EntryKey("servers/i-1".into()),
        Revision::new(0, 4),
        Entry::Listed(daemon(1)),
    );
    let text = serde_json::to_string(&written).expect("JSON");
    assert_eq!(serde_json::from_str::<RelayedChange>(&text).expect("a change"), written);
}

/// Returns the name by which the model tells changes apart.
fn name(change: &RelayedChange) -> u64 {
    match change {
        RelayedChange::Removed(EntryKey(name), _) => name.parse().expect("a number"),
        other => panic!("the model makes no such change: {other:?}"),
    }
}

/// A deliberate fault, to show that the model finds it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Broken {
    /// Nothing is broken.
    No,
    /// A daemon passes on what it got from another daemon.
    RelaysRelayed,
    /// A follower never reads the catalog.
    NeverReads,
    /// A reader that followed meanwhile keeps its history as if it were complete.
    KeepsGap,
    /// Revisions are compared without their eras.
    IgnoresEras,
    /// The catalog's word that changes were discarded is the only sign of a new era.
    KnowsDiscardedOnly,
}

/// One daemon of the model.
struct Modelled {
    vm: Vm,
    /// Position in the list of lists that this daemon knows.
    list: usize,
    is_up: bool,
    is_cut: bool,
    /// Names of the changes that it holds, and the revision it is complete up to.
    held: Vec<u64>,
    after: Revision,
    cursor: SourceCursor,
    history: History,
    is_reading: bool,
}

/// Daemons that poll in random order, one round after another.
struct Model {
    daemons: Vec<Modelled>,
    lists: Vec<Vec<Vm>>,
    /// Names of the changes at the catalog: one for each revision from 1 on.
    changes: Vec<u64>,
    /// Name of the next change.
    next_change: u64,
    era: u64,
    /// Whether a daemon has gone back to an earlier revision.
    has_gone_back: bool,
    catalog_calls: usize,
    broken: Broken,
    rng: ChaCha8Rng,
}

impl Model {
    fn new(size: usize, seed: u64, broken: Broken) -> Self {
        let list = fleet(size);
        let daemons = list.iter().map(|vm| Modelled {
            vm: vm.clone(),
            list: 0,
            is_up: true,
            is_cut: false,
            held: Vec::new(),
            after: Revision::default(),
            cursor: SourceCursor::default(),
            history: History::default(),
            is_reading: false,
        });
        Self {
            daemons: daemons.collect(),
            lists: vec![list],
            changes: Vec::new(),
            next_change: 0,
            era: 0,
            has_gone_back: false,
            catalog_calls: 0,
            broken,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Each daemon that is up polls once.
    fn round(&mut self) {
        for n in 0..self.daemons.len() {
            if self.daemons[n].is_up {
                self.poll(n);
            }
        }
    }

    fn poll(&mut self, n: usize) {
        let daemon = &self.daemons[n];
        let listed = Daemons::of(&self.lists[daemon.list], None);
        let role = assign(daemon.vm.control, &daemon.vm.zone, &listed);
        let source = match daemon.cursor.current(&role) {
            Source::Catalog if self.broken == Broken::NeverReads && role != ReadRole::Reader => {
                self.daemons[n].cursor = SourceCursor::default();
                return;
            }
            source => source,
        };
        let answer = match source {
            Source::Catalog => self.ask_catalog(n),
            Source::Relay(reader) => self.ask_reader(n, reader),
        };
        let is_reader = role == ReadRole::Reader;
        let broken = self.broken;
        let daemon = &mut self.daemons[n];
        match answer {
            None | Some(Since::Behind) => {
                daemon.cursor.record_failure(source);
                daemon.is_reading &= source != Source::Catalog;
            }
            Some(Since::Discarded) => {
                self.catalog_calls += 1;
                if !daemon.is_cut {
                    self.read_all(n);
                }
            }
            Some(Since::Changes(changes, up_to)) => {
                daemon.cursor.record_success(source);
                let passes_on = source == Source::Catalog && is_reader;
                if passes_on || broken == Broken::RelaysRelayed {
                    let after = match broken {
                        Broken::KeepsGap => Revision::default(),
                        _ => daemon.after,
                    };
                    daemon.history.extend(after, changes.clone(), up_to);
                }
                daemon.is_reading = passes_on || broken == Broken::RelaysRelayed;
                if up_to.era > daemon.after.era {
                    daemon.held.clear();
                }
                for name in changes.iter().map(name) {
                    if !daemon.held.contains(&name) {
                        daemon.held.push(name);
                    }
                }
                self.has_gone_back |= up_to < daemon.after;
                daemon.after = up_to;
            }
        }
    }

    /// Lets a daemon read everything anew.
    fn read_all(&mut self, n: usize) {
        let at = self.revision();
        let all = self.named_changes(0);
        let daemon = &mut self.daemons[n];
        self.has_gone_back |= at < daemon.after;
        daemon.held.clone_from(&self.changes);
        daemon.after = at;
        match at.era > daemon.history.era() {
            true => daemon.history.begin_era(all, at),
            false => daemon.history.restart(at),
        }
    }

    /// Returns the era that daemons see.
    fn seen_era(&self) -> u64 {
        match self.broken {
            Broken::IgnoresEras | Broken::KnowsDiscardedOnly => 0,
            _ => self.era,
        }
    }

    fn revision(&self) -> Revision {
        Revision::new(self.seen_era(), self.changes.len() as u64)
    }

    /// Returns the changes after a number.
    fn named_changes(&self, after: u64) -> Vec<RelayedChange> {
        let numbered = (1..).zip(&self.changes).filter(|(number, _)| *number > after);
        let named = |(number, name): (u64, &u64)| {
            let key = EntryKey(name.to_string().into());
            RelayedChange::Removed(key, Revision::new(self.seen_era(), number))
        };
        numbered.map(named).collect()
    }

    fn change(&mut self) {
        self.changes.push(self.next_change);
        self.next_change += 1;
    }

    /// The catalog comes back from a copy that is older by some changes.
    fn drill(&mut self) {
        let lost = self.rng.random_range(0..=self.changes.len().min(5));
        self.changes.truncate(self.changes.len() - lost);
        self.era += 1;
    }

    fn ask_catalog(&mut self, n: usize) -> Option<Since> {
        self.catalog_calls += 1;
        let daemon = &self.daemons[n];
        let is_unknown = daemon.after.number > self.changes.len() as u64;
        let is_discarded = self.broken == Broken::KnowsDiscardedOnly && is_unknown;
        if daemon.is_cut {
            return None;
        }
        if is_discarded || daemon.after.era < self.seen_era() {
            return Some(Since::Discarded);
        }
        Some(Since::Changes(self.named_changes(daemon.after.number), self.revision()))
    }

    fn ask_reader(&self, n: usize, reader: SocketAddr) -> Option<Since> {
        let target = self.daemons.iter().find(|daemon| daemon.vm.control == reader)?;
        let answers = target.is_up && target.is_reading;
        answers.then(|| target.history.since(self.daemons[n].after))
    }

    /// Kills, restarts, cuts, heals, or lets a daemon learn another list.
    fn disturb(&mut self) {
        let n = self.rng.random_range(0..self.daemons.len());
        match self.rng.random_range(0..5) {
            0 => self.daemons[n].is_up ^= true,
            1 => self.daemons[n].is_cut ^= true,
            2 => {
                // The restarted daemon has read everything.
                let daemon = &mut self.daemons[n];
                daemon.after = Revision::default();
                daemon.cursor = SourceCursor::default();
                daemon.history = History::default();
                daemon.is_reading = false;
                self.read_all(n);
            }
            3 => {
                // As after a partition, lists may differ in a third of their daemons.
                let mut list = self.lists[0].clone();
                list.retain(|_| self.rng.random_bool(2.0 / 3.0));
                self.lists.push(list);
            }
            _ => self.daemons[n].list = self.rng.random_range(0..self.lists.len()),
        }
    }

    /// Whether every daemon that is up and reaches the catalog knows every change and no
    /// other, and none has ever gone back.
    fn is_complete(&self) -> bool {
        let mut sound = self.daemons.iter().filter(|daemon| daemon.is_up && !daemon.is_cut);
        let holds_all = |daemon: &Modelled| {
            let mut held = daemon.held.clone();
            held.sort_unstable();
            held == self.changes
        };
        !self.has_gone_back && sound.all(holds_all)
    }
}

/// How often the catalog comes back from an older copy while disturbances are played.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Drills {
    Never,
    /// With each disturbance of so many on average.
    OneIn(u32),
}

/// Plays disturbances and changes; returns whether all sound daemons knew all changes
/// after enough rounds without any: one for each reader, one at the catalog, and one
/// for the readers themselves.
fn converges(size: usize, seed: u64, broken: Broken, drills: Drills, disturbances: usize) -> bool {
    let mut model = Model::new(size, seed, broken);
    for _ in 0..disturbances {
        model.disturb();
        model.change();
        if let Drills::OneIn(interval) = drills
            && model.rng.random_ratio(1, interval)
        {
            model.drill();
        }
        model.round();
    }
    model.change();
    for _ in 0..6 {
        model.round();
    }
    model.is_complete()
}

macro_rules! holds_relays {
    ($($name:ident: $size:expr, $drills:expr, $seeds:expr, $disturbances:expr;)*) => {
        $(#[test]
        fn $name() {
            for seed in 0..$seeds {
                let holds = converges($size, seed, Broken::No, $drills, $disturbances);
                assert!(holds, "seed {seed}");
            }
        })*
    };
}

holds_relays! {
    holds_relays_in_a_fleet_of_8: 8, Drills::Never, 200, 40;
    holds_relays_in_a_fleet_of_100: 100, Drills::Never, 40, 60;
    holds_relays_in_a_fleet_of_1000: 1_000, Drills::Never, 2, 12;
    holds_relays_over_drills_in_a_fleet_of_8: 8, Drills::OneIn(6), 200, 40;
    holds_relays_over_drills_in_a_fleet_of_100: 100, Drills::OneIn(6), 40, 60;
    holds_relays_over_drills_in_a_fleet_of_1000: 1_000, Drills::OneIn(3), 2, 12;
}

macro_rules! finds_fault {
    ($($name:ident: $broken:expr, $drills:expr;)*) => {
        $(#[test]
        fn $name() {
            assert!((0..100).any(|seed| !converges(100, seed, $broken, $drills, 300)));
        })*
    };
}

finds_fault! {
    finds_daemons_that_relay_what_was_relayed: Broken::RelaysRelayed, Drills::Never;
    finds_followers_that_never_read: Broken::NeverReads, Drills::Never;
    finds_histories_that_hide_a_gap: Broken::KeepsGap, Drills::Never;
    finds_revisions_without_eras: Broken::IgnoresEras, Drills::OneIn(6);
    finds_readers_that_know_discarded_changes_only: Broken::KnowsDiscardedOnly, Drills::OneIn(6);
}

/// At rest, the calls of a round follow the number of readers, not that of daemons.
#[test]
fn calls_follow_the_number_of_readers() {
    for (size, readers) in [(100, 18), (1_000, 18)] {
        let mut model = Model::new(size, 1, Broken::No);
        for _ in 0..3 {
            model.round();
        }
        model.catalog_calls = 0;
        model.change();
        model.round();
        assert_eq!(model.catalog_calls, readers, "at {size} daemons");
    }
}
