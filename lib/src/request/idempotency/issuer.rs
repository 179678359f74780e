//! The state machine that decides whether a token's request may run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::NonZeroU32;

use super::answers::Answers;
use super::fingerprint::Fingerprint;
use super::refusal::TokenRefusal;
use super::token::Secret;
use super::token::Sequence;
use super::token::Token;
use super::window::StateWindow;
use super::window::TokenState;
use crate::process::Incarnation;
use crate::request::Outcome;

/// Sequences in one block of states, which takes 1 KiB.
const BLOCK_LEN: NonZeroU32 = NonZeroU32::new(4096).unwrap();

/// Blocks of states, which cover about a million sequences.
const BLOCKS_MAX: NonZeroU32 = NonZeroU32::new(256).unwrap();

/// Requests running under tokens at once.
const RUNNING_MAX: usize = 16 * 1024;

/// Bytes of kept answers.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Bounds of an [`Issuer`]'s memory.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct IssuerConfig {
    /// Sequences in one block of states, four to a byte.
    pub block_len: NonZeroU32,
    /// Blocks of states held at most.
    pub blocks_max: NonZeroU32,
    /// Requests that may be running under tokens at once.
    pub running_max: usize,
    /// Bytes of kept answers, as the daemon counts them.
    pub answer_bytes_max: usize,
    /// Sequence of the first token.
    pub first_sequence: Sequence,
}

impl Default for IssuerConfig {
    fn default() -> Self {
        Self {
            block_len: BLOCK_LEN,
            blocks_max: BLOCKS_MAX,
            running_max: RUNNING_MAX,
            answer_bytes_max: ANSWER_BYTES_MAX,
            first_sequence: Sequence(0),
        }
    }
}

/// What the daemon does with a tokened request.
#[derive(Debug, Eq, PartialEq)]
pub enum Begin<'a, A> {
    /// First use, already marked: send the request on, once, and report its
    /// end by [`Issuer::finish`].
    Run(Sequence),
    /// The request is running: wait for its end and pass on the same answer.
    Attach(Sequence),
    /// The request ran and this was its answer.
    Kept(&'a A),
    /// Another daemon issued the token: send the request there and nowhere
    /// else.
    Elsewhere(SocketAddr),
    /// The request is not run.
    Refused(TokenRefusal),
}

/// How a running request ended.
#[derive(Debug, Eq, PartialEq)]
pub enum Finished<A> {
    /// An upstream ran the request.
    Ran {
        /// The answer to keep for resends and its size in bytes, if it came
        /// whole and the daemon wants it kept.
        answer: Option<(A, usize)>,
    },
    /// No byte of the request reached an upstream, nor ever will.
    NotRun,
    /// Whether an upstream ran the request is not known.
    Unknown,
}

impl<A> Finished<A> {
    /// Returns what this end says of the request.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Ran { .. } => Outcome::Ran,
            Self::NotRun => Outcome::NotRun,
            Self::Unknown => Outcome::Unknown,
        }
    }
}

/// Issues tokens and decides which tokened requests run.
///
/// Invariants: a sequence leaves [`Begin::Run`] at most once, and is marked
/// before that result is returned; a state never goes back to unused, since
/// losing it means that its sequence is below the window for good.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Issuer<A> {
    addr: SocketAddr,
    incarnation: Incarnation,
    secret: Secret,
    running_max: usize,
    next: Sequence,
    states: StateWindow,
    running: BTreeMap<Sequence, Fingerprint>,
    answers: Answers<A>,
}

impl<A> Issuer<A> {
    /// Starts with nothing issued.
    ///
    /// `addr` is the peer address by which other daemons reach this one. The
    /// incarnation and the secret are drawn anew at each process start.
    pub fn new(
        addr: SocketAddr,
        incarnation: Incarnation,
        secret: Secret,
        cfg: &IssuerConfig,
    ) -> Self {
        Self {
            addr,
            incarnation,
            secret,
            running_max: cfg.running_max,
            next: cfg.first_sequence,
            states: StateWindow::new(cfg.block_len, cfg.blocks_max),
            running: BTreeMap::new(),
            answers: Answers::new(cfg.answer_bytes_max),
        }
    }

    /// Issues a token, which takes no memory until it is used.
    ///
    /// After 2^64 - 1 tokens the last one is issued again and again; it still
    /// runs at most once.
    pub fn issue(&mut self) -> Token {
        let token = Token::sign(&self.secret, self.addr, self.incarnation, self.next);
        self.next = Sequence(self.next.0.saturating_add(1));
        token
    }

    /// Decides on a tokened request, and states the token used if it may run.
    ///
    /// The binding to `fingerprint` is known while the request runs and while
    /// its answer is kept; afterwards the state alone answers for the token.
    pub fn begin(&mut self, token: &Token, fingerprint: Fingerprint) -> Begin<'_, A> {
        if token.issuer != self.addr {
            return Begin::Elsewhere(token.issuer);
        }
        if let Some(refusal) = self.disowned(token) {
            return Begin::Refused(refusal);
        }
        let sequence = token.sequence;
        // Running and kept requests are looked up before the window, since
        // they may outlast their states.
        if let Some(bound) = self.running.get(&sequence) {
            return match *bound == fingerprint {
                true => Begin::Attach(sequence),
                false => Begin::Refused(TokenRefusal::BoundToOther),
            };
        }
        if let Some((bound, _)) = self.answers.get(sequence)
            && bound != fingerprint
        {
            return Begin::Refused(TokenRefusal::BoundToOther);
        }
        match self.states.get(sequence) {
            Some(TokenState::Unused) => self.first_use(sequence, fingerprint),
            state => self.later_use(sequence, state),
        }
    }

    /// Records how a running request ended.
    ///
    /// A daemon that gave up waiting reports [`Finished::Unknown`] and may
    /// report the true end later; every other repeat is ignored.
    pub fn finish(&mut self, sequence: Sequence, finished: Finished<A>) {
        let fingerprint = self.running.remove(&sequence);
        let open = fingerprint.is_some() || self.states.get(sequence) == Some(TokenState::Used);
        if !open {
            return;
        }
        let state = match finished {
            Finished::Ran { answer } => {
                if let Some((fingerprint, (answer, bytes))) = fingerprint.zip(answer) {
                    self.answers.keep(sequence, fingerprint, answer, bytes);
                }
                TokenState::Ran
            }
            Finished::NotRun => TokenState::NotRun,
            Finished::Unknown => TokenState::Used,
        };
        // Below the window there is no state to set, and none is needed: the
        // token is refused there whatever became of it.
        let _ = self.states.get(sequence).is_some() && self.states.set(sequence, state);
    }

    /// Returns the number of requests running under tokens.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the bytes held by states.
    pub fn mark_bytes(&self) -> usize {
        self.states.bytes()
    }

    /// Returns the number of kept answers.
    pub fn kept(&self) -> usize {
        self.answers.len()
    }

    /// Returns the bytes held by kept answers, as the daemon counted them.
    pub fn answer_bytes(&self) -> usize {
        self.answers.bytes()
    }

    /// Tells why a token with this daemon's address is not one of its own.
    fn disowned(&self, token: &Token) -> Option<TokenRefusal> {
        if token.incarnation != self.incarnation {
            return Some(TokenRefusal::OtherIncarnation);
        }
        // A sequence that was never issued can't carry a true MAC; it is
        // refused all the same, before any memory is taken for it.
        let issued = token.sequence < self.next || self.next == Sequence(u64::MAX);
        (!issued || !token.is_signed_by(&self.secret)).then_some(TokenRefusal::Forged)
    }

    fn first_use(&mut self, sequence: Sequence, fingerprint: Fingerprint) -> Begin<'_, A> {
        if self.running.len() >= self.running_max {
            return Begin::Refused(self.void(sequence));
        }
        if !self.states.set(sequence, TokenState::Used) {
            return Begin::Refused(TokenRefusal::BelowWindow);
        }
        self.running.insert(sequence, fingerprint);
        Begin::Run(sequence)
    }

    /// Marks an unused token so that a delayed copy of its request, which is
    /// about to be answered `not-run`, never runs.
    fn void(&mut self, sequence: Sequence) -> TokenRefusal {
        match self.states.set(sequence, TokenState::NotRun) {
            true => TokenRefusal::TooManyRunning,
            false => TokenRefusal::BelowWindow,
        }
    }

    fn later_use(&self, sequence: Sequence, state: Option<TokenState>) -> Begin<'_, A> {
        if let Some((_, answer)) = self.answers.get(sequence) {
            return Begin::Kept(answer);
        }
        Begin::Refused(match state {
            None => TokenRefusal::BelowWindow,
            Some(TokenState::NotRun) => TokenRefusal::NotRun,
            Some(TokenState::Ran) => TokenRefusal::Ran,
            Some(TokenState::Unused | TokenState::Used) => TokenRefusal::Unknown,
        })
    }
}
