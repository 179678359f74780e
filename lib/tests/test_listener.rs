//! Connections of callers at the moment when their listener closes.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use endivescale::connection::body;
use endivescale::connection::body::BodyMemory;
use endivescale::connection::body::RelayBody;
use endivescale::connection::listener;
use endivescale::connection::listener::ListenerOptions;
use endivescale::connection::listener::Protocol;
use endivescale::connection::pipeline::ConnectionCx;
use endivescale::connection::pipeline::ConnectionLimits;
use endivescale::connection::pipeline::DiscardLimit;
use endivescale::connection::pipeline::Discards;
use endivescale::process::resources::Clients;
use endivescale::process::resources::ResourcePlan;
use endivescale::process::settings::ResourceSettings;
use http::Request;
use http::Response;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tower::service_fn;

const RESOURCES: ResourceSettings = ResourceSettings { memory_mb: 160, descriptors: 4_100 };
const CALLERS: usize = 16;
const CAP: Duration = Duration::from_secs(10);

fn context(stop: CancellationToken) -> ConnectionCx {
    ConnectionCx {
        limits: Arc::new(|| ConnectionLimits::UNTIL_CONFIGURED),
        on_malformed: Arc::new(|| ()),
        on_cut: Arc::new(|_, _| ()),
        memory: BodyMemory::new(0),
        discards: Discards::new(),
        clients: Clients::new(ResourcePlan::new(&RESOURCES)),
        stall_timeout: CAP,
        stop,
    }
}

async fn answer(_: Request<RelayBody>) -> Result<Response<RelayBody>, Infallible> {
    Ok(Response::new(body::full("answer")))
}

/// Lets a listener close when connections wait for it with requests that nobody has read yet,
/// as in a stop under load. `serve` runs the listener. Returns the responses.
async fn check_waiting_requests<F>(
    serve: impl FnOnce(TcpListener, CancellationToken) -> F,
) -> Vec<String>
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = listener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut caller = TcpStream::connect(address).await.unwrap();
        caller.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        callers.push(caller);
    }
    let stop = CancellationToken::new();
    stop.cancel();
    let serving = tokio::spawn(serve(listener, stop));
    let mut responses = Vec::new();
    for mut caller in callers {
        let mut response = String::new();
        let read = timeout(CAP, caller.read_to_string(&mut response)).await.unwrap();
        assert!(read.is_ok() && response.ends_with("answer"), "{read:?} {response:?}");
        responses.push(response.to_lowercase());
    }
    timeout(CAP, serving).await.unwrap().unwrap();
    responses
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_arrived_before_the_listener_closes_are_answered() {
    let responses = check_waiting_requests(|listener, stop| {
        listener::serve_pipelined(listener, service_fn(answer), context(stop))
    });
    for response in responses.await {
        assert!(response.contains("connection: close"), "{response}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_arrived_before_a_listener_of_the_own_interface_closes_are_answered() {
    check_waiting_requests(|listener, stop| {
        let on_malformed = Arc::new(|| ());
        let options = ListenerOptions {
            protocol: Protocol::Http1,
            max_connections: CALLERS,
            max_head_bytes: 64 * 1024,
            window: 0,
        };
        listener::serve(listener, options, service_fn(answer), stop, on_malformed)
    })
    .await;
}

async fn panic_or_answer(req: Request<RelayBody>) -> Result<Response<RelayBody>, Infallible> {
    assert_ne!(req.uri().path(), "/panic", "a fault of the daemon");
    answer(req).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn task_that_panics_leaves_the_requests_behind_it_their_answers() {
    let listener = listener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let cx = context(CancellationToken::new());
    tokio::spawn(listener::serve_pipelined(listener, service_fn(panic_or_answer), cx));
    let requests = "GET /panic HTTP/1.1\r\nHost: a\r\n\r\n\
                    GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    caller.write_all(requests.as_bytes()).await.unwrap();
    let mut responses = String::new();
    timeout(CAP, caller.read_to_string(&mut responses)).await.unwrap().unwrap();
    assert!(responses.starts_with("HTTP/1.1 502 "), "{responses}");
    assert!(responses.ends_with("answer"), "{responses}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_of_large_uploads_at_once_are_not_lost() {
    const UPLOAD_BYTES: usize = 4 * 1024 * 1024;
    let listener = listener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let limits = || ConnectionLimits { body_bytes: 1024, ..ConnectionLimits::UNTIL_CONFIGURED };
    let cx = ConnectionCx { limits: Arc::new(limits), ..context(CancellationToken::new()) };
    tokio::spawn(listener::serve_pipelined(listener, service_fn(answer), cx));
    let uploads = (0..CALLERS).map(|_| async move {
        let mut caller = TcpStream::connect(address).await.unwrap();
        let head = format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n");
        caller.write_all(head.as_bytes()).await.unwrap();
        // These callers look for a response only after the body.
        caller.write_all(&vec![b'a'; UPLOAD_BYTES]).await.unwrap();
        let mut response = String::new();
        timeout(CAP, caller.read_to_string(&mut response)).await.unwrap().unwrap();
        assert!(response.starts_with("HTTP/1.1 413"), "{response:?}");
    });
    futures_util::future::join_all(uploads).await;
}

#[test]
fn reads_of_many_connections_that_discard_are_bounded() {
    const CONNECTIONS: usize = 500;
    // Half of a processor at 20 microseconds a read.
    const MAX_READS: u32 = 25_000;
    for len in [26, 16 * 1024] {
        let mut limit = DiscardLimit::new();
        let mut connections = vec![(0_u32, Duration::ZERO); CONNECTIONS];
        for now in (0..1_000).map(Duration::from_millis) {
            for (reads, next) in connections.iter_mut().filter(|(_, next)| *next <= now) {
                *reads += 1;
                *next = now + limit.pause(len, *reads, now).unwrap_or_default();
            }
        }
        let reads: u32 = connections.iter().map(|(reads, _)| reads).sum();
        assert!(reads <= MAX_READS, "{reads} reads of {len} bytes in a second");
    }
}
