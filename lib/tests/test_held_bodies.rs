//! Tests of bodies that are held in memory before they are relayed.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use endivescale::connection::body;
use endivescale::connection::body::BodyMemory;
use endivescale::connection::body::Held;
use endivescale::connection::body::RelayBody;
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use tokio::time::sleep;

const STEP_BYTES: usize = 64 * 1024;

fn bytes(len: usize) -> Vec<u8> {
    (0..len).map(|n| n as u8).collect()
}

/// Returns a body whose length is not known, in frames of a length that fits no step.
fn in_frames(len: usize) -> RelayBody {
    let (tx, body) = body::in_parts(1, Bytes::new());
    tokio::spawn(async move {
        for part in bytes(len).chunks(10_000) {
            tx.send(Bytes::copy_from_slice(part)).await;
        }
        tx.finish().await;
    });
    body
}

async fn hold(memory: &BodyMemory, body: RelayBody, limit: usize) -> (bool, RelayBody) {
    match memory.hold(body, limit).await.unwrap() {
        Held::Whole(body) => (true, body),
        Held::Begun(body) => (false, body),
    }
}

/// Holds a body and checks that it reads as before.
async fn check(len: usize, limit: usize, has_length: bool, is_whole: bool) {
    let memory = BodyMemory::new(4 * STEP_BYTES);
    let body = if has_length { body::full(bytes(len)) } else { in_frames(len) };
    let (held_whole, body) = hold(&memory, body, limit).await;
    assert_eq!(held_whole, is_whole);
    let has_length = has_length || is_whole;
    assert_eq!(body.size_hint().exact(), has_length.then_some(len as u64));
    assert_eq!(body.collect().await.unwrap().to_bytes(), bytes(len));
}

macro_rules! held_bodies {
    ($($name:ident: $len:expr, $limit:expr, $has_length:literal, $is_whole:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check($len, $limit, $has_length, $is_whole).await;
        }
    )*};
}

held_bodies! {
    empty_body_is_held: 0, STEP_BYTES, false, true;
    body_of_one_step_is_held: STEP_BYTES, STEP_BYTES, true, true;
    body_of_all_steps_is_held: 4 * STEP_BYTES, 4 * STEP_BYTES, false, true;
    body_beyond_the_memory_is_begun: 4 * STEP_BYTES + 1, 8 * STEP_BYTES, false, false;
    body_beyond_its_limit_is_begun: 2 * STEP_BYTES, STEP_BYTES, false, false;
    body_of_known_length_beyond_its_limit_is_not_read: STEP_BYTES + 1, STEP_BYTES, true, false;
}

#[tokio::test]
async fn held_bodies_stay_within_their_memory() {
    let memory = BodyMemory::new(4 * STEP_BYTES);
    let (is_whole, mut first) = hold(&memory, in_frames(3 * STEP_BYTES), 4 * STEP_BYTES).await;
    assert!(is_whole);
    let (is_whole, second) = hold(&memory, in_frames(2 * STEP_BYTES), 4 * STEP_BYTES).await;
    assert!(!is_whole, "more is held than the memory has");
    assert_eq!(second.collect().await.unwrap().to_bytes(), bytes(2 * STEP_BYTES));
    // What was read of the first body leaves room for others while the rest is unread.
    first.frame().await.unwrap().unwrap();
    let (is_whole, _second) = hold(&memory, in_frames(2 * STEP_BYTES), 4 * STEP_BYTES).await;
    assert!(is_whole);
    assert_eq!(first.collect().await.unwrap().to_bytes(), bytes(3 * STEP_BYTES)[STEP_BYTES..]);
}

#[tokio::test]
async fn held_body_that_breaks_off_fails() {
    let memory = BodyMemory::new(4 * STEP_BYTES);
    let (tx, body) = body::in_parts(1, Bytes::from(bytes(100)));
    drop(tx);
    assert!(memory.hold(body, STEP_BYTES).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn body_is_read_ahead_as_far_as_its_limit() {
    const LEN: usize = 8 * STEP_BYTES;
    let memory = BodyMemory::new(LEN);
    let sent = Arc::new(AtomicUsize::new(0));
    let (tx, body) = body::in_parts(1, Bytes::new());
    let counter = Arc::clone(&sent);
    tokio::spawn(async move {
        for part in bytes(LEN).chunks(10_000) {
            tx.send(Bytes::copy_from_slice(part)).await;
            counter.fetch_add(part.len(), Ordering::Relaxed);
        }
        tx.finish().await;
    });
    let waiting = sleep(Duration::from_secs(1));
    let (body, ()) = memory.read_ahead(body, 2 * STEP_BYTES, waiting).await.unwrap();
    let read = sent.load(Ordering::Relaxed);
    assert!((2 * STEP_BYTES..3 * STEP_BYTES).contains(&read), "{read} bytes");
    assert_eq!(body.collect().await.unwrap().to_bytes(), bytes(LEN));
}

#[tokio::test(start_paused = true)]
async fn body_that_breaks_off_while_it_is_read_ahead_fails() {
    let memory = BodyMemory::new(4 * STEP_BYTES);
    let (tx, body) = body::in_parts(1, Bytes::from(bytes(100)));
    drop(tx);
    assert!(memory.read_ahead(body, STEP_BYTES, sleep(Duration::from_secs(1))).await.is_err());
}
