//! What a daemon knows of the calls that its upstream makes for a request.

use std::sync::Arc;

use endivescale::process::Incarnation;
use endivescale::process::admission::Level;
use endivescale::request::Context;
use endivescale::request::parent::Parents;
use endivescale::version::PlanKey;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::test_context::sample;

/// Returns whether the request counts as having a failed call after `play`.
fn has_failed_call(play: impl FnOnce(&Arc<endivescale::request::parent::Parent>)) -> bool {
    let parents = Parents::new(Incarnation(1));
    let cx: Context = sample();
    let level = Arc::new(Mutex::new(Level::OPEN));
    let guard = parents.open(cx, PlanKey(0), None, Instant::now(), level);
    play(guard.parent());
    guard.parent().has_failed_call()
}

#[test]
fn request_without_calls_has_no_failed_one() {
    assert!(!has_failed_call(|_| {}));
}

#[test]
fn answered_call_is_not_a_failed_one() {
    assert!(!has_failed_call(|parent| parent.begin_call().succeed()));
}

/// Load pattern: a deep service is slow, and the upstream gives its call up when the call's
/// time is over. Its error must not count as its own, or the request would be tried again
/// elsewhere in the middle of an overload.
#[test]
fn call_that_the_upstream_gives_up_is_a_failed_one() {
    assert!(has_failed_call(|parent| drop(parent.begin_call())));
}

#[test]
fn one_failed_call_of_several_counts() {
    assert!(has_failed_call(|parent| {
        let given_up = parent.begin_call();
        parent.begin_call().succeed();
        drop(given_up);
    }));
}
