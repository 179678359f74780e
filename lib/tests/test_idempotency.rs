use std::net::SocketAddr;
use std::num::NonZeroU32;

use endivescale::process::Incarnation;
use endivescale::request::Outcome;
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
use http::Method;

const ADDR: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7003);

macro_rules! cases {
    ($($name:ident => $run:expr;)*) => {
        $(#[test]
        fn $name() {
            $run;
        })*
    };
}

fn issuer(cfg: &IssuerConfig) -> Issuer<&'static str> {
    Issuer::new(ADDR, Incarnation(1), Secret([7; 32]), cfg)
}

/// Two blocks of two sequences each.
fn tiny() -> IssuerConfig {
    let two = NonZeroU32::new(2).unwrap();
    IssuerConfig { block_len: two, blocks_max: two, ..IssuerConfig::default() }
}

fn asked(path: &str, key: Option<&[u8]>, body: Option<&[u8]>) -> Fingerprint {
    Fingerprint::new(&FingerprintInput {
        service: "submission",
        method: &Method::POST,
        path,
        key,
        body,
    })
}

fn request(path: &str) -> Fingerprint {
    asked(path, Some(b"key"), Some(b""))
}

fn run(issuer: &mut Issuer<&'static str>, token: &Token) {
    assert_eq!(issuer.begin(token, request("/a")), Begin::Run(token.sequence));
}

fn refused(issuer: &mut Issuer<&'static str>, token: &Token, refusal: TokenRefusal) {
    assert_eq!(issuer.begin(token, request("/a")), Begin::Refused(refusal));
}

fn ran(answer: &'static str, bytes: usize) -> Finished<&'static str> {
    Finished::Ran { answer: Some((answer, bytes)) }
}

fn resend_attaches_then_gets_the_kept_answer() {
    let mut issuer = issuer(&IssuerConfig::default());
    let token = issuer.issue();
    run(&mut issuer, &token);
    assert_eq!(issuer.begin(&token, request("/a")), Begin::Attach(token.sequence));
    issuer.finish(token.sequence, ran("done", 4));
    assert_eq!(issuer.begin(&token, request("/a")), Begin::Kept(&"done"));
}

fn ended(finished: Finished<&'static str>, refusal: TokenRefusal) {
    let mut issuer = issuer(&IssuerConfig::default());
    let token = issuer.issue();
    run(&mut issuer, &token);
    issuer.finish(token.sequence, finished);
    refused(&mut issuer, &token, refusal);
    assert_eq!(issuer.running(), 0);
}

fn token_is_bound_to_its_first_request() {
    let mut issuer = issuer(&IssuerConfig::default());
    let token = issuer.issue();
    run(&mut issuer, &token);
    let other = Begin::Refused(TokenRefusal::BoundToOther);
    assert_eq!(issuer.begin(&token, request("/b")), other);
    issuer.finish(token.sequence, ran("done", 4));
    assert_eq!(issuer.begin(&token, request("/b")), other);
}

fn token_of_another_daemon_goes_there() {
    let elsewhere = SocketAddr::new(ADDR.ip(), 7004);
    let mut other: Issuer<&str> =
        Issuer::new(elsewhere, Incarnation(2), Secret([8; 32]), &IssuerConfig::default());
    let token = other.issue();
    let mut issuer = issuer(&IssuerConfig::default());
    assert_eq!(issuer.begin(&token, request("/a")), Begin::OtherIssuer(elsewhere));
}

fn token_of_earlier_run_never_runs() {
    let token = issuer(&IssuerConfig::default()).issue();
    let mut restarted =
        Issuer::new(ADDR, Incarnation(2), Secret([9; 32]), &IssuerConfig::default());
    restarted.issue();
    refused(&mut restarted, &token, TokenRefusal::OtherIncarnation);
}

fn forged_mac_never_runs() {
    let mut issuer = issuer(&IssuerConfig::default());
    issuer.issue();
    let mut forger =
        Issuer::<&str>::new(ADDR, Incarnation(1), Secret([8; 32]), &IssuerConfig::default());
    refused(&mut issuer, &forger.issue(), TokenRefusal::Forged);
    assert_eq!(issuer.state_bytes(), 0);
}

fn sequence_never_issued_is_forged() {
    let mut ahead =
        issuer(&IssuerConfig { first_sequence: Sequence(u64::MAX - 1), ..IssuerConfig::default() });
    let token = ahead.issue();
    refused(&mut issuer(&IssuerConfig::default()), &token, TokenRefusal::Forged);
}

fn last_sequence_runs_once() {
    let cfg = IssuerConfig { first_sequence: Sequence(u64::MAX), ..tiny() };
    let mut issuer = issuer(&cfg);
    let token = issuer.issue();
    assert_eq!(issuer.issue(), token);
    run(&mut issuer, &token);
    issuer.finish(token.sequence, Finished::Unknown);
    refused(&mut issuer, &token, TokenRefusal::Unknown);
}

fn unused_tokens_take_no_memory_and_keep_the_window() {
    let mut issuer = issuer(&tiny());
    let first = issuer.issue();
    for _ in 0..1000 {
        issuer.issue();
    }
    assert_eq!(issuer.state_bytes(), 0);
    run(&mut issuer, &first);
}

/// Uses the first token of each of the next blocks.
fn overrun(issuer: &mut Issuer<&'static str>, blocks: usize) {
    for token in (0..2 * blocks).map(|_| issuer.issue()).skip(1).step_by(2).collect::<Vec<_>>() {
        run(issuer, &token);
        issuer.finish(token.sequence, Finished::Ran { answer: None });
    }
}

fn below_the_window_nothing_runs() {
    let mut issuer = issuer(&tiny());
    let used = issuer.issue();
    let unused = issuer.issue();
    run(&mut issuer, &used);
    issuer.finish(used.sequence, Finished::NotRun);
    overrun(&mut issuer, 2);
    refused(&mut issuer, &used, TokenRefusal::BelowWindow);
    refused(&mut issuer, &unused, TokenRefusal::BelowWindow);
}

fn lowest_block_that_finds_no_room_is_refused() {
    let mut issuer = issuer(&tiny());
    let unused = issuer.issue();
    overrun(&mut issuer, 2);
    refused(&mut issuer, &unused, TokenRefusal::BelowWindow);
    refused(&mut issuer, &unused, TokenRefusal::BelowWindow);
}

fn running_request_outlasts_its_mark() {
    let mut issuer = issuer(&tiny());
    let token = issuer.issue();
    run(&mut issuer, &token);
    overrun(&mut issuer, 3);
    assert_eq!(issuer.begin(&token, request("/a")), Begin::Attach(token.sequence));
    issuer.finish(token.sequence, ran("done", 4));
    assert_eq!(issuer.begin(&token, request("/a")), Begin::Kept(&"done"));
}

fn oldest_answer_is_dropped_first() {
    let cfg = IssuerConfig { answer_bytes_max: 10, ..IssuerConfig::default() };
    let mut issuer = issuer(&cfg);
    let tokens = [issuer.issue(), issuer.issue(), issuer.issue()];
    for (token, bytes) in tokens.iter().zip([6, 5, 11]) {
        run(&mut issuer, token);
        issuer.finish(token.sequence, ran("done", bytes));
        assert!(issuer.answer_bytes() <= 10);
    }
    refused(&mut issuer, &tokens[0], TokenRefusal::Ran);
    assert_eq!(issuer.begin(&tokens[1], request("/a")), Begin::Kept(&"done"));
    refused(&mut issuer, &tokens[2], TokenRefusal::Ran);
}

fn token_refused_for_room_is_void() {
    let cfg = IssuerConfig { running_max: 1, ..IssuerConfig::default() };
    let mut issuer = issuer(&cfg);
    let tokens = [issuer.issue(), issuer.issue()];
    run(&mut issuer, &tokens[0]);
    refused(&mut issuer, &tokens[1], TokenRefusal::TooManyRunning);
    issuer.finish(tokens[0].sequence, Finished::NotRun);
    refused(&mut issuer, &tokens[1], TokenRefusal::NotRun);
}

fn late_end(first: Finished<&'static str>, late: Finished<&'static str>, refusal: TokenRefusal) {
    let mut issuer = issuer(&IssuerConfig::default());
    let token = issuer.issue();
    run(&mut issuer, &token);
    issuer.finish(token.sequence, first);
    issuer.finish(token.sequence, late);
    refused(&mut issuer, &token, refusal);
}

fn unasked_end_changes_nothing() {
    let mut issuer = issuer(&IssuerConfig::default());
    let token = issuer.issue();
    issuer.finish(token.sequence, Finished::NotRun);
    run(&mut issuer, &token);
}

fn prints_and_parses(addr: &str) {
    let mut issuer: Issuer<()> = Issuer::new(
        addr.parse().unwrap(),
        Incarnation(0xfeed),
        Secret([1; 32]),
        &IssuerConfig::default(),
    );
    let token = issuer.issue();
    let text = token.to_string();
    assert!(http::HeaderValue::from_str(&text).is_ok());
    assert_eq!(text.parse::<Token>().unwrap(), token);
}

fn unreadable(text: &str, message: &str) {
    assert_eq!(text.parse::<Token>().unwrap_err().to_string(), message);
}

fn absent_and_empty_fields_differ() {
    assert_ne!(asked("/a", None, None), asked("/a", Some(b""), None));
    assert_ne!(asked("/a", None, None), asked("/a", None, Some(b"")));
    assert_ne!(asked("/a", Some(b"b"), None), asked("/ab", Some(b""), None));
    assert_ne!(asked("/a", Some(b"b"), None), asked("/a", None, Some(b"b")));
}

cases! {
    resend_attaches_then_gets_kept_answer => resend_attaches_then_gets_the_kept_answer();
    ran_without_kept_answer => ended(Finished::Ran { answer: None }, TokenRefusal::Ran);
    not_run_voids_the_token => ended(Finished::NotRun, TokenRefusal::NotRun);
    unknown_stays_unknown => ended(Finished::Unknown, TokenRefusal::Unknown);
    bound_at_first_use => token_is_bound_to_its_first_request();
    other_daemon => token_of_another_daemon_goes_there();
    earlier_run => token_of_earlier_run_never_runs();
    forged => forged_mac_never_runs();
    never_issued => sequence_never_issued_is_forged();
    last_sequence => last_sequence_runs_once();
    unused_cost_nothing => unused_tokens_take_no_memory_and_keep_the_window();
    below_window => below_the_window_nothing_runs();
    lowest_block => lowest_block_that_finds_no_room_is_refused();
    running_at_the_edge => running_request_outlasts_its_mark();
    kept_bytes_bounded => oldest_answer_is_dropped_first();
    no_room_voids => token_refused_for_room_is_void();
    unknown_sharpens_to_ran =>
        late_end(Finished::Unknown, Finished::Ran { answer: None }, TokenRefusal::Ran);
    unknown_sharpens_to_not_run =>
        late_end(Finished::Unknown, Finished::NotRun, TokenRefusal::NotRun);
    ran_stays_ran => late_end(Finished::Ran { answer: None }, Finished::NotRun, TokenRefusal::Ran);
    not_run_stays_not_run =>
        late_end(Finished::NotRun, Finished::Ran { answer: None }, TokenRefusal::NotRun);
    unasked_end => unasked_end_changes_nothing();
    text_v4 => prints_and_parses("127.0.0.1:7003");
    text_v6 => prints_and_parses("[2001:db8::1]:7003");
    text_empty => unreadable(
        "",
        "the idempotency token's issuer is not an address; send it back unchanged",
    );
    text_short => unreadable(
        "127.0.0.1:1_1_1",
        "the idempotency token lacks its MAC; send it back unchanged",
    );
    text_trailing => unreadable(
        "127.0.0.1:1_1_1_1_1",
        "the idempotency token has text after its MAC; send it back unchanged",
    );
    text_long => unreadable(
        &"1".repeat(161),
        "an idempotency token has at most 160 bytes, not 161",
    );
    fingerprint_fields => absent_and_empty_fields_differ();
    refusals_that_prove_nothing_say_unknown => {
        for refusal in [TokenRefusal::Forged, TokenRefusal::OtherIncarnation, TokenRefusal::BelowWindow] {
            assert_eq!(refusal.outcome(), Outcome::Unknown);
        }
    };
}
