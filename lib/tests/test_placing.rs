//! Placing by what instances tell of their load; see `docs/design/routing.md`.
//!
//! Each case replays a load pattern on the router alone: calls of a fixed rate take
//! a slot each at the instance that is picked, and each answer tells its load.

use std::time::Duration;

use endivescale::process::InstanceId;
use endivescale::process::routing::LoadReport;
use endivescale::process::routing::Pick;
use endivescale::process::routing::Place;
use endivescale::process::routing::Router;
use endivescale::process::routing::Work;
use endivescale::version::Criticality;
use indexmap::IndexMap;

use super::test_membership::list;
use super::test_membership::ms;

const WORK: Work =
    Work { criticality: Criticality::Normal, hash: 0, is_call: false, affinity: None };

/// Two instances in each of two availability zones of one region.
const FLEET: [&str; 4] = ["a-x1-1", "a-x1-2", "a-x2-1", "a-x2-2"];

/// Time by which every instance of the first list is warm.
const WARM: u64 = 20_000;

/// An instance as a case makes it.
#[derive(Clone, Copy)]
struct Instance {
    name: &'static str,
    slots: u32,
    /// Requests there that come from other daemons.
    others: u32,
    /// Time that a call takes, in milliseconds.
    work_ms: u64,
    /// Share of the requests that it answers well.
    good: f64,
}

const fn instance(name: &'static str) -> Instance {
    Instance { name, slots: 20, others: 0, work_ms: 100, good: 1.0 }
}

fn router(zone: &str, seed: u64) -> Router {
    let here = Place { instance: "b-x1-1".into(), zone: zone.into(), region: "x".into() };
    Router::new(here, seed)
}

/// Sends a call each `gap_ms` for `for_ms`, and returns how often each instance
/// was picked.
fn replay(
    router: &mut Router,
    from: u64,
    for_ms: u64,
    gap_ms: u64,
    instances: &[Instance],
) -> IndexMap<&'static str, usize> {
    let mut picked: IndexMap<&'static str, usize> = IndexMap::new();
    let mut running: Vec<(u64, Instance)> = Vec::new();
    for at in (from..from + for_ms).step_by(gap_ms as usize) {
        running.retain(|(end, it)| {
            let ended = *end <= at;
            if ended {
                finish(router, at, it);
            }
            !ended
        });
        let Pick::To(vm) = router.pick(ms(at), &"a".into(), &WORK, &[]) else { continue };
        let it = *instances.iter().find(|it| vm.instance == it.name.into()).unwrap();
        router.started(&vm.instance);
        *picked.entry(it.name).or_default() += 1;
        running.push((at + it.work_ms, it));
    }
    for (_, it) in &running {
        router.finished(&it.name.into());
    }
    picked
}

/// Ends a call, whose answer tells how busy the instance is.
fn finish(router: &mut Router, at: u64, it: &Instance) {
    let id: InstanceId = it.name.into();
    router.finished(&id);
    let requests = it.others + router.outstanding(&id);
    router.record_load(
        ms(at),
        &id,
        LoadReport { requests, slots: it.slots, success_ratio: it.good },
    );
}

/// Lets the router hear of each instance once.
fn hear_all(router: &mut Router, at: u64, instances: &[Instance]) {
    for it in instances {
        let report = LoadReport { requests: it.others, slots: it.slots, success_ratio: it.good };
        router.record_load(ms(at), &it.name.into(), report);
    }
}

fn warm_router(instances: &[Instance], seed: u64) -> Router {
    let mut router = router("x1", seed);
    router.apply(ms(0), &list(1, &FLEET));
    hear_all(&mut router, WARM, instances);
    router
}

fn share(picked: &IndexMap<&'static str, usize>, part: &str) -> f64 {
    let all: usize = picked.values().sum();
    let some: usize = picked.iter().filter(|(name, _)| name.contains(part)).map(|(_, n)| n).sum();
    some as f64 / all as f64
}

/// Load pattern: callers move to one zone, whose instances fill up.
#[test]
fn full_zone_passes_work_on_to_one_with_room() {
    let fleet = FLEET.map(|name| Instance {
        others: if name.contains("x1") { 60 } else { 4 },
        ..instance(name)
    });
    let picked = replay(&mut warm_router(&fleet, 1), WARM, 2_000, 10, &fleet);
    assert!(share(&picked, "x2") > 0.9, "{picked:?}");
}

/// Load pattern: ordinary differences between zones, on which no bytes are worth
/// spending.
#[test]
fn work_stays_in_the_zone_while_it_has_room() {
    let fleet = FLEET
        .map(|name| Instance { others: if name.contains("x1") { 8 } else { 4 }, ..instance(name) });
    let picked = replay(&mut warm_router(&fleet, 2), WARM, 2_000, 20, &fleet);
    assert!(share(&picked, "x1") > 0.95, "{picked:?}");
}

/// Load pattern: one instance is five times slower than the other of its zone.
#[test]
fn slow_instance_gets_less_than_the_quick_one() {
    let mut fleet = FLEET.map(instance);
    fleet[0].work_ms = 500;
    let picked = replay(&mut warm_router(&fleet, 3), WARM, 4_000, 10, &fleet);
    assert!(share(&picked, "a-x1-1") < share(&picked, "a-x1-2"), "{picked:?}");
    assert!(share(&picked, "a-x1-1") > 0.0, "{picked:?}");
}

/// Load pattern: an instance fails most of its requests while its health is good.
#[test]
fn failing_instance_gets_little_and_is_tried_again() {
    let mut fleet = FLEET.map(instance);
    fleet[0].good = 0.2;
    let mut router = warm_router(&fleet, 4);
    let picked = replay(&mut router, WARM, 4_000, 10, &fleet);
    assert!(share(&picked, "a-x1-1") < 0.1, "{picked:?}");
    fleet[0].good = 1.0;
    let picked = replay(&mut router, WARM + 4_000, 10_000, 10, &fleet);
    assert!(share(&picked, "a-x1-1") > 0.2, "{picked:?}");
}

/// Load pattern: two thirds of the instances of a deep service refuse half of what they
/// get, those of the daemon's own zone among them. While the sound ones have room, they
/// get nearly everything, though they are in another zone.
#[test]
fn sound_instances_get_nearly_all_while_others_refuse_half() {
    let mut fleet = FLEET.map(instance);
    fleet[0].good = 0.45;
    fleet[1].good = 0.45;
    fleet[2].good = 0.45;
    let picked = replay(&mut warm_router(&fleet, 7), WARM, 6_000, 10, &fleet);
    assert!(share(&picked, "a-x2-2") > 0.9, "{picked:?}");
}

/// Load pattern: as above, and the sound instance is full. The rest is spread rather
/// than queued there, and the daemon goes on to try the others.
#[test]
fn refusing_instances_get_what_does_not_fit_elsewhere() {
    let mut fleet = FLEET.map(instance);
    fleet[0].good = 0.45;
    fleet[1].good = 0.45;
    fleet[2].good = 0.45;
    fleet[3].others = 60;
    let picked = replay(&mut warm_router(&fleet, 8), WARM, 6_000, 10, &fleet);
    assert!(share(&picked, "a-x2-2") < 0.5, "{picked:?}");
}

/// Load pattern: an empty instance is added during a surge. It must get work soon,
/// and not all of it at once.
#[test]
fn newcomer_gets_work_but_not_all_of_it() {
    let mut fleet = vec![instance("a-x1-1"), instance("a-x1-2"), instance("a-x1-3")];
    let mut router = router("x1", 5);
    router.apply(ms(0), &list(1, &["a-x1-1", "a-x1-2"]));
    hear_all(&mut router, WARM, &fleet[..2]);
    fleet[0].others = 12;
    fleet[1].others = 12;
    replay(&mut router, WARM, 1_000, 10, &fleet[..2]);
    router.apply(ms(WARM + 1_000), &list(2, &["a-x1-1", "a-x1-2", "a-x1-3"]));
    let picked = replay(&mut router, WARM + 1_000, 4_000, 10, &fleet);
    let newcomer = share(&picked, "a-x1-3");
    assert!((0.01..0.6).contains(&newcomer), "{picked:?}");
}

/// Load pattern: many daemons heard the same loads and send at the same moment.
#[test]
fn daemons_that_heard_the_same_do_not_choose_alike() {
    let fleet = FLEET.map(instance);
    let mut chosen: IndexMap<String, usize> = IndexMap::new();
    for seed in 0..200 {
        let mut router = warm_router(&fleet, seed);
        let Pick::To(vm) = router.pick(ms(WARM), &"a".into(), &WORK, &[]) else { panic!() };
        *chosen.entry(vm.instance.to_string()).or_default() += 1;
    }
    let least = chosen.values().min();
    assert!(chosen.len() == 2 && least >= Some(&60), "{chosen:?}");
}

/// Load pattern: reports stop, as in a calm hour; old ones must not place work.
#[test]
fn old_report_is_forgotten() {
    let mut fleet = FLEET.map(instance);
    fleet[0].others = 100;
    let mut router = warm_router(&fleet, 6);
    let later = Duration::from_millis(WARM) + Duration::from_secs(10);
    let picks = (0..100).filter(|_| {
        let pick = router.pick(later, &"a".into(), &WORK, &[]);
        matches!(pick, Pick::To(vm) if vm.instance == "a-x1-1".into())
    });
    assert!(picks.count() > 20);
}
