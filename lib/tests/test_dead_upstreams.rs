//! An upstream whose machine is gone is found, also after its process has paused.

use std::time::Duration;

use endivescale::connection::body;
use endivescale::connection::upstream::UpstreamPool;
use http::Request;
use socket2::SockFilter;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio::time::sleep;

/// Longer than what the buffers of both sockets hold.
const LONG: usize = 32 << 20;
/// Shorter than what an upstream takes without reading.
const SHORT: usize = 16 << 10;
/// Longest time after which a machine that is gone is found, if its process took what was sent.
const FOUND_WITHIN: Duration = Duration::from_secs(3);
/// The same if its process had paused.
const FOUND_WITHIN_AFTER_PAUSE: Duration = Duration::from_millis(5_500);
/// How much later an event may come on a busy machine.
const MARGIN: Duration = Duration::from_secs(1);
/// `BPF_RET`: lets so many bytes of a packet through.
const RET: u16 = 0x06;

/// Sends an upload that begins with `len` bytes to an upstream that leaves it unread for `pause`,
/// whose machine then drops all that arrives.
async fn check(len: usize, pause: Duration, bound: Duration) {
    let listener = TcpListener::bind("127.9.201.1:0").await.unwrap();
    let pool = UpstreamPool::new(listener.local_addr().unwrap(), 1);
    let (rest, body) = body::in_parts(1, vec![b'x'; len].into());
    let upload = Request::put("/").body(body).unwrap();
    let sending = async move { pool.send(upload, None, || true, |_| ()).await.map(drop) };
    let sending = tokio::spawn(sending);
    let (upstream, _) = listener.accept().await.unwrap();
    sleep(pause).await;
    assert!(!sending.is_finished(), "given up after {pause:?}");
    SockRef::from(&upstream).attach_filter(&[SockFilter::new(RET, 0, 0, 0)]).unwrap();
    let gone_at = Instant::now();
    assert!(rest.send(vec![b'x'; SHORT].into()).await);
    sending.await.unwrap().unwrap_err();
    let found_after = gone_at.elapsed();
    assert!(found_after <= bound + MARGIN, "found after {found_after:?}");
}

macro_rules! dead_upstream_tests {
    ($($name:ident: $len:expr, $pause_ms:expr, $bound:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check($len, Duration::from_millis($pause_ms), $bound).await;
        }
    )*};
}

dead_upstream_tests! {
    machine_that_is_gone_is_found: SHORT, 500, FOUND_WITHIN;
    machine_that_is_gone_is_found_after_a_pause_of_1_s: LONG, 1_000, FOUND_WITHIN_AFTER_PAUSE;
    machine_that_is_gone_is_found_after_a_pause_of_4_s: LONG, 4_000, FOUND_WITHIN_AFTER_PAUSE;
    machine_that_is_gone_is_found_after_a_pause_of_12_s: LONG, 12_000, FOUND_WITHIN_AFTER_PAUSE;
}
