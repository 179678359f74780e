//! What a daemon knows of the calls that its upstream makes for a request.

use std::sync::Arc;

use endivescale::process::Incarnation;
use endivescale::process::admission::Level;
use endivescale::request::Context;
use endivescale::request::parent::Parent;
use endivescale::request::parent::Parents;
use endivescale::version::PlanKey;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::test_context::sample;

/// Returns whether the request counts as having a call without an answer after `play`.
fn lacks_call_answer(play: impl FnOnce(&Parent)) -> bool {
    let parents = Parents::new(Incarnation(1));
    let cx: Context = sample();
    let level = Arc::new(Mutex::new(Level::OPEN));
    let guard = parents.open(cx, PlanKey(0), None, Instant::now(), level);
    play(guard.parent());
    guard.parent().lacks_call_answer()
}

#[test]
fn request_without_calls_has_no_failed_one() {
    assert!(!lacks_call_answer(|_| {}));
}

#[test]
fn answered_call_is_not_a_failed_one() {
    assert!(!lacks_call_answer(|parent| {
        parent.call_began();
        parent.call_succeeded();
    }));
}

/// Load pattern: a deep service is slow, and the upstream gives its call up when the call's
/// time is over. Its answer may arrive before the end of the call does. Its error must not
/// count as its own, or the request would be tried elsewhere in the middle of an overload.
#[test]
fn call_that_the_upstream_gives_up_is_a_failed_one() {
    assert!(lacks_call_answer(Parent::call_began));
}

#[test]
fn one_failed_call_of_several_counts() {
    assert!(lacks_call_answer(|parent| {
        parent.call_began();
        parent.call_began();
        parent.call_succeeded();
    }));
}
