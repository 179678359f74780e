//! Time and memory of idempotency tokens; see `docs/design/idempotency.md`.

use std::hint::black_box;
use std::net::SocketAddr;

use criterion::Criterion;
use endivescale::process::Incarnation;
use endivescale::request::idempotency::Begin;
use endivescale::request::idempotency::Fingerprint;
use endivescale::request::idempotency::FingerprintInput;
use endivescale::request::idempotency::Finished;
use endivescale::request::idempotency::Issuer;
use endivescale::request::idempotency::IssuerConfig;
use endivescale::request::idempotency::Secret;
use endivescale::request::idempotency::Token;

/// Used tokens over which memory is measured.
const USED: [u32; 3] = [250_000, 500_000, 1_000_000];
/// Bytes of a page, in which the kernel counts resident memory.
const PAGE_BYTES: usize = 4096;
/// Bytes of the body that is digested with a request.
const BODY_BYTES: usize = 1024;

fn issuer() -> Issuer<()> {
    let addr = SocketAddr::from(([127, 0, 0, 1], 7003));
    Issuer::new(addr, Incarnation(1), Secret([7; 32]), &IssuerConfig::default())
}

fn fingerprint(body: &[u8]) -> Fingerprint {
    Fingerprint::new(&FingerprintInput {
        service: "submission",
        method: &http::Method::POST,
        path: "/expressions/7",
        key: None,
        body: Some(body),
    })
}

fn use_one(issuer: &mut Issuer<()>, fingerprint: Fingerprint, answer: Option<((), usize)>) {
    let token = issuer.issue();
    assert!(matches!(issuer.begin(&token, fingerprint), Begin::Run(_)));
    issuer.finish(token.sequence, Finished::Ran { answer });
}

fn times(c: &mut Criterion) {
    let fingerprint = fingerprint(&[0; BODY_BYTES]);
    c.bench_function("token_issue", |b| {
        let mut issuer = issuer();
        b.iter(|| black_box(issuer.issue()));
    });
    c.bench_function("token_print_and_parse", |b| {
        let token = issuer().issue();
        b.iter(|| black_box(token.to_string().parse::<Token>().is_ok()));
    });
    c.bench_function("token_use_and_finish", |b| {
        let mut issuer = issuer();
        b.iter(|| use_one(&mut issuer, fingerprint, None));
    });
    c.bench_function("token_resend", |b| {
        let mut issuer = issuer();
        let token = issuer.issue();
        issuer.begin(&token, fingerprint);
        b.iter(|| black_box(matches!(issuer.begin(&token, fingerprint), Begin::Attach(_))));
    });
    c.bench_function("token_fingerprint_1_kib", |b| {
        b.iter(|| black_box(self::fingerprint(&[0; BODY_BYTES])));
    });
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Prints what a number of used tokens adds to the process's resident memory.
///
/// Returns the issuer, since memory that is freed would be used again by the
/// next measurement and not be counted.
fn memory(name: &str, used: u32, answer: Option<((), usize)>) -> Issuer<()> {
    let mut issuer = issuer();
    let fingerprint = fingerprint(&[]);
    let before = resident_bytes();
    for _ in 0..used {
        use_one(&mut issuer, fingerprint, answer);
    }
    let added = resident_bytes().saturating_sub(before);
    let marks = issuer.state_bytes();
    let each = added as f64 / f64::from(used);
    println!("{name} used={used} resident_bytes={added} per_token={each:.3} mark_bytes={marks}");
    issuer
}

fn main() {
    let marks_only = USED.map(|used| memory("marks_only", used, None));
    // Each kept answer counts as one byte, so none is dropped.
    let kept = USED.map(|used| memory("with_empty_kept_answer", used, Some(((), 1))));
    drop((marks_only, kept));
    let mut criterion = Criterion::default().configure_from_args();
    times(&mut criterion);
    criterion.final_summary();
}
