//! State of the model and the properties that every state must satisfy.

use super::issuers::IssuerId;
use super::issuers::TokenId;

pub(super) const DAEMONS: usize = 3;
pub(super) const REQUESTS: usize = 2;
const RESTARTS: u8 = 2;
/// Maximum number of tokens per request: the first and one fresh token.
pub(super) const TOKENS: usize = 2;
/// Maximum number of times that a home sends one token's request to an owner.
pub(super) const ATTEMPTS: usize = 2;

/// Progress of one attempt to run a request at an owner.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Stage {
    /// On the wire to the owner, or waiting in its queue.
    Sent,
    /// The owner knows that the request did not run; its `not-run` answer is
    /// on the way to the home.
    NotRun,
    /// The owner has written bytes of the request to the upstream.
    Written,
    /// As `Written`, but no daemon waits for the answer any more.
    Orphaned,
    /// The upstream ran the request, and the answer is on the way to the home.
    Ran,
    /// The attempt can't change the state any more.
    Over,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Attempt {
    pub(super) owner: u8,
    pub(super) stage: Stage,
}

/// State of a token's request at the home, apart from the issuer's state.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Phase {
    /// The home has not started the request.
    Idle,
    /// The home waits for the owner.
    Waiting,
    /// The home stopped waiting and answered `unknown`; an answer of the owner
    /// may still arrive.
    GaveUp,
    /// The request has ended, or the home has restarted.
    Over,
}

/// A token and the history of the request under it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct TokenState {
    pub(super) id: TokenId,
    pub(super) home: u8,
    pub(super) phase: Phase,
    pub(super) attempts: [Option<Attempt>; ATTEMPTS],
    pub(super) runs: u8,
    pub(super) answered_not_run: bool,
    pub(super) answered_ran: bool,
}

/// A caller's request, which may use several tokens in turn.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Request {
    tokens: [Option<TokenState>; TOKENS],
    /// Tokens that the caller has sent.
    pub(super) sent: u8,
    ran_after_answer: bool,
}

impl Request {
    pub(super) fn tokens(&self) -> impl Iterator<Item = &TokenState> {
        self.tokens.iter().flatten()
    }

    pub(super) fn token(&self, index: usize) -> Option<&TokenState> {
        self.tokens.get(index)?.as_ref()
    }

    pub(super) fn token_mut(&mut self, index: usize) -> &mut TokenState {
        self.tokens[index].as_mut().expect("the token was issued")
    }

    pub(super) fn has_free_slot(&self) -> bool {
        self.tokens[TOKENS - 1].is_none()
    }

    pub(super) fn push(&mut self, id: TokenId, home: u8) {
        let tok = TokenState {
            id,
            home,
            phase: Phase::Idle,
            attempts: [None; ATTEMPTS],
            runs: 0,
            answered_not_run: false,
            answered_ran: false,
        };
        let free = self.tokens.iter_mut().find(|slot| slot.is_none());
        *free.expect("the caller checked for a free slot") = Some(tok);
    }

    pub(super) fn runs(&self) -> u8 {
        self.tokens().map(|tok| tok.runs).sum()
    }

    /// Records that the upstream ran the request under the token at `index`.
    pub(super) fn run(&mut self, index: usize) {
        let answered = self.tokens().any(|tok| tok.answered_ran);
        self.ran_after_answer |= answered;
        let tok = self.token_mut(index);
        tok.runs = tok.runs.saturating_add(1).min(2);
    }
}

/// A violated property.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Violation {
    /// A request ran twice.
    RanTwice,
    /// A request ran under a token that was answered `not-run`.
    NotRunRan,
    /// A request ran again after it was answered.
    RanAfterAnswer,
    /// A request did not run under a token that was answered `ran`.
    RanDidNot,
}

impl Violation {
    pub(super) const ALL: [Self; 4] =
        [Self::RanTwice, Self::NotRunRan, Self::RanAfterAnswer, Self::RanDidNot];

    pub(super) fn occurs_in(self, state: &State) -> bool {
        state.requests.iter().any(|req| match self {
            Self::RanTwice => req.runs() > 1,
            Self::NotRunRan => req.tokens().any(|tok| tok.answered_not_run && tok.runs > 0),
            Self::RanAfterAnswer => req.ran_after_answer,
            Self::RanDidNot => req.tokens().any(|tok| tok.answered_ran && tok.runs == 0),
        })
    }
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct State {
    pub(super) issuers: [IssuerId; DAEMONS],
    /// Number of restarts of each daemon so far.
    pub(super) restarts: [u8; DAEMONS],
    pub(super) restarts_left: u8,
    pub(super) requests: [Request; REQUESTS],
}

impl State {
    pub(super) fn new(issuers: [IssuerId; DAEMONS]) -> Self {
        Self {
            issuers,
            restarts: [0; DAEMONS],
            restarts_left: RESTARTS,
            requests: Default::default(),
        }
    }
}
