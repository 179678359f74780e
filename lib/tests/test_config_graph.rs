//! Who asks whom, and who watches the platform, worked out for large fleets
//! from the daemon's own choices; no daemon runs.

use std::collections::VecDeque;
use std::time::Duration;

use endivescale::process::config::Slot;
use endivescale::process::config::Turn;
use endivescale::process::config::Turns;
use endivescale::process::config::choose;
use endivescale::process::membership::VmList;
use endivescale::process::routing::Place;
use indexmap::IndexMap;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::test_membership::vm;

const ZONES: [&str; 6] = ["x1", "x2", "y1", "y2", "z1", "z2"];
const HOUR: Duration = Duration::from_secs(3600);

fn list(size: usize) -> VmList {
    let vms = (0..size).map(|n| vm(&format!("svc-{}-{n}", ZONES[n % ZONES.len()])));
    VmList { version: 1, vms: vms.collect() }
}

/// Returns for each daemon those that ask it.
fn askers(list: &VmList) -> Vec<Vec<usize>> {
    let index: IndexMap<_, _> =
        list.vms.iter().enumerate().map(|(n, vm)| (vm.instance.clone(), n)).collect();
    let mut askers = vec![Vec::new(); list.vms.len()];
    for (n, vm) in list.vms.iter().enumerate() {
        let place = Place {
            instance: vm.instance.clone(),
            zone: vm.zone.clone(),
            region: vm.region.clone(),
        };
        for slot in Slot::ALL {
            if let Some(partner) = choose(&place, list, slot, 0) {
                askers[index[&partner.instance]].push(n);
            }
        }
    }
    askers
}

/// Returns how many hops news takes from a daemon to each it reaches.
fn hops(askers: &[Vec<usize>], from: usize) -> Vec<Option<usize>> {
    let mut hops = vec![None; askers.len()];
    hops[from] = Some(0);
    let mut queue = VecDeque::from([from]);
    while let Some(at) = queue.pop_front() {
        for &asker in &askers[at] {
            if hops[asker].is_none() {
                hops[asker] = hops[at].map(|n| n + 1);
                queue.push_back(asker);
            }
        }
    }
    hops
}

macro_rules! reaches_in {
    ($($name:ident: $size:expr, $most:expr;)*) => {
        $(#[test]
        fn $name() {
            let askers = askers(&list($size));
            let hops = hops(&askers, 0);
            let far = hops.iter().map(|n| n.expect("every daemon is reached")).max();
            assert!(far <= Some($most), "{far:?} hops");
            let most = askers.iter().map(Vec::len).max();
            assert!(most <= Some(14), "a daemon is asked by {most:?}");
        })*
    };
}

reaches_in! {
    holds_config_reaches_12_daemons: 12, 4;
    holds_config_reaches_200_daemons: 200, 9;
    holds_config_reaches_1000_daemons: 1_000, 12;
    holds_config_reaches_2000_daemons: 2_000, 14;
}

/// Returns how many daemons of a zone watch the platform at a time, on average
/// over an hour.
fn watchers(zone_size: usize, counted_size: usize) -> f64 {
    let mut watched = Duration::ZERO;
    for seed in 0..zone_size as u64 {
        let mut turns = Turns::new(ChaCha8Rng::seed_from_u64(seed));
        let mut now = Duration::ZERO;
        while now < HOUR {
            let left = HOUR - now;
            now += match turns.next(counted_size, true) {
                Turn::Watch(time) => {
                    watched += time.min(left);
                    time
                }
                Turn::Rest(time) => time,
            };
        }
    }
    watched.as_secs_f64() / HOUR.as_secs_f64()
}

macro_rules! watched_by {
    ($($name:ident: $size:expr, $least:expr, $most:expr;)*) => {
        $(#[test]
        fn $name() {
            let mean = watchers($size, $size);
            assert!(($least..=$most).contains(&mean), "{mean} watchers");
        })*
    };
}

watched_by! {
    holds_config_few_watches_in_a_zone_of_4: 4, 4.0, 4.0;
    holds_config_few_watches_in_a_zone_of_100: 100, 7.0, 9.0;
    holds_config_few_watches_in_a_zone_of_1333: 1_333, 7.0, 9.0;
}

#[test]
fn holds_config_finds_watches_that_grow_with_the_fleet() {
    // Daemons that take their zone for a small one all watch.
    assert!(watchers(100, 8) > 99.0);
}
