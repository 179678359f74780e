//! Exhaustive search of the core protocol; specified in `docs/spec/once.md`.

mod attempt;
mod fault;
mod issuers;
mod search;
mod state;
mod step;

use fault::Fault;
use issuers::Capacity;
use search::Search;
use state::Phase;
use state::TokenState;
use state::Violation;

macro_rules! holds {
    ($($name:ident: $capacity:ident;)*) => {
        $(#[test]
        fn $name() {
            search::assert_holds(Capacity::$capacity);
        })*
    };
}

macro_rules! broken {
    ($($name:ident: $fault:ident in $capacity:ident breaks $violation:ident;)*) => {
        $(#[test]
        fn $name() {
            search::assert_broken(Fault::$fault, Capacity::$capacity, Violation::$violation);
        })*
    };
}

holds! {
    holds_once_model_with_room: Ample;
    holds_once_model_window_overrun: OneMark;
    holds_once_model_one_running: OneRunning;
}

broken! {
    holds_once_fails_mark_after_send: MarkAfterSend in Ample breaks RanTwice;
    holds_once_fails_incarnation_ignored: IgnoreIncarnation in Ample breaks RanTwice;
    holds_once_fails_floor_forgotten: ForgetFloor in OneMark breaks RanTwice;
    holds_once_fails_unknown_retried: RetryUnknown in Ample breaks RanTwice;
    holds_once_fails_work_repeated: RepeatWork in Ample breaks RanTwice;
    holds_once_fails_token_dropped_by_caller: DropToken in Ample breaks RanTwice;
    holds_once_fails_resend_after_answer: IgnoreIncarnation in Ample breaks RanAfterAnswer;
    holds_not_run_fails_token_freed: FreeNotRun in Ample breaks NotRunRan;
    holds_not_run_fails_entry_guesses: EntryClaimsNotRun in Ample breaks NotRunRan;
    holds_not_run_fails_timeout_guessed: TimeoutIsNotRun in Ample breaks NotRunRan;
    holds_not_run_fails_write_half_way: NotRunAfterWrite in Ample breaks NotRunRan;
    holds_not_run_fails_no_room_not_voided: NoRoomNotVoided in OneRunning breaks NotRunRan;
}

/// Guards against a model that satisfies every property only because it takes
/// too few steps: each of these states must be reachable.
#[test]
fn holds_once_model_reaches_what_it_is_about() {
    let mut search = Search::new(Capacity::Ample, None);
    search.assert_reaches("both requests ran and were answered", |state| {
        state.requests.iter().all(|req| req.runs() == 1 && req.tokens().any(|t| t.answered_ran))
    });
    search.assert_reaches(
        "a request ran under a fresh token after not-run and two restarts",
        |state| {
            let [req, _] = &state.requests;
            let not_run = req.tokens().next().is_some_and(|t| t.answered_not_run);
            not_run && req.runs() == 1 && state.restarts_left == 0
        },
    );
    search.assert_reaches("a request ran, but a restart lost its answer", |state| {
        let lost = |t: &TokenState| t.runs == 1 && t.phase == Phase::Over && !t.answered_ran;
        state.restarts_left < 2 && state.requests[0].tokens().any(lost)
    });
}
