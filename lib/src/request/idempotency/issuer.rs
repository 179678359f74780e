//! State machine that decides whether the request under a token may run.

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

/// Default number of token states in one block, which takes 1 KiB.
const BLOCK_LEN: NonZeroU32 = NonZeroU32::new(4096).unwrap();

/// Default limit on blocks of token states; together they hold about a million states.
const BLOCKS_MAX: NonZeroU32 = NonZeroU32::new(256).unwrap();

/// Default limit on requests that run under tokens at the same time.
const RUNNING_MAX: usize = 16 * 1024;

/// Default limit on the total size of kept answers, in bytes.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Limits on the memory of an [`Issuer`], and its first sequence number.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct IssuerConfig {
    /// Number of token states in one block; four of them take one byte.
    pub block_len: NonZeroU32,
    /// Limit on blocks of token states.
    pub blocks_max: NonZeroU32,
    /// Limit on requests that run under tokens at the same time.
    pub running_max: usize,
    /// Limit on the total size of kept answers, in bytes as counted by the daemon.
    pub answer_bytes_max: usize,
    /// Sequence number of the first token.
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

/// What the daemon must do with a request under a token.
#[derive(Debug, Eq, PartialEq)]
pub enum Begin<'a, A> {
    /// The token is used for the first time and now recorded as used: send the
    /// request to an upstream once, and report how it ended to [`Issuer::finish`].
    Run(Sequence),
    /// The request is running already: wait until it ends and return the same
    /// answer.
    Attach(Sequence),
    /// The request ran already: return this answer, which was kept.
    Kept(&'a A),
    /// Another daemon, at this address, issued the token: send the request to
    /// that daemon and to no other.
    OtherIssuer(SocketAddr),
    /// The request must not run, for this reason.
    Refused(TokenRefusal),
}

/// How a running request ended.
#[derive(Debug, Eq, PartialEq)]
pub enum Finished<A> {
    /// An upstream ran the request.
    Ran {
        /// The answer to keep for resends, with its size in bytes; `None` if the
        /// answer is incomplete or the daemon chose not to keep it.
        answer: Option<(A, usize)>,
    },
    /// No byte of the request has reached an upstream, and none will.
    NotRun,
    /// Whether an upstream ran the request is not known.
    Unknown,
}

impl<A> Finished<A> {
    /// Returns what is known of a request that ended this way.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Ran { .. } => Outcome::Ran,
            Self::NotRun => Outcome::NotRun,
            Self::Unknown => Outcome::Unknown,
        }
    }
}

/// Issues tokens and decides which requests under tokens run.
///
/// Invariants: [`Begin::Run`] is returned at most once for a sequence number,
/// and only after its token was recorded as used. A used token never becomes
/// unused again: a state is dropped only when its sequence number falls below
/// the window, where it stays.
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
    /// Creates an issuer that has issued no tokens.
    ///
    /// `addr` is the peer address at which other daemons reach this one. The
    /// incarnation and the secret must be new ones at each process start.
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

    /// Issues a token, for which no memory is allocated until it is used.
    ///
    /// After 2^64 - 1 tokens, each further call returns the last token again, under
    /// which a request still runs at most once.
    pub fn issue(&mut self) -> Token {
        let token = Token::sign(&self.secret, self.addr, self.incarnation, self.next);
        self.next = Sequence(self.next.0.saturating_add(1));
        token
    }

    /// Decides whether a request under a token may run, and if so records the token
    /// as used.
    ///
    /// The fingerprint to which the token is bound is stored while the request runs
    /// and while its answer is kept. Afterwards the decision depends only on the
    /// state of the token.
    pub fn begin(&mut self, token: &Token, fingerprint: Fingerprint) -> Begin<'_, A> {
        if token.issuer != self.addr {
            return Begin::OtherIssuer(token.issuer);
        }
        if let Some(refusal) = self.refuse_foreign(token) {
            return Begin::Refused(refusal);
        }
        let sequence = token.sequence;
        // Running requests and kept answers are looked up before the window, since
        // a token may fall below the window while they are still held.
        if let Some(bound_fingerprint) = self.running.get(&sequence) {
            return match *bound_fingerprint == fingerprint {
                true => Begin::Attach(sequence),
                false => Begin::Refused(TokenRefusal::BoundToOther),
            };
        }
        if let Some((bound_fingerprint, _)) = self.answers.get(sequence)
            && bound_fingerprint != fingerprint
        {
            return Begin::Refused(TokenRefusal::BoundToOther);
        }
        match self.states.get(sequence) {
            Some(TokenState::Unused) => self.begin_first_use(sequence, fingerprint),
            state => self.begin_reuse(sequence, state),
        }
    }

    /// Records how a running request ended.
    ///
    /// A daemon that stopped waiting reports [`Finished::Unknown`] and may report
    /// the actual end later; any other repeated report is ignored.
    pub fn finish(&mut self, sequence: Sequence, finished: Finished<A>) {
        let fingerprint = self.running.remove(&sequence);
        let is_unfinished =
            fingerprint.is_some() || self.states.get(sequence) == Some(TokenState::Used);
        if !is_unfinished {
            return;
        }
        let state = match finished {
            Finished::Ran { answer } => {
                if let Some((fingerprint, (answer, bytes))) = fingerprint.zip(answer) {
                    self.answers.add(sequence, fingerprint, answer, bytes);
                }
                TokenState::Ran
            }
            Finished::NotRun => TokenState::NotRun,
            Finished::Unknown => TokenState::Used,
        };
        // Below the window there is no state to set, and none is needed: a token
        // there is refused however its request ended.
        let _ = self.states.get(sequence).is_some() && self.states.set(sequence, state);
    }

    /// Returns the number of requests running under tokens.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the size of all token states in bytes.
    pub fn state_bytes(&self) -> usize {
        self.states.bytes()
    }

    /// Returns the number of kept answers.
    pub fn kept(&self) -> usize {
        self.answers.len()
    }

    /// Returns the total size of kept answers in bytes, as counted by the daemon.
    pub fn answer_bytes(&self) -> usize {
        self.answers.bytes()
    }

    /// Returns the refusal of a token that names this daemon's address but that
    /// this incarnation did not issue; `None` if it did.
    fn refuse_foreign(&self, token: &Token) -> Option<TokenRefusal> {
        if token.incarnation != self.incarnation {
            return Some(TokenRefusal::OtherIncarnation);
        }
        // A sequence number that was never issued can't have a valid MAC. The extra
        // check ensures that no memory is ever allocated for one.
        let issued = token.sequence < self.next || self.next == Sequence(u64::MAX);
        (!issued || !token.is_signed_by(&self.secret)).then_some(TokenRefusal::Forged)
    }

    fn begin_first_use(&mut self, sequence: Sequence, fingerprint: Fingerprint) -> Begin<'_, A> {
        if self.running.len() >= self.running_max {
            return Begin::Refused(self.void(sequence));
        }
        if !self.states.set(sequence, TokenState::Used) {
            return Begin::Refused(TokenRefusal::BelowWindow);
        }
        self.running.insert(sequence, fingerprint);
        Begin::Run(sequence)
    }

    /// Records an unused token as void.
    ///
    /// Its request is about to be answered `not-run`, so a delayed copy of the
    /// request must not run later.
    fn void(&mut self, sequence: Sequence) -> TokenRefusal {
        match self.states.set(sequence, TokenState::NotRun) {
            true => TokenRefusal::TooManyRunning,
            false => TokenRefusal::BelowWindow,
        }
    }

    fn begin_reuse(&self, sequence: Sequence, state: Option<TokenState>) -> Begin<'_, A> {
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
