//! Until when requests may begin to run while daemons stop; see `docs/design/stopping.md`.

use std::sync::Arc;
use std::time::Duration;

use endivescale::process::Incarnation;
use endivescale::process::burn::Role;
use endivescale::process::node::Lifecycle;
use endivescale::process::stop::RunTimes;
use endivescale::process::stop::StopTimes;
use endivescale::process::stop::StoppingSenders;
use endivescale::version::PlanKey;

use super::test_membership::ms;

const KIND: PlanKey = PlanKey(1);
const SENDER: Incarnation = Incarnation(7);
const TIMES: StopTimes = StopTimes { end: Duration::from_millis(5_600) };

macro_rules! latest_start_cases {
    ($($name:ident: $longest_run:expr => $at:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(TIMES.latest_start($longest_run), ms($at));
        }
    )*};
}

latest_start_cases! {
    unknown_run_is_taken_to_last_a_second: None => 4_300;
    short_run_is_taken_to_last_longer: Some(ms(10)) => 5_050;
    long_run_begins_that_much_earlier: Some(ms(2_000)) => 3_300;
    run_longer_than_the_stop_does_not_begin: Some(ms(9_000)) => 0;
}

#[test]
fn call_that_may_be_repeated_begins_late() {
    assert_eq!(TIMES.latest_call_start(), ms(5_050));
}

#[test]
fn longest_run_counts_for_ten_to_twenty_seconds() {
    let mut times = RunTimes::default();
    let id = times.begin(ms(1_000), KIND);
    times.end(ms(3_000), id, true);
    assert_eq!(times.longest(ms(3_000), KIND), Some(ms(2_000)));
    assert_eq!(times.longest(ms(19_000), KIND), Some(ms(2_000)));
    assert_eq!(times.longest(ms(20_000), KIND), None);
    assert_eq!(times.longest(ms(3_000), PlanKey(2)), None);
}

/// A kind whose runs have just become slow has no slow run that ended.
#[test]
fn run_in_progress_counts_for_the_longest() {
    let mut times = RunTimes::default();
    let short = times.begin(ms(0), KIND);
    times.end(ms(50), short, true);
    times.begin(ms(100), KIND);
    assert_eq!(times.longest(ms(4_100), KIND), Some(ms(4_000)));
}

#[test]
fn run_that_was_given_up_does_not_count() {
    let mut times = RunTimes::default();
    let id = times.begin(ms(0), KIND);
    times.end(ms(8_000), id, false);
    assert_eq!(times.longest(ms(8_000), KIND), None);
}

/// A notice that was delayed on its way states too late an end.
#[test]
fn earliest_end_of_a_sender_counts() {
    let mut senders = StoppingSenders::default();
    assert!(senders.record(ms(0), SENDER, ms(5_600)));
    assert!(!senders.record(ms(1_000), SENDER, ms(6_500)));
    assert_eq!(senders.times(SENDER), Some(TIMES));
    assert!(senders.record(ms(1_000), SENDER, ms(5_500)));
    assert_eq!(senders.times(SENDER), Some(StopTimes { end: ms(5_500) }));
}

#[test]
fn sender_that_has_ended_is_forgotten() {
    let mut senders = StoppingSenders::default();
    senders.record(ms(0), SENDER, ms(5_600));
    senders.record(ms(5_600), Incarnation(8), ms(9_000));
    assert_eq!(senders.times(SENDER), None);
}

/// The task that passes a request on may begin after its caller has been answered.
#[test]
fn request_that_was_refused_is_not_passed_on_later() {
    let request = Arc::new(Lifecycle::default()).begin(Role::Owner);
    let handle = request.handle().clone();
    assert!(handle.try_refuse());
    drop(request);
    assert!(!handle.try_pass_on());
}

#[test]
fn request_that_was_passed_on_is_refused_only_once_it_was_taken_back() {
    let request = Arc::new(Lifecycle::default()).begin(Role::Owner);
    assert!(request.handle().try_pass_on());
    assert!(!request.handle().try_refuse());
    request.handle().take_back();
    assert!(request.handle().try_refuse());
}
