//! HTTP/2 control frames without end are noticed, and sound peers under load are not taken for
//! their senders.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use endivescale::connection::body;
use endivescale::connection::body::RelayBody;
use endivescale::connection::control_frames::ControlLimit;
use endivescale::connection::control_frames::FrameCounts;
use endivescale::connection::control_frames::FrameReader;
use endivescale::connection::control_frames::NextRead;
use endivescale::connection::control_frames::PREFACE_BYTES;
use endivescale::connection::listener;
use endivescale::connection::listener::ListenerOptions;
use endivescale::connection::listener::Protocol;
use endivescale::connection::peers::PeerPool;
use endivescale_testutils::process::wait_until;
use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use parking_lot::Mutex;
use quickcheck::quickcheck;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tower::service_fn;

/// Most requests in progress on one peer connection.
const MAX_STREAMS: usize = 4096;
/// Control frames that fit into one read of `h2`.
const READ_FRAMES: u32 = 481;
/// Bytes that this build receives before it widens a stream's window.
const UPDATE_BYTES: usize = 64 * 1024;
/// Flow-control window of a connection in bytes, all of which may be widened at once.
const WINDOW_BYTES: usize = 8 * 1024 * 1024;
const LARGE_BYTES: usize = 32 * 1024 * 1024;
const CAP: Duration = Duration::from_secs(30);

fn control(control: u32) -> FrameCounts {
    FrameCounts { heads: 0, control }
}

fn frame(kind: u8, len: usize) -> Vec<u8> {
    [&(len as u32).to_be_bytes()[1..], &[kind, 0, 0, 0, 0, 1], &vec![6; len]].concat()
}

/// Sends control frames as fast as they are read, `heads` with each read; returns how many were
/// read and for how long.
fn flood(heads: u32) -> (u32, Duration) {
    let (mut limit, mut read, mut now) = (ControlLimit::new(), 0, Duration::ZERO);
    loop {
        read += READ_FRAMES;
        match limit.record_read(FrameCounts { heads, control: READ_FRAMES }, now) {
            Ok(NextRead::Now) => (),
            Ok(NextRead::After(delay)) => now += delay,
            Err(_) => return (read, now),
        }
    }
}

#[test]
fn endless_control_frames_end() {
    for heads in [0, READ_FRAMES / 2] {
        let (read, time) = flood(heads);
        assert!(read <= 20_000, "{read} frames were read");
        assert!(time >= Duration::from_secs(1), "ended after {time:?}, a burst may do that");
        assert!(time <= Duration::from_secs(2), "ended only after {time:?}");
    }
}

#[test]
fn pings_of_a_day_are_not_delayed() {
    let mut limit = ControlLimit::new();
    for second in 0..24 * 3600 {
        let next = limit.record_read(control(2), Duration::from_secs(second));
        assert_eq!(next, Ok(NextRead::Now));
    }
}

#[test]
fn burst_is_forgotten_once_it_is_over() {
    let mut limit = ControlLimit::new();
    for minute in 0..60 {
        let now = Duration::from_secs(60 * minute);
        let next = limit.record_read(control(6_000), now);
        assert!(matches!(next, Ok(NextRead::After(_))), "{next:?}");
    }
}

quickcheck! {
    fn resets_and_window_updates_are_not_delayed(steps: Vec<(u8, u16)>) -> bool {
        let (mut limit, mut open) = (ControlLimit::new(), 0_usize);
        steps.iter().all(|(kind, count)| {
            let count = usize::from(*count) % MAX_STREAMS;
            let counts = match kind % 4 {
                0 => {
                    let heads = count.min(MAX_STREAMS - open);
                    open += heads;
                    FrameCounts { heads: heads as u32, control: 0 }
                }
                1 => {
                    open -= count.min(open);
                    control(0)
                }
                2 => {
                    let resets = count.min(open);
                    open -= resets;
                    control(resets as u32)
                }
                // A stream's window and the connection's are widened.
                _ => {
                    let count = count % (WINDOW_BYTES / UPDATE_BYTES);
                    limit.record_written(count * UPDATE_BYTES);
                    control(2 * count as u32)
                }
            };
            limit.record_read(counts, Duration::ZERO) == Ok(NextRead::Now)
        })
    }

    fn frames_are_found_wherever_reads_end(frames: Vec<(u8, u8)>, reads: Vec<u8>) -> bool {
        let mut bytes = vec![b'P'; PREFACE_BYTES];
        bytes.extend(frames.iter().flat_map(|(kind, len)| frame(kind % 11, usize::from(*len))));
        let heads = frames.iter().filter(|(kind, _)| kind % 11 == 1).count();
        let other = frames.iter().filter(|(kind, _)| matches!(kind % 11, 0 | 9)).count();
        let (mut reader, mut rest) = (FrameReader::new(PREFACE_BYTES), &bytes[..]);
        let mut total = FrameCounts::default();
        for len in reads.iter().map(|len| usize::from(*len)).chain([usize::MAX]) {
            let (part, further) = rest.split_at(len.min(rest.len()));
            let counts = reader.read(part);
            total.heads += counts.heads;
            total.control += counts.control;
            rest = further;
        }
        total.heads as usize == heads
            && total.control as usize == frames.len() - heads - other
    }
}

/// One end of a connection, for which no time passes.
struct End {
    frames: FrameReader,
    limit: ControlLimit,
    control: usize,
}

impl End {
    fn new(preface_len: usize) -> Arc<Mutex<Self>> {
        let (frames, limit) = (FrameReader::new(preface_len), ControlLimit::new());
        Arc::new(Mutex::new(Self { frames, limit, control: 0 }))
    }

    fn read(&mut self, bytes: &[u8]) {
        let counts = self.frames.read(bytes);
        self.control += counts.control as usize;
        assert_eq!(self.limit.record_read(counts, Duration::ZERO), Ok(NextRead::Now));
    }
}

/// Relays what one end writes to the other one.
async fn relay(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    from: Arc<Mutex<End>>,
    to: Arc<Mutex<End>>,
) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(len @ 1..) = rx.read(&mut buf).await {
        from.lock().limit.record_written(len);
        to.lock().read(&buf[..len]);
        if tx.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}

async fn serve(listener: TcpListener, started: Arc<AtomicUsize>) {
    let service = service_fn(move |req: Request<RelayBody>| {
        let started = started.clone();
        async move {
            started.fetch_add(1, Ordering::Relaxed);
            let len = match req.uri().path() {
                "/waits" => std::future::pending().await,
                "/large" => req.into_body().collect().await.unwrap().to_bytes().len(),
                _ => 100,
            };
            Ok::<_, Infallible>(Response::new(body::full(vec![b'a'; len])))
        }
    });
    let stop = CancellationToken::new();
    let options = ListenerOptions {
        protocol: Protocol::Http2,
        max_connections: 100,
        max_head_bytes: 64 * 1024,
        window: 0,
    };
    listener::serve(listener, options, service, stop, Arc::new(|| ())).await;
}

async fn send(pool: Arc<PeerPool>, addr: SocketAddr, path: &'static str, len: usize) {
    let req = Request::post(format!("http://a{path}"));
    let req = req.body(body::full(Bytes::from(vec![b'a'; len]))).unwrap();
    let rsp = pool.send(addr, req).await.unwrap();
    let read = rsp.into_body().collect().await.unwrap().to_bytes().len();
    assert_eq!(read, len.max(100));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn control_frames_of_sound_peers_under_load_are_accepted() {
    let [server, front] = [(); 2].map(|()| listener::bind("127.0.0.1:0".parse().unwrap()));
    let (server, front) = (server.await.unwrap(), front.await.unwrap());
    let (server_addr, addr) = (server.local_addr().unwrap(), front.local_addr().unwrap());
    let started = Arc::<AtomicUsize>::default();
    tokio::spawn(serve(server, started.clone()));
    let pool = Arc::new(PeerPool::new(1 << 20).0);
    let first = tokio::spawn(send(pool.clone(), addr, "/", 0));
    let (from_client, to_client) = front.accept().await.unwrap().0.into_split();
    let (from_server, to_server) = TcpStream::connect(server_addr).await.unwrap().into_split();
    let (client_end, server_end) = (End::new(0), End::new(PREFACE_BYTES));
    let requests = relay(from_client, to_server, client_end.clone(), server_end.clone());
    let responses = relay(from_server, to_client, server_end.clone(), client_end.clone());
    let relays = [tokio::spawn(requests), tokio::spawn(responses)];
    first.await.unwrap();

    for round in 0..4 {
        let mut requests = JoinSet::new();
        (0..2_000).for_each(|_| drop(requests.spawn(send(pool.clone(), addr, "/", 0))));
        (0..2).for_each(|_| drop(requests.spawn(send(pool.clone(), addr, "/large", LARGE_BYTES))));
        while let Some(result) = requests.join_next().await {
            result.unwrap();
        }
        let before = started.load(Ordering::Relaxed);
        let cancelled = 4_000;
        (0..cancelled).for_each(|_| drop(requests.spawn(send(pool.clone(), addr, "/waits", 0))));
        let all_started = async || started.load(Ordering::Relaxed) == before + cancelled;
        wait_until("the requests that wait", CAP, all_started).await.unwrap();
        requests.shutdown().await;
        let resets = (round + 1) * cancelled;
        let all_reset = async || server_end.lock().control >= resets;
        wait_until("the resets", CAP, all_reset).await.unwrap();
    }
    assert_eq!(pool.len(), 1, "the connection has ended");
    assert!(relays.iter().all(|relay| !relay.is_finished()), "a relay has ended");
    let (to_client, to_server) = (client_end.lock().control, server_end.lock().control);
    println!("{to_client} control frames to the client, {to_server} to the server");
}
