//! Tests of how late a daemon may learn that an instance has left.

use std::time::Duration;

use endivescale::process::catalog::LeaveTimes;
use endivescale::process::catalog::Watermark;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

macro_rules! earliest_time {
    ($($name:ident: known until $at:literal, asked at $asked:literal, answered at $answered:literal => $since:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut watermark = Watermark::at(ms($at));
            assert_eq!(watermark.record_watch(ms($asked), ms($answered)), ms($since));
            assert_eq!(watermark.time(), ms($answered));
        }
    )*};
}

earliest_time! {
    call_that_waited_tells_at_once: known until 5_000, asked at 5_000, answered at 7_500 => 7_500;
    changes_gather_while_no_call_waits: known until 5_000, asked at 5_300, answered at 5_304 => 5_004;
    // Sent into a silence at 5 s and given up 4.5 s later.
    call_that_was_lost_tells_nothing: known until 5_000, asked at 9_600, answered at 9_604 => 5_004;
    first_answer_says_nothing_of_the_time: known until 0, asked at 9_000, answered at 9_004 => 4;
}

#[test]
fn discarded_changes_are_as_old_as_the_call_that_waited_for_them() {
    let mut watermark = Watermark::at(ms(5_000));
    watermark.record_discarded(ms(5_100), ms(7_000));
    assert_eq!(watermark.record_read(ms(7_001)), ms(6_900));
    assert_eq!(watermark.time(), ms(7_001));
}

#[test]
fn changes_that_were_discarded_in_an_outage_are_older_than_it() {
    let mut watermark = Watermark::at(ms(5_000));
    watermark.record_discarded(ms(9_600), ms(9_604));
    assert_eq!(watermark.record_read(ms(9_605)), ms(5_004));
}

#[test]
fn instance_that_is_live_again_has_not_left() {
    let mut times = LeaveTimes::default();
    times.record(&"board-1".into(), ms(5_000));
    assert_eq!(times.since(&"board-1".into()), Some(ms(5_000)));
    times.forget(&"board-1".into());
    assert_eq!(times.since(&"board-1".into()), None);
}

#[test]
fn only_the_last_instances_of_an_address_are_remembered() {
    let mut times = LeaveTimes::default();
    for n in 0..100 {
        times.record(&format!("board-{n}").as_str().into(), ms(n));
    }
    assert_eq!(times.since(&"board-0".into()), None);
    assert_eq!(times.since(&"board-99".into()), Some(ms(99)));
}
