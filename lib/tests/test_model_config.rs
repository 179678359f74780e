//! Model of the spread of configuration: `docs/spec/config.md` in code.

use endivescale::process::config::Fault;
use endivescale::process::config::TextHash;
use endivescale::process::config::VersionId;
use endivescale::process::config::VersionState;
use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

const DAEMONS: usize = 3;
const RESTARTS: u8 = 1;

/// What the platform publishes, in order. Two operators race for number 2, and
/// number 3 is invalid.
const PLAN: [(VersionId, bool); 4] =
    [(id(1, 5), true), (id(2, 3), true), (id(2, 8), true), (id(3, 1), false)];

const fn id(number: u64, hash: u64) -> VersionId {
    VersionId { number, hash: TextHash(hash) }
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Daemon {
    holder: VersionState,
    /// Peers asked since the start, by bit.
    asked: u8,
    ready: bool,
    /// What each peer held when this daemon started, for as long as that peer
    /// stays up and in reach: a version that only one daemon held is lost with it.
    floors: [Option<VersionId>; DAEMONS],
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct World {
    published: usize,
    daemons: [Daemon; DAEMONS],
    /// Whether the last daemon is cut off from the others.
    cut: bool,
    restarts: u8,
    reverted: bool,
    served_older: bool,
    fault: Option<Fault>,
}

impl World {
    fn new(fault: Option<Fault>) -> Self {
        let holder = VersionState::with_fault(fault);
        // The first daemons have nobody to ask: they serve as soon as they hold a version.
        let daemon = Daemon { holder, ready: true, ..Daemon::default() };
        let daemons = [daemon; DAEMONS];
        Self {
            published: 1,
            daemons,
            cut: false,
            restarts: 0,
            reverted: false,
            served_older: false,
            fault,
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from != to && !(self.cut && (from == DAEMONS - 1 || to == DAEMONS - 1))
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
        let holder = VersionState::with_fault(self.fault);
        self.daemons[which] = Daemon { holder, floors, ..Daemon::default() };
        for daemon in &mut self.daemons {
            daemon.floors[which] = None;
        }
        self.restarts += 1;
    }

    /// Lets a daemon serve; what it did to get there no longer matters then.
    fn serve(&mut self, which: usize) {
        let daemon = &mut self.daemons[which];
        let floor = daemon.floors.into_iter().max().flatten();
        self.served_older |= daemon.holder.held() < floor;
        *daemon = Daemon { holder: daemon.holder, ready: true, ..Daemon::default() };
    }

    fn may_serve(&self, which: usize) -> bool {
        let daemon = &self.daemons[which];
        let asked = self.peers(which).all(|peer| daemon.asked & (1 << peer) != 0);
        !daemon.ready
            && daemon.holder.held().is_some()
            && (asked || self.fault == Some(Fault::AskNobody))
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut world = *self;
        change(&mut world);
        world
    }

    /// Every step that may come next. The platform serves any version that it
    /// ever published, as one does that is stale or goes back; an answer that
    /// arrives late is the same to a daemon.
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        if self.published < PLAN.len() {
            next.push(self.with(|world| world.published += 1));
        }
        next.push(self.with(|world| {
            world.cut = !world.cut;
            world.daemons.iter_mut().for_each(|daemon| daemon.floors = [None; DAEMONS]);
        }));
        for which in 0..DAEMONS {
            for (served, _) in &PLAN[..self.published] {
                next.push(self.with(|world| world.deliver(which, *served)));
            }
            for peer in self.peers(which) {
                next.push(self.with(|world| world.ask(which, peer)));
            }
            if self.restarts < RESTARTS && self.daemons[which].ready {
                next.push(self.with(|world| world.restart(which)));
            }
            if self.may_serve(which) {
                next.push(self.with(|world| world.serve(which)));
            }
        }
        next
    }

    /// Returns whether the daemons settle on one version once the cut heals,
    /// without the platform.
    fn converges(&self) -> bool {
        let mut world = self.with(|world| world.cut = false);
        loop {
            let before = world.daemons.map(|daemon| daemon.holder);
            for (asker, asked) in pairs() {
                world.ask(asker, asked);
            }
            if world.daemons.map(|daemon| daemon.holder) == before {
                break;
            }
        }
        let held = world.daemons.map(|daemon| daemon.holder.held());
        let newest = self.daemons.iter().filter_map(|daemon| daemon.holder.held()).max();
        held.iter().all(|&held| held == newest)
    }

    fn holds_invalid(&self) -> bool {
        self.daemons.iter().filter_map(|d| d.holder.held()).any(|held| !is_valid(held))
    }

    fn is_violation(&self) -> bool {
        self.reverted || self.holds_invalid() || self.served_older || !self.converges()
    }
}

fn is_valid(id: VersionId) -> bool {
    PLAN.iter().any(|&(planned, valid)| planned == id && valid)
}

fn pairs() -> impl Iterator<Item = (usize, usize)> {
    (0..DAEMONS).flat_map(|a| (0..DAEMONS).filter(move |&b| b != a).map(move |b| (a, b)))
}

/// Returns the shortest way to a state that breaks a promise.
fn violation(fault: Option<Fault>) -> Option<Vec<World>> {
    bfs(&World::new(fault), World::successors, World::is_violation)
}

macro_rules! finds {
    ($($name:ident: $fault:ident => |$world:ident| $broken:expr;)*) => {
        $(#[test]
        fn $name() {
            let path = violation(Some(Fault::$fault)).expect("the defect breaks a promise");
            let $world = path.last().expect("a path has an end");
            assert!($broken, "{path:#?}");
        })*
    };
}

finds! {
    holds_config_model_finds_a_version_taken_back: TakeLast => |world| world.reverted;
    holds_config_model_finds_two_texts_in_force: IgnoreHash => |world| !world.converges();
    holds_config_model_finds_a_version_skipped: AskAboveRefused => |world| !world.converges();
    holds_config_model_finds_a_start_with_an_older_version:
        AskNobody => |world| world.served_older;
}

#[test]
fn holds_config_model_never_reverts_and_converges() {
    let mut states = 0;
    for world in bfs_reach(World::new(None), World::successors) {
        assert!(!world.is_violation(), "{world:#?}");
        states += 1;
    }
    assert!(states > 40_000, "only {states} states explored");
}
