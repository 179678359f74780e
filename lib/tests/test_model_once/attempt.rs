//! Steps of a request between its home, an owner and the upstream.

use endivescale::request::Outcome;
use endivescale::request::idempotency::Finished;

use super::fault::Fault;
use super::state::Attempt;
use super::state::Phase;
use super::state::Stage;
use super::state::State;
use super::step::Action;
use super::step::Stepper;
use super::step::Steps;

impl Stepper {
    pub(super) fn attempt_steps(
        &mut self,
        state: &State,
        req: usize,
        tok: usize,
        attempt: usize,
        current: Attempt,
        steps: &mut Steps,
    ) {
        let mut step = |action, stage| {
            let mut next = *state;
            set_stage(&mut next, req, tok, attempt, stage);
            steps.push((action, next));
        };
        match current.stage {
            Stage::Sent => {
                step(Action::OwnerRefuses { req, tok, attempt }, Stage::NotRun);
                step(Action::OwnerWrites { req, tok, attempt }, Stage::Written);
            }
            Stage::Written | Stage::Orphaned => {
                if self.fault == Some(Fault::NotRunAfterWrite) && current.stage == Stage::Written {
                    step(Action::OwnerRefuses { req, tok, attempt }, Stage::NotRun);
                    // The upstream has received the bytes and may still run the request.
                    let (_, next) = steps.last_mut().expect("just pushed");
                    let token = next.requests[req].token_mut(tok);
                    if let Some(slot) = token.attempts.iter_mut().find(|slot| slot.is_none()) {
                        *slot = Some(Attempt { owner: current.owner, stage: Stage::Orphaned });
                    }
                }
                self.upstream_runs(state, req, tok, attempt, current, steps);
            }
            Stage::NotRun | Stage::Ran => {
                self.home_receives(state, req, tok, attempt, current, steps);
            }
            Stage::Over => {}
        }
    }

    fn upstream_runs(
        &self,
        state: &State,
        req: usize,
        tok: usize,
        attempt: usize,
        current: Attempt,
        steps: &mut Steps,
    ) {
        let mut next = *state;
        next.requests[req].run(tok);
        let answer_expected = current.stage == Stage::Written;
        let stage = if answer_expected { Stage::Ran } else { Stage::Over };
        set_stage(&mut next, req, tok, attempt, stage);
        steps.push((Action::UpstreamRuns { req, tok, attempt }, next));
    }

    fn home_receives(
        &mut self,
        state: &State,
        req: usize,
        tok: usize,
        attempt: usize,
        current: Attempt,
        steps: &mut Steps,
    ) {
        let token = *state.requests[req].token(tok).expect("checked by the caller");
        let waiting = token.phase == Phase::Waiting;
        let mut next = *state;
        set_stage(&mut next, req, tok, attempt, Stage::Over);
        if current.stage == Stage::NotRun && waiting {
            self.send(&next, req, tok, steps, |owner| Action::HomeRetries { req, tok, owner });
        }
        let (outcome, finished) = match current.stage {
            Stage::NotRun => (Outcome::NotRun, Finished::NotRun),
            _ => (Outcome::Ran, Finished::Ran { answer: Some((req as u8, 1)) }),
        };
        self.finish(&mut next, req, tok, finished);
        next.requests[req].token_mut(tok).phase = Phase::Over;
        if waiting {
            self.answer(&mut next, req, tok, outcome);
        }
        disconnect(&mut next, req, tok);
        steps.push((Action::HomeReceives { req, tok, attempt }, next));
    }

    fn finish(&mut self, state: &mut State, req: usize, tok: usize, finished: Finished<u8>) {
        let token = *state.requests[req].token(tok).expect("checked by the caller");
        if self.fault == Some(Fault::MarkAfterSend) {
            let begun = self.issuers.begin(&state.issuers, token.home, token.id, req as u8);
            state.issuers[usize::from(token.home)] = begun.0;
        }
        let issuer = &mut state.issuers[usize::from(token.home)];
        *issuer = self.issuers.finish(*issuer, token.id, finished);
    }

    pub(super) fn give_up(&mut self, state: &State, req: usize, tok: usize, steps: &mut Steps) {
        let mut next = *state;
        if self.fault == Some(Fault::RetryUnknown) {
            self.send(&next, req, tok, steps, |owner| Action::HomeRetries { req, tok, owner });
        }
        if self.fault == Some(Fault::TimeoutIsNotRun) {
            self.finish(&mut next, req, tok, Finished::NotRun);
            self.answer(&mut next, req, tok, Outcome::NotRun);
        } else {
            self.finish(&mut next, req, tok, Finished::Unknown);
            self.answer(&mut next, req, tok, Outcome::Unknown);
        }
        next.requests[req].token_mut(tok).phase = Phase::GaveUp;
        steps.push((Action::HomeGivesUp { req, tok }, next));
    }
}

fn set_stage(state: &mut State, req: usize, tok: usize, attempt: usize, stage: Stage) {
    let token = state.requests[req].token_mut(tok);
    let waiting = matches!(token.phase, Phase::Waiting | Phase::GaveUp);
    let slot = token.attempts[attempt].as_mut().expect("the attempt was made");
    *slot =
        Attempt { owner: slot.owner, stage: if waiting { stage } else { after_disconnect(stage) } };
    reset_irrelevant_owner(slot);
}

/// Returns the stage that follows once the home no longer waits for the owner.
fn after_disconnect(stage: Stage) -> Stage {
    match stage {
        Stage::Sent => Stage::Sent,
        Stage::Written | Stage::Orphaned => Stage::Orphaned,
        Stage::NotRun | Stage::Ran | Stage::Over => Stage::Over,
    }
}

/// Resets the owner once its restart can't change the attempt any more, so that
/// equivalent states compare equal.
pub(super) fn reset_irrelevant_owner(attempt: &mut Attempt) {
    if matches!(attempt.stage, Stage::Orphaned | Stage::Over | Stage::NotRun) {
        attempt.owner = 0;
    }
}

pub(super) fn disconnect(state: &mut State, req: usize, tok: usize) {
    for attempt in state.requests[req].token_mut(tok).attempts.iter_mut().flatten() {
        attempt.stage = after_disconnect(attempt.stage);
        reset_irrelevant_owner(attempt);
    }
}
