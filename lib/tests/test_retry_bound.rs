//! The bound on retries over whole call trees, specified in
//! `docs/design/retries.md`.

use endivescale::request::retries::Attempt;
use endivescale::request::retries::Call;
use endivescale::request::retries::CallLedger;
use endivescale::request::retries::Grant;
use endivescale::request::retries::RetryAccount;
use http::Method;
use indexmap::IndexMap;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Calls between the root and the deepest service.
const DEPTH: usize = 21;
/// Calls of each service on the longest chain.
const FAN_OUT: u8 = 3;
/// Levels of calls below each branch off the longest chain.
const BRANCH_DEPTH: usize = 2;
/// Times that an upstream repeats a failed call by itself.
const HARD_RETRIES: u32 = 5;
const RULE_MAX: u32 = 8;
const TRACES: u64 = 300;
const EVENTS: usize = 3000;
const SEED: u64 = 21;
/// Executions after which a broken variant is stopped.
const EXECUTIONS_MAX: u32 = 100_000;

/// Ways to break the account, each of which the property must find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// A daemon that lost the context's tokens takes the rule's number.
    MintOnLostHeader,
    /// A daemon lends what it keeps.
    CopyToChild,
    /// A daemon lets its upstream say how many tokens are left.
    BelieveAnswer,
    /// A lost answer hands everything back.
    RefundLostAnswer,
    /// The upstream's own repeats aren't counted.
    FreeRepeats,
}

/// What goes wrong, in the order in which it is asked for; nothing after that.
#[derive(Clone, Debug)]
struct Trace {
    rule: u32,
    events: Vec<u8>,
}

impl Arbitrary for Trace {
    fn arbitrary(g: &mut Gen) -> Self {
        let rule = u32::arbitrary(g) % (RULE_MAX + 1);
        let events = (0..EVENTS).map(|_| u8::arbitrary(g)).collect();
        Self { rule, events }
    }
}

/// What happens to one call on its way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Event {
    Fine,
    HeaderLost,
    AnswerLost,
    Failed,
    /// The upstream sets the header by which daemons hand tokens back, which
    /// its daemon strips.
    AnswerForged,
}

struct Tree<'a> {
    trace: &'a Trace,
    fault: Option<Fault>,
    next: usize,
    retries: u32,
    executions: IndexMap<Vec<u8>, u32>,
    total: u32,
}

impl<'a> Tree<'a> {
    fn new(trace: &'a Trace, fault: Option<Fault>) -> Self {
        Self { trace, fault, next: 0, retries: 0, executions: IndexMap::new(), total: 0 }
    }

    fn event(&mut self) -> Event {
        let byte = self.trace.events.get(self.next).copied().unwrap_or(0);
        self.next += 1;
        match byte % 16 {
            1 => Event::HeaderLost,
            2 | 3 => Event::AnswerLost,
            4 | 5 => Event::Failed,
            6 => Event::AnswerForged,
            _ => Event::Fine,
        }
    }

    /// One daemon sends a call until it is answered or the tokens are spent.
    fn send(&mut self, account: &mut RetryAccount, path: &[u8]) -> bool {
        loop {
            let event = self.event();
            let (grant, copied) = self.lend(account);
            let sent = (event != Event::HeaderLost).then(|| copied.unwrap_or(grant.tokens()));
            let (answered, unused) = self.execute(sent, path);
            self.settle(account, grant, event, unused);
            if answered && !matches!(event, Event::AnswerLost | Event::Failed) {
                return true;
            }
            if self.total >= EXECUTIONS_MAX || !account.spend() {
                return false;
            }
            self.retries += 1;
        }
    }

    fn lend(&self, account: &mut RetryAccount) -> (Grant, Option<u32>) {
        match self.fault {
            Some(Fault::CopyToChild) => {
                let copied = account.left();
                (RetryAccount::mint(0).split_for_child(), Some(copied))
            }
            _ => (account.split_for_child(), None),
        }
    }

    fn settle(&self, account: &mut RetryAccount, grant: Grant, event: Event, unused: u32) {
        let lent = grant.tokens();
        match (event, self.fault) {
            (Event::AnswerLost, Some(Fault::RefundLostAnswer)) => {
                account.reclaim(grant, Some(lent));
            }
            (Event::AnswerLost, _) => account.reclaim(grant, None),
            (Event::AnswerForged, Some(Fault::BelieveAnswer)) => {
                *account = RetryAccount::mint(account.left() + lent + RULE_MAX);
            }
            _ => account.reclaim(grant, Some(unused)),
        }
    }

    /// One upstream works and makes its own calls, which it repeats hard.
    fn execute(&mut self, tokens: Option<u32>, path: &[u8]) -> (bool, u32) {
        self.total += 1;
        *self.executions.entry(path.to_vec()).or_default() += 1;
        let mut account = match (tokens, self.fault) {
            (None, Some(Fault::MintOnLostHeader)) => RetryAccount::mint(self.trace.rule),
            (tokens, _) => RetryAccount::receive(tokens),
        };
        let mut ledger = CallLedger::default();
        let mut answered = true;
        for child in children(path) {
            answered &= self.call(&mut account, &mut ledger, &child);
        }
        (answered, account.left())
    }

    fn call(&mut self, account: &mut RetryAccount, ledger: &mut CallLedger, child: &[u8]) -> bool {
        let text = format!("{child:?}");
        let call = Call { service: "matching", method: &Method::GET, path: &text, key: None };
        for _ in 0..=HARD_RETRIES {
            match ledger.record(&call, account) {
                Attempt::First => {}
                Attempt::Retry => self.retries += 1,
                Attempt::Exhausted if self.fault == Some(Fault::FreeRepeats) => self.retries += 1,
                Attempt::Exhausted | Attempt::TooManyCalls => return false,
            }
            if self.total >= EXECUTIONS_MAX {
                return false;
            }
            if self.send(account, child) {
                return true;
            }
        }
        false
    }
}

/// A chain to the full depth, with small branches off every service on it.
fn children(path: &[u8]) -> Vec<Vec<u8>> {
    let on_chain = path.iter().all(|step| *step == 0);
    let branch_depth = path.iter().skip_while(|step| **step == 0).count();
    let calls = match on_chain {
        true => FAN_OUT,
        false if branch_depth < BRANCH_DEPTH => FAN_OUT - 1,
        false => 0,
    };
    let calls = if path.len() < DEPTH { calls } else { 0 };
    (0..calls).map(|step| [path, &[step]].concat()).collect()
}

/// Each retry makes at most one more execution of any call, so the bound on
/// retries bounds the executions of each.
fn within_bound(trace: &Trace, fault: Option<Fault>) -> bool {
    let mut tree = Tree::new(trace, fault);
    tree.send(&mut RetryAccount::mint(trace.rule), &[]);
    let most = tree.executions.values().max().copied().unwrap_or(0);
    tree.retries <= trace.rule && most <= 1 + trace.rule
}

fn checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(EVENTS, SEED)).tests(TRACES)
}

#[test]
fn holds_retries_over_random_call_trees() {
    fn property(trace: Trace) -> bool {
        within_bound(&trace, None)
    }
    checker().quickcheck(property as fn(Trace) -> bool);
}

/// The bound is met, so the property isn't empty.
#[test]
fn holds_retries_bound_is_reached() {
    let trace = Trace { rule: RULE_MAX, events: vec![4; EVENTS] };
    let mut tree = Tree::new(&trace, None);
    tree.send(&mut RetryAccount::mint(trace.rule), &[]);
    assert_eq!(tree.retries, RULE_MAX);
    assert!(tree.executions.keys().any(|path| path.len() == DEPTH));
}

macro_rules! broken {
    ($($name:ident: $fault:ident;)*) => {
        $(#[test]
        fn $name() {
            fn property(trace: Trace) -> bool {
                within_bound(&trace, Some(Fault::$fault))
            }
            let found = checker().quicktest(property as fn(Trace) -> bool);
            assert!(found.is_err(), "{:?} keeps the bound", Fault::$fault);
        })*
    };
}

broken! {
    holds_retries_fails_minted_on_lost_header: MintOnLostHeader;
    holds_retries_fails_copied_to_child: CopyToChild;
    holds_retries_fails_answer_believed: BelieveAnswer;
    holds_retries_fails_lost_answer_refunded: RefundLostAnswer;
    holds_retries_fails_repeats_not_counted: FreeRepeats;
}
