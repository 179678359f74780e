//! Computes all steps that are possible in a state.

use endivescale::request::Outcome;
use endivescale::request::idempotency::TokenRefusal;

use super::attempt::disconnect;
use super::attempt::reset_irrelevant_owner;
use super::fault::Fault;
use super::issuers::Issuers;
use super::issuers::Verdict;
use super::state::Attempt;
use super::state::DAEMONS;
use super::state::Phase;
use super::state::REQUESTS;
use super::state::Stage;
use super::state::State;
use super::state::TOKENS;
use super::state::TokenState;

/// One atomic step. `req`, `tok` and `attempt` are indices into the state;
/// `owner`, `daemon` and `entry` are daemon numbers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[allow(dead_code, reason = "the fields are printed with a path")]
pub(super) enum Action {
    /// A daemon answers a request without a token with status 428 and a token.
    AskToken { req: usize, daemon: u8 },
    /// A caller switches to the fresh token of a `not-run` answer, or drops its
    /// token and gets a new one.
    TakeFreshToken { req: usize },
    /// A copy of a request with a token arrives at its home, from any daemon.
    Deliver { req: usize, tok: usize, owner: Option<u8> },
    /// An owner refuses the request.
    OwnerRefuses { req: usize, tok: usize, attempt: usize },
    /// An owner starts to write the request to its upstream.
    OwnerWrites { req: usize, tok: usize, attempt: usize },
    /// An upstream runs the request.
    UpstreamRuns { req: usize, tok: usize, attempt: usize },
    /// The home receives an owner's answer.
    HomeReceives { req: usize, tok: usize, attempt: usize },
    /// The home sends a refused request to another owner.
    HomeRetries { req: usize, tok: usize, owner: u8 },
    /// The home stops waiting: the deadline passed or the connection closed.
    HomeGivesUp { req: usize, tok: usize },
    /// A daemon is killed and restarts with empty state.
    Restart { daemon: u8 },
    /// An entry can't reach the home and answers without knowing the outcome.
    EntryAnswers { req: usize, tok: usize, entry: u8 },
}

pub(super) struct Stepper {
    pub(super) issuers: Issuers,
    pub(super) fault: Option<Fault>,
}

pub(super) type Steps = Vec<(Action, State)>;

impl Stepper {
    pub(super) fn steps(&mut self, state: &State) -> Steps {
        let mut steps = Vec::new();
        for req in 0..REQUESTS {
            self.ask_token(state, req, &mut steps);
            self.take_fresh_token(state, req, &mut steps);
            for tok in 0..TOKENS {
                if state.requests[req].token(tok).is_some() {
                    self.token_steps(state, req, tok, &mut steps);
                }
            }
        }
        self.restart(state, &mut steps);
        steps
    }

    /// Issues the first token of a request.
    ///
    /// Daemons and requests are interchangeable at the start. Symmetry reduction:
    /// the first request to get a token is request 0 with home 0, and the home of
    /// the other request is 0 or 1.
    fn ask_token(&mut self, state: &State, req: usize, steps: &mut Steps) {
        let has_token = state.requests[req].token(0).is_some();
        let none_issued = state.requests[0].token(0).is_none();
        if has_token || none_issued && req > 0 {
            return;
        }
        for daemon in 0..=req as u8 {
            let mut next = *state;
            self.issue_token(&mut next, req, daemon);
            next.requests[req].sent = 1;
            steps.push((Action::AskToken { req, daemon }, next));
        }
    }

    fn issue_token(&mut self, state: &mut State, req: usize, daemon: u8) {
        let (issuer, id) = self.issuers.issue(state.issuers[usize::from(daemon)]);
        state.issuers[usize::from(daemon)] = issuer;
        state.requests[req].push(id, daemon);
    }

    fn take_fresh_token(&mut self, state: &State, req: usize, steps: &mut Steps) {
        let request = &state.requests[req];
        let next_tok = usize::from(request.sent);
        let not_run =
            next_tok > 0 && request.token(next_tok - 1).is_some_and(|t| t.answered_not_run);
        let mut next = *state;
        if not_run && request.token(next_tok).is_some() {
            next.requests[req].sent += 1;
        } else if self.fault == Some(Fault::DropToken) && next_tok == 1 && request.has_free_slot() {
            self.issue_token(&mut next, req, 2);
            next.requests[req].sent += 1;
        } else {
            return;
        }
        steps.push((Action::TakeFreshToken { req }, next));
    }

    fn token_steps(&mut self, state: &State, req: usize, tok: usize, steps: &mut Steps) {
        if tok < usize::from(state.requests[req].sent) {
            self.deliver(state, req, tok, steps);
            self.entry_answers(state, req, tok, steps);
        }
        let token = *state.requests[req].token(tok).expect("checked by the caller");
        for (index, attempt) in token.attempts.iter().enumerate() {
            if let Some(attempt) = attempt {
                self.attempt_steps(state, req, tok, index, *attempt, steps);
            }
        }
        if token.phase == Phase::Waiting {
            self.give_up(state, req, tok, steps);
        }
    }

    fn deliver(&mut self, state: &State, req: usize, tok: usize, steps: &mut Steps) {
        let token = *state.requests[req].token(tok).expect("checked by the caller");
        let home = usize::from(token.home);
        let (issuer, verdict) = self.issuers.begin(&state.issuers, token.home, token.id, req as u8);
        let mut next = *state;
        next.issuers[home] = issuer;
        if self.fault_forces_run(&token, verdict) {
            self.send(&next, req, tok, steps, |owner| Action::Deliver {
                req,
                tok,
                owner: Some(owner),
            });
            return;
        }
        let action = Action::Deliver { req, tok, owner: None };
        match verdict {
            Verdict::Run if self.fault == Some(Fault::MarkAfterSend) => {
                next.issuers[home] = state.issuers[home];
                self.send(&next, req, tok, steps, |owner| Action::Deliver {
                    req,
                    tok,
                    owner: Some(owner),
                });
            }
            Verdict::Run => {
                self.send(&next, req, tok, steps, |owner| Action::Deliver {
                    req,
                    tok,
                    owner: Some(owner),
                });
            }
            Verdict::Attach => {}
            Verdict::Kept => {
                next.requests[req].token_mut(tok).answered_ran = true;
                steps.push((action, next));
            }
            Verdict::Refused(refusal) => {
                if self.fault == Some(Fault::NoRoomNotVoided) {
                    next.issuers[home] = state.issuers[home];
                }
                self.answer(&mut next, req, tok, refusal.outcome());
                steps.push((action, next));
            }
        }
    }

    fn fault_forces_run(&self, token: &TokenState, verdict: Verdict) -> bool {
        match (self.fault, verdict) {
            (Some(Fault::FreeNotRun), Verdict::Refused(TokenRefusal::NotRun)) => true,
            (Some(Fault::ForgetFloor), Verdict::Refused(TokenRefusal::BelowWindow)) => true,
            (Some(Fault::IgnoreIncarnation), Verdict::Refused(TokenRefusal::OtherIncarnation)) => {
                token.phase == Phase::Over
            }
            _ => false,
        }
    }

    /// Answers the caller; a `not-run` answer carries a fresh token.
    pub(super) fn answer(&mut self, state: &mut State, req: usize, tok: usize, outcome: Outcome) {
        let token = state.requests[req].token_mut(tok);
        match outcome {
            Outcome::Ran => token.answered_ran = true,
            Outcome::Unknown => {}
            Outcome::NotRun => {
                token.answered_not_run = true;
                let home = token.home;
                if state.requests[req].token(tok + 1).is_none()
                    && state.requests[req].has_free_slot()
                {
                    self.issue_token(state, req, home);
                }
            }
        }
    }

    /// Adds one step per possible owner, in which the home sends it the request.
    pub(super) fn send(
        &self,
        state: &State,
        req: usize,
        tok: usize,
        steps: &mut Steps,
        action: impl Fn(u8) -> Action,
    ) {
        let copies = if self.fault == Some(Fault::RepeatWork) { 2 } else { 1 };
        for owner in 0..DAEMONS as u8 {
            let mut next = *state;
            let token = next.requests[req].token_mut(tok);
            let free = token.attempts.iter_mut().filter(|slot| slot.is_none());
            let mut sent = false;
            for slot in free.take(copies) {
                *slot = Some(Attempt { owner, stage: Stage::Sent });
                sent = true;
            }
            if sent {
                token.phase = Phase::Waiting;
                steps.push((action(owner), next));
            }
        }
    }

    fn entry_answers(&mut self, state: &State, req: usize, tok: usize, steps: &mut Steps) {
        // Without the fault, the entry answers `unknown`, which changes no state.
        if self.fault != Some(Fault::EntryClaimsNotRun) {
            return;
        }
        let mut next = *state;
        self.answer(&mut next, req, tok, Outcome::NotRun);
        steps.push((Action::EntryAnswers { req, tok, entry: 2 }, next));
    }

    fn restart(&mut self, state: &State, steps: &mut Steps) {
        if state.restarts_left == 0 {
            return;
        }
        for daemon in 0..DAEMONS as u8 {
            let index = usize::from(daemon);
            let mut next = *state;
            next.restarts_left -= 1;
            next.restarts[index] += 1;
            next.issuers[index] = self.issuers.start(daemon, next.restarts[index]);
            for req in 0..REQUESTS {
                for tok in 0..TOKENS {
                    clear_lost_state(&mut next, req, tok, daemon);
                }
            }
            steps.push((Action::Restart { daemon }, next));
        }
    }
}

/// Removes the state of a token that is lost when a daemon is killed.
fn clear_lost_state(state: &mut State, req: usize, tok: usize, daemon: u8) {
    let Some(token) = state.requests[req].token(tok) else { return };
    let home_lost = token.home == daemon;
    let token = state.requests[req].token_mut(tok);
    for attempt in token.attempts.iter_mut().flatten() {
        if attempt.owner != daemon {
            continue;
        }
        attempt.stage = match attempt.stage {
            Stage::Sent | Stage::Ran | Stage::Over => Stage::Over,
            Stage::Written | Stage::Orphaned => Stage::Orphaned,
            // The owner may have sent the answer before it was killed.
            Stage::NotRun => Stage::NotRun,
        };
        reset_irrelevant_owner(attempt);
    }
    if home_lost {
        token.phase = Phase::Over;
        disconnect(state, req, tok);
    }
}
