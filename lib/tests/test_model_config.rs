//! Model of the spread of configuration: `docs/spec/config.md` in code.

use endivescale::process::catalog::Revision;
use endivescale::process::config::Fault;
use endivescale::process::config::TextHash;
use endivescale::process::config::VersionId;
use endivescale::process::config::VersionState;
use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

const DAEMONS: usize = 3;

/// Most changes that the store holds while steps are played.
const CHANGES_MAX: usize = 3;
/// Two more for what the operator writes once the steps are over.
const STORE_LEN: usize = CHANGES_MAX + 2;
/// Most changes that a copy of the store lacks.
const LOST_MAX: usize = 2;

/// What the platform publishes, in order. Two operators race for number 2, and
/// number 3 is invalid.
const PLAN: [(VersionId, bool); 4] =
    [(id(1, 5), true), (id(2, 3), true), (id(2, 8), true), (id(3, 1), false)];

/// A valid version that the operator publishes once the steps are over.
const LAST: VersionId = id(4, 1);

const fn id(number: u64, hash: u64) -> VersionId {
    VersionId { number, hash: TextHash(hash) }
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Daemon {
    holder: VersionState,
    /// Position in the store's changes up to which the daemon has followed it.
    after: Option<Revision>,
    /// Peers asked since the start, by bit.
    asked: u8,
    ready: bool,
    /// What each peer held when this daemon started, for as long as that peer
    /// stays up and in reach: a version that only one daemon held is lost with it.
    floors: [Option<VersionId>; DAEMONS],
}

/// A change to the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Written {
    Policy(VersionId),
    /// An entry of an instance.
    Entry,
}

/// The platform's store, whose changes have the numbers from 1 on.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Store {
    era: u64,
    changes: [Option<Written>; STORE_LEN],
}

impl Store {
    fn len(&self) -> usize {
        self.changes.iter().flatten().count()
    }

    fn write(&mut self, change: Written) {
        let len = self.len();
        self.changes[len] = Some(change);
    }

    /// Comes back from a copy that lacks the last changes, in a new era.
    fn restore(&mut self, lost: usize) {
        let len = self.len();
        self.changes[len - lost..].fill(None);
        self.era += 1;
    }

    /// Returns the versions among the changes after a number.
    fn versions_after(&self, number: u64) -> impl Iterator<Item = VersionId> + use<> {
        let changes = (1..).zip(self.changes).filter(move |(at, _)| *at > number);
        changes.filter_map(|(_, change)| match change {
            Some(Written::Policy(id)) => Some(id),
            Some(Written::Entry) | None => None,
        })
    }
}

/// A defect, to show that the model finds it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Defect {
    /// One of the daemon's own decisions.
    Of(Fault),
    /// Positions in the store are compared without their eras.
    IgnoreEras,
}

/// What is played beside the versions and the questions between daemons.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Play {
    /// What the daemons know of the platform.
    platform: Platform,
    /// How many versions of [`PLAN`] are published, and how many changes the store holds.
    versions: usize,
    changes: usize,
    restarts: u8,
    cuts: bool,
    /// Whether the last daemon joins later than the others.
    joins: bool,
}

/// How the platform answers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Platform {
    /// With any version that it ever published.
    AnyVersion,
    /// As a store whose changes daemons follow, and that may come back from a copy.
    Store { drills: u64 },
}

const WITHOUT_STORE: Play = Play {
    platform: Platform::AnyVersion,
    versions: PLAN.len(),
    changes: CHANGES_MAX,
    restarts: 1,
    cuts: true,
    joins: false,
};
const DRILL: Play =
    Play { platform: Platform::Store { drills: 1 }, restarts: 0, cuts: false, ..WITHOUT_STORE };
/// A play small enough for steps beside a drill.
const SHORT_DRILL: Play = Play { versions: 2, changes: 2, ..DRILL };

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct World {
    play: Play,
    published: usize,
    store: Store,
    daemons: [Daemon; DAEMONS],
    /// Whether the last daemon has not joined yet.
    is_awaited: bool,
    /// Whether the last daemon is cut off from the others.
    cut: bool,
    restarts: u8,
    reverted: bool,
    served_older: bool,
    defect: Option<Defect>,
}

impl World {
    fn new(play: Play, defect: Option<Defect>) -> Self {
        let holder = VersionState::with_fault(fault_of(defect));
        // The first daemons have nobody to ask: they serve as soon as they hold a version.
        let daemon = Daemon { holder, ready: true, ..Daemon::default() };
        let mut daemons = [daemon; DAEMONS];
        daemons[DAEMONS - 1].ready &= !play.joins;
        let mut store = Store::default();
        store.write(Written::Policy(PLAN[0].0));
        Self {
            play,
            published: 1,
            store,
            daemons,
            is_awaited: play.joins,
            cut: false,
            restarts: 0,
            reverted: false,
            served_older: false,
            defect,
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_apart = self.cut || self.is_awaited;
        from != to && !(is_apart && (from == DAEMONS - 1 || to == DAEMONS - 1))
    }

    fn peers(&self, of: usize) -> impl Iterator<Item = usize> {
        (0..DAEMONS).filter(move |&to| self.reaches(of, to))
    }

    /// Hands a version to a daemon, as `Shared::apply` does.
    fn deliver(&mut self, to: usize, id: VersionId) {
        let holder = &mut self.daemons[to].holder;
        let before = holder.held();
        if !holder.judge(id).wanted() {
            return;
        }
        match is_valid(id) {
            true => _ = holder.accept(id),
            false => holder.refuse(id),
        }
        self.reverted |= holder.held() < before;
    }

    /// Returns an era as daemons see it.
    fn seen_era(&self) -> u64 {
        match self.defect {
            Some(Defect::IgnoreEras) => 0,
            Some(Defect::Of(_)) | None => self.store.era,
        }
    }

    /// Lets a daemon watch the store from its position, or read it where that is unknown.
    fn follow(&mut self, which: usize) {
        let at = Revision::new(self.seen_era(), self.store.len() as u64);
        // The store answers 410 to a number that it has not given out.
        let is_known = |after: &Revision| after.era == at.era && after.number <= at.number;
        match self.daemons[which].after.filter(is_known) {
            Some(after) => {
                for id in self.store.versions_after(after.number) {
                    self.deliver(which, id);
                }
            }
            None => {
                if let Some(id) = self.store.versions_after(0).last() {
                    self.deliver(which, id);
                }
            }
        }
        self.daemons[which].after = Some(at);
    }

    /// The operator writes the newest version, unless the store has it.
    fn write_again(&mut self) {
        let newest = PLAN[self.published - 1].0;
        if self.store.versions_after(0).last() != Some(newest) {
            self.store.write(Written::Policy(newest));
        }
    }

    fn ask(&mut self, asker: usize, asked: usize) {
        let known = self.daemons[asker].holder.known();
        let held = self.daemons[asked].holder.held();
        if let Some(id) = held.filter(|&id| known.lacks(id)) {
            self.deliver(asker, id);
        }
        if !self.daemons[asker].ready {
            self.daemons[asker].asked |= 1 << asked;
        }
    }

    fn restart(&mut self, which: usize) {
        let mut floors = [None; DAEMONS];
        for peer in self.peers(which) {
            floors[peer] = self.daemons[peer].holder.held();
        }
        let holder = VersionState::with_fault(fault_of(self.defect));
        self.daemons[which] = Daemon { holder, floors, ..Daemon::default() };
        for daemon in &mut self.daemons {
            daemon.floors[which] = None;
        }
    }

    /// Lets a daemon serve; what it did to get there no longer matters then.
    fn serve(&mut self, which: usize) {
        let daemon = &mut self.daemons[which];
        let floor = daemon.floors.into_iter().max().flatten();
        self.served_older |= daemon.holder.held() < floor;
        *daemon =
            Daemon { holder: daemon.holder, after: daemon.after, ready: true, ..Daemon::default() };
    }

    fn may_serve(&self, which: usize) -> bool {
        let daemon = &self.daemons[which];
        let asked = self.peers(which).all(|peer| daemon.asked & (1 << peer) != 0);
        !daemon.ready
            && daemon.holder.held().is_some()
            && (asked || self.defect == Some(Defect::Of(Fault::AskNobody)))
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut world = *self;
        change(&mut world);
        world
    }

    /// Every step that may come next.
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        match self.play.platform {
            Platform::AnyVersion => self.push_platform_steps(&mut next),
            Platform::Store { drills } => self.push_store_steps(drills, &mut next),
        }
        if self.play.cuts {
            next.push(self.with(|world| {
                world.cut = !world.cut;
                world.daemons.iter_mut().for_each(|daemon| daemon.floors = [None; DAEMONS]);
            }));
        }
        if self.is_awaited {
            next.push(self.with(|world| {
                world.is_awaited = false;
                world.restart(DAEMONS - 1);
            }));
        }
        for which in 0..DAEMONS {
            for peer in self.peers(which) {
                next.push(self.with(|world| world.ask(which, peer)));
            }
            if self.restarts < self.play.restarts && self.daemons[which].ready {
                next.push(self.with(|world| {
                    world.restart(which);
                    world.restarts += 1;
                }));
            }
            if self.may_serve(which) {
                next.push(self.with(|world| world.serve(which)));
            }
        }
        next
    }

    /// The platform serves any version that it ever published, as one does that is stale
    /// or goes back; an answer that arrives late is the same to a daemon.
    fn push_platform_steps(&self, next: &mut Vec<Self>) {
        if self.published < self.play.versions {
            next.push(self.with(|world| world.published += 1));
        }
        for which in 0..DAEMONS {
            for (served, _) in &PLAN[..self.published] {
                next.push(self.with(|world| world.deliver(which, *served)));
            }
        }
    }

    /// Daemons follow the store, each as late as may be, as one does that is cut off from
    /// it. The operator writes again what a copy lacks at any later time, or never.
    fn push_store_steps(&self, drills: u64, next: &mut Vec<Self>) {
        let len = self.store.len();
        if len < self.play.changes {
            if self.published < self.play.versions {
                next.push(self.with(|world| {
                    world.store.write(Written::Policy(PLAN[world.published].0));
                    world.published += 1;
                }));
            }
            next.push(self.with(|world| world.store.write(Written::Entry)));
            next.push(self.with(Self::write_again));
        }
        if self.store.era < drills {
            for lost in 0..=len.min(LOST_MAX) {
                next.push(self.with(|world| world.store.restore(lost)));
            }
        }
        for which in self.present() {
            next.push(self.with(|world| world.follow(which)));
        }
    }

    /// Returns the daemons that have joined.
    fn present(&self) -> std::ops::Range<usize> {
        0..DAEMONS - usize::from(self.is_awaited)
    }

    /// Returns whether the daemons settle on one version once the cut heals,
    /// without the platform.
    fn converges(&self) -> bool {
        let mut world = self.with(|world| world.cut = false);
        let present = self.present();
        loop {
            let before = world.daemons.map(|daemon| daemon.holder);
            for (asker, asked) in pairs() {
                world.ask(asker, asked);
            }
            if world.daemons.map(|daemon| daemon.holder) == before {
                break;
            }
        }
        let held = world.daemons[present].iter().map(|daemon| daemon.holder.held());
        let newest = self.daemons.iter().filter_map(|daemon| daemon.holder.held()).max();
        let held: Vec<_> = held.collect();
        held.iter().all(|&held| held == newest)
    }

    /// Returns whether each daemon alone, by one answer of the store to each write, comes
    /// to the version that the operator writes again and to the one that follows it.
    fn follows_store(&self) -> bool {
        let is_known = |daemon: &Daemon, id| !is_valid(id) || daemon.holder.held() == Some(id);
        let mut world = *self;
        for id in [PLAN[self.published - 1].0, LAST] {
            match id {
                LAST => world.store.write(Written::Policy(LAST)),
                _ => world.write_again(),
            }
            for which in self.present() {
                world.follow(which);
                if !is_known(&world.daemons[which], id) {
                    return false;
                }
            }
        }
        !world.reverted
    }

    fn holds_invalid(&self) -> bool {
        self.daemons.iter().filter_map(|d| d.holder.held()).any(|held| !is_valid(held))
    }

    fn misses_store(&self) -> bool {
        match self.play.platform {
            Platform::AnyVersion => false,
            Platform::Store { .. } => !self.follows_store(),
        }
    }

    fn is_violation(&self) -> bool {
        self.reverted
            || self.holds_invalid()
            || self.served_older
            || !self.converges()
            || self.misses_store()
    }
}

fn is_valid(id: VersionId) -> bool {
    id == LAST || PLAN.iter().any(|&(planned, valid)| planned == id && valid)
}

fn fault_of(defect: Option<Defect>) -> Option<Fault> {
    match defect {
        Some(Defect::Of(fault)) => Some(fault),
        Some(Defect::IgnoreEras) | None => None,
    }
}

fn pairs() -> impl Iterator<Item = (usize, usize)> {
    (0..DAEMONS).flat_map(|a| (0..DAEMONS).filter(move |&b| b != a).map(move |b| (a, b)))
}

/// Returns the shortest way to a state that breaks a promise.
fn violation(play: Play, defect: Defect) -> Option<Vec<World>> {
    bfs(&World::new(play, Some(defect)), World::successors, World::is_violation)
}

macro_rules! finds {
    ($($name:ident: $play:expr, $defect:expr => |$world:ident| $broken:expr;)*) => {
        $(#[test]
        fn $name() {
            let path = violation($play, $defect).expect("the defect breaks a promise");
            let $world = path.last().expect("a path has an end");
            assert!($broken, "{path:#?}");
        })*
    };
}

finds! {
    holds_config_model_finds_a_version_taken_back:
        WITHOUT_STORE, Defect::Of(Fault::TakeLast) => |world| world.reverted;
    holds_config_model_finds_two_texts_in_force:
        WITHOUT_STORE, Defect::Of(Fault::IgnoreHash) => |world| !world.converges();
    holds_config_model_finds_a_version_skipped:
        WITHOUT_STORE, Defect::Of(Fault::AskAboveRefused) => |world| !world.converges();
    holds_config_model_finds_a_start_with_an_older_version:
        WITHOUT_STORE, Defect::Of(Fault::AskNobody) => |world| world.served_older;
    holds_config_model_finds_a_copy_that_takes_a_version_back:
        DRILL, Defect::Of(Fault::TakeLast) => |world| world.reverted && world.store.era > 0;
    holds_config_model_finds_a_version_missed_under_a_reused_revision:
        DRILL, Defect::IgnoreEras => |world| !world.follows_store() && world.store.era > 0;
}

macro_rules! holds {
    ($($name:ident: $play:expr, $states:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut states = 0;
            for world in bfs_reach(World::new($play, None), World::successors) {
                assert!(!world.is_violation(), "{world:#?}");
                states += 1;
            }
            assert_eq!(states, $states, "states explored");
        })*
    };
}

holds! {
    holds_config_model_never_reverts_and_converges: WITHOUT_STORE, 47_449;
    holds_config_model_over_a_drill: DRILL, 140_009;
    holds_config_model_over_two_drills:
        Play { platform: Platform::Store { drills: 2 }, ..SHORT_DRILL }, 94_403;
    holds_config_model_over_a_drill_beside_kills: Play { restarts: 1, ..SHORT_DRILL }, 601_393;
    holds_config_model_over_a_drill_beside_cuts: Play { cuts: true, ..DRILL }, 280_018;
    holds_config_model_over_a_drill_beside_joins: Play { joins: true, ..SHORT_DRILL }, 175_737;
}
