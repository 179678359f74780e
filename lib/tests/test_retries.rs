use endivescale::request::retries::Attempt;
use endivescale::request::retries::Call;
use endivescale::request::retries::CallLedger;
use endivescale::request::retries::RetryAccount;
use http::Method;

macro_rules! cases {
    ($($name:ident => $run:expr;)*) => {
        $(#[test]
        fn $name() {
            $run;
        })*
    };
}

fn returned(held: u32, unused: Option<u32>, left: u32) {
    let mut account = RetryAccount::mint(held);
    let grant = account.split_for_child();
    account.reclaim(grant, unused);
    assert_eq!(account.left(), left);
}

fn lost_context_has_no_retries() {
    assert!(!RetryAccount::receive(None).spend());
}

fn call<'a>(path: &'a str, key: Option<&'a [u8]>) -> Call<'a> {
    Call { service: "listings", method: &Method::GET, path, key }
}

fn repeats_draw_on_the_account() {
    let mut account = RetryAccount::receive(Some(1));
    let mut ledger = CallLedger::default();
    assert_eq!(ledger.record(&call("/a", None), &mut account), Attempt::First);
    assert_eq!(ledger.record(&call("/b", None), &mut account), Attempt::First);
    assert_eq!(ledger.record(&call("/a", Some(b"2")), &mut account), Attempt::First);
    assert_eq!(ledger.record(&call("/a", None), &mut account), Attempt::Retry);
    assert_eq!(ledger.record(&call("/b", None), &mut account), Attempt::Exhausted);
}

fn different_calls_are_bounded() {
    let mut account = RetryAccount::mint(0);
    let mut ledger = CallLedger::default();
    let verdicts: Vec<_> =
        (0..5000).map(|n| ledger.record(&call(&format!("/{n}"), None), &mut account)).collect();
    assert_eq!(verdicts[4095], Attempt::First);
    assert_eq!(verdicts[4096], Attempt::TooManyCalls);
}

cases! {
    unused_tokens_return => returned(3, Some(2), 3);
    spent_tokens_are_gone => returned(3, Some(0), 1);
    lost_answer_loses_tokens => returned(3, None, 1);
    no_more_returns_than_was_lent => returned(3, Some(99), 3);
    lost_context => lost_context_has_no_retries();
    upstream_repeats => repeats_draw_on_the_account();
    too_many_calls => different_calls_are_bounded();
}
