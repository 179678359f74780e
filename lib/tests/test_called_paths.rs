//! Which calls a kind of request makes, and the refusal of requests whose calls would be
//! refused; see `docs/design/admission.md`.

use std::time::Duration;

use endivescale::process::admission::CalledPaths;
use endivescale::process::admission::Level;
use endivescale::process::admission::PathLevels;
use endivescale::version::Criticality;

use super::test_membership::ms;

fn paths(requests: usize, calls: &[(&'static str, usize)]) -> CalledPaths<u8, &'static str> {
    let mut paths = CalledPaths::default();
    for n in 0..requests {
        paths.record_request(&1);
        for (path, each) in calls {
            if n % each == 0 {
                paths.record_call(&1, path);
            }
        }
    }
    paths
}

#[test]
fn usual_calls_are_those_of_at_least_half_of_the_requests() {
    let paths = paths(100, &[("always", 1), ("every-other", 2), ("rare", 10)]);
    let usual: Vec<_> = paths.usual(&1).copied().collect();
    assert_eq!(usual, ["always", "every-other"]);
    assert_eq!(paths.usual(&2).count(), 0);
}

#[test]
fn a_few_requests_tell_nothing() {
    assert_eq!(paths(4, &[("always", 1)]).usual(&1).count(), 0);
}

/// After a new version of the upstream's software a call may no longer be made.
#[test]
fn calls_that_are_no_longer_made_are_forgotten() {
    let mut paths = paths(900, &[("old", 1)]);
    for _ in 0..2_000 {
        paths.record_request(&1);
        paths.record_call(&1, &"new");
    }
    assert_eq!(paths.usual(&1).copied().collect::<Vec<_>>(), ["new"]);
}

/// A root that few requests pass refused them for up to a second after a single answer, although
/// other instances had room or the limit had ended.
#[test]
fn single_answer_does_not_close_a_quiet_root() {
    let mut levels = PathLevels::default();
    let left = Some(Duration::from_secs(1));
    levels.record_level(ms(0), &1, Level::CLOSED);
    assert!(levels.check(ms(50), &1, Criticality::Normal, 1, left).is_err());
    assert!(levels.check(ms(100), &1, Criticality::Normal, 1, left).is_ok());
    levels.record_answer(ms(120), &1, Some(Level::OPEN));
    assert!(levels.check(ms(130), &1, Criticality::Normal, 1, left).is_ok());
}

/// The first level that a root heard excluded a request, although another instance had just
/// answered with an open one.
#[test]
fn first_answer_with_a_level_does_not_close_a_root_that_had_an_open_one() {
    let mut levels = PathLevels::default();
    let is_admitted = |at, levels: &mut PathLevels<u8>| {
        levels.check(ms(at), &1, Criticality::Deferrable, 1, None).is_ok()
    };
    levels.record_answer(ms(0), &1, Some(Level::OPEN));
    levels.record_answer(ms(99), &1, Some(Level::CLOSED));
    assert!(is_admitted(119, &mut levels));
    for at in [150, 200, 255] {
        levels.record_level(ms(at), &1, Level::CLOSED);
    }
    assert!(!is_admitted(260, &mut levels));
}

/// Requests let through must not bring back the load that the level keeps away.
#[test]
fn quiet_root_lets_one_request_through_until_it_is_answered() {
    let mut levels = PathLevels::default();
    let left = Some(Duration::from_secs(1));
    levels.record_level(ms(0), &1, Level::CLOSED);
    let passed = |from: u64, to: u64, levels: &mut PathLevels<u8>| {
        let times = (from..to).step_by(10);
        times.filter(|at| levels.check(ms(*at), &1, Criticality::Normal, 1, left).is_ok()).count()
    };
    assert_eq!(passed(100, 600, &mut levels), 1);
    levels.record_level(ms(600), &1, Level::CLOSED);
    assert_eq!(passed(600, 690, &mut levels), 0);
    assert_eq!(passed(700, 800, &mut levels), 1);
}

/// Load pattern: a deep service is unreachable for two seconds. Requests arrive every 10 ms at
/// the service before it, which calls it 20 ms after the start of each request and answers
/// after 300 ms. Returns how many requests were let in to be refused by the deep service.
fn wasted(checks_at_owner: bool) -> usize {
    const CALL_AFTER: u64 = 20;
    const ANSWER_AFTER: u64 = 300;
    let closed = Level::CLOSED;
    let mut paths: CalledPaths<u8, u8> = CalledPaths::default();
    for _ in 0..10 {
        paths.record_request(&1);
        paths.record_call(&1, &2);
    }
    let (mut at_owner, mut at_root) = (PathLevels::default(), PathLevels::default());
    let mut wasted = 0;
    let mut started: Vec<u64> = Vec::new();
    for now in (0..2_000_u64).step_by(10) {
        if started.contains(&now.wrapping_sub(CALL_AFTER)) {
            at_owner.record_level(ms(now), &2, closed);
        }
        if started.contains(&now.wrapping_sub(ANSWER_AFTER)) {
            at_root.record_level(ms(now), &1, closed);
        }
        let left = Some(Duration::from_secs(1));
        let passes_root = at_root.check(ms(now), &1, Criticality::Normal, 1, left).is_ok();
        let passes_owner = !checks_at_owner
            || paths
                .usual(&1)
                .all(|path| at_owner.check(ms(now), path, Criticality::Normal, 1, left).is_ok());
        if passes_root && !passes_owner {
            // The refusal carries the level to the root.
            at_root.record_level(ms(now), &1, closed);
        }
        if passes_root && passes_owner {
            started.push(now);
            wasted += 1;
        }
    }
    wasted
}

#[test]
fn requests_are_refused_once_the_first_call_was() {
    let (late, early) = (wasted(false), wasted(true));
    assert!(early <= 10, "{early} requests let in");
    assert!(late >= 3 * early, "{late} let in without the check at the owner, {early} with it");
}
