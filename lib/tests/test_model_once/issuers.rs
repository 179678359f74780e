//! Issuers of the library under test, with each distinct issuer state stored once.

use std::net::SocketAddr;
use std::num::NonZeroU32;

use endivescale::process::Incarnation;
use endivescale::request::idempotency::Begin;
use endivescale::request::idempotency::Fingerprint;
use endivescale::request::idempotency::FingerprintInput;
use endivescale::request::idempotency::Finished;
use endivescale::request::idempotency::Issuer;
use endivescale::request::idempotency::IssuerConfig;
use endivescale::request::idempotency::Secret;
use endivescale::request::idempotency::Sequence;
use endivescale::request::idempotency::Token;
use endivescale::request::idempotency::TokenRefusal;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::state::DAEMONS;

/// Limits on the requests and answers that an issuer keeps.
#[derive(Clone, Copy, Debug)]
pub(super) enum Capacity {
    /// More than the model ever uses.
    Ample,
    /// The used mark of one token and no answer: every second use exceeds the
    /// window.
    OneMark,
    /// One running request and one kept answer.
    OneRunning,
}

impl Capacity {
    fn config(self) -> IssuerConfig {
        let ample = IssuerConfig::default();
        match self {
            Self::Ample => ample,
            Self::OneMark => IssuerConfig {
                block_len: NonZeroU32::MIN,
                blocks_max: NonZeroU32::MIN,
                answer_bytes_max: 0,
                ..ample
            },
            Self::OneRunning => IssuerConfig { running_max: 1, answer_bytes_max: 1, ..ample },
        }
    }
}

/// Index of a stored issuer state.
pub(super) type IssuerId = u16;
/// Index of a stored token.
pub(super) type TokenId = u16;

/// Decision of a home about a request: [`Begin`] without its borrow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    Run,
    Attach,
    Kept,
    Refused(TokenRefusal),
}

pub(super) struct Issuers {
    cfg: IssuerConfig,
    issuers: IndexSet<Issuer<u8>>,
    tokens: IndexSet<Token>,
    begun: IndexMap<(IssuerId, TokenId, u8), (IssuerId, Verdict)>,
}

impl Issuers {
    pub(super) fn new(capacity: Capacity) -> Self {
        Self {
            cfg: capacity.config(),
            issuers: IndexSet::new(),
            tokens: IndexSet::new(),
            begun: IndexMap::new(),
        }
    }

    /// Creates the issuer of a daemon that has restarted `run` times.
    pub(super) fn start(&mut self, daemon: u8, run: u8) -> IssuerId {
        let secret = Secret([daemon * 16 + run; 32]);
        let incarnation = Incarnation(u64::from(daemon * 16 + run));
        self.store(Issuer::new(addr(daemon), incarnation, secret, &self.cfg))
    }

    pub(super) fn issue(&mut self, id: IssuerId) -> (IssuerId, TokenId) {
        let mut issuer = self.issuers[usize::from(id)].clone();
        let token = issuer.issue();
        let (token, _) = self.tokens.insert_full(token);
        (self.store(issuer), token.try_into().unwrap())
    }

    /// Begins a request at its home, and asserts that every other daemon would
    /// forward the request there without changing its own issuer.
    pub(super) fn begin(
        &mut self,
        ids: &[IssuerId; DAEMONS],
        home: u8,
        token: TokenId,
        request: u8,
    ) -> (IssuerId, Verdict) {
        let id = ids[usize::from(home)];
        if let Some(begun) = self.begun.get(&(id, token, request)) {
            return *begun;
        }
        for entry in (0..DAEMONS as u8).filter(|entry| *entry != home) {
            self.assert_forwards(ids[usize::from(entry)], home, token, request);
        }
        let mut issuer = self.issuers[usize::from(id)].clone();
        let verdict = match issuer.begin(&self.tokens[usize::from(token)], fingerprint(request)) {
            Begin::Run(_) => Verdict::Run,
            Begin::Attach(_) => Verdict::Attach,
            Begin::Kept(answer) => {
                assert_eq!(*answer, request, "the kept answer belongs to another request");
                Verdict::Kept
            }
            Begin::Refused(refusal) => Verdict::Refused(refusal),
            Begin::OtherIssuer(addr) => panic!("the home forwards a token of its own to {addr}"),
        };
        let begun = (self.store(issuer), verdict);
        self.begun.insert((id, token, request), begun);
        begun
    }

    pub(super) fn finish(
        &mut self,
        id: IssuerId,
        token: TokenId,
        finished: Finished<u8>,
    ) -> IssuerId {
        let mut issuer = self.issuers[usize::from(id)].clone();
        issuer.finish(self.sequence(token), finished);
        self.store(issuer)
    }

    fn sequence(&self, token: TokenId) -> Sequence {
        self.tokens[usize::from(token)].sequence
    }

    fn assert_forwards(&self, id: IssuerId, home: u8, token: TokenId, request: u8) {
        let before = &self.issuers[usize::from(id)];
        let mut entry = before.clone();
        let begin = entry.begin(&self.tokens[usize::from(token)], fingerprint(request));
        assert_eq!(begin, Begin::OtherIssuer(addr(home)));
        assert_eq!(entry, *before);
    }

    fn store(&mut self, issuer: Issuer<u8>) -> IssuerId {
        let (id, _) = self.issuers.insert_full(issuer);
        id.try_into().unwrap()
    }

    pub(super) fn len(&self) -> usize {
        self.issuers.len()
    }
}

fn addr(daemon: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + u16::from(daemon)))
}

fn fingerprint(request: u8) -> Fingerprint {
    Fingerprint::new(&FingerprintInput {
        service: "submission",
        method: &http::Method::POST,
        path: "/expressions",
        key: None,
        body: Some(&[request]),
    })
}
