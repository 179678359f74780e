//! The checksums over the heads of messages between daemons.

use std::convert::Infallible;
use std::sync::Arc;

use endivescale::connection::body;
use endivescale::connection::peers::PeerError;
use endivescale::connection::peers::PeerPool;
use endivescale::connection::seal::Seal;
use endivescale::connection::seal::SealCheck;
use endivescale::connection::seal::check_request;
use endivescale::connection::seal::check_response;
use endivescale::connection::seal::seal_request;
use endivescale::connection::seal::seal_response;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::Empty;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpListener;

fn request() -> (Request<()>, Seal) {
    let req = Request::post("http://board.example/send/a?b=c").header("x-one", "1");
    let mut req = req.header("x-two", "2").body(()).unwrap();
    let seal = seal_request(&mut req, 1);
    (req, seal)
}

fn response(request: Seal) -> Response<()> {
    let mut rsp = Response::builder().header("x-one", "1").body(()).unwrap();
    seal_response(&mut rsp, request);
    rsp
}

macro_rules! broken_requests {
    ($($name:ident: |$req:ident| $change:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut $req, _) = request();
            $change;
            assert_eq!(check_request(&$req), SealCheck::Broken);
        }
    )*};
}

broken_requests! {
    request_with_another_method: |req| *req.method_mut() = http::Method::PUT;
    request_with_another_path: |req| {
        *req.uri_mut() = "http://board.example/send/b?b=c".parse().unwrap();
    };
    request_with_another_host: |req| {
        *req.uri_mut() = "http://desk.example/send/a?b=c".parse().unwrap();
    };
    request_with_another_value: |req| req.headers_mut().insert("x-one", HeaderValue::from_static("2"));
    request_with_swapped_names: |req| {
        req.headers_mut().insert("x-one", HeaderValue::from_static("2"));
        req.headers_mut().insert("x-two", HeaderValue::from_static("1"));
    };
    request_without_a_header: |req| req.headers_mut().remove("x-two");
    request_with_a_header_more: |req| req.headers_mut().append("x-two", HeaderValue::from_static("2"));
}

#[test]
fn request_is_valid_as_sent_and_with_what_the_library_adds() {
    let (mut req, seal) = request();
    assert_eq!(check_request(&req), SealCheck::Valid(seal));
    req.headers_mut().insert("content-length", HeaderValue::from_static("7"));
    assert_eq!(check_request(&req), SealCheck::Valid(seal));
}

#[test]
fn response_is_valid_for_its_own_request_only() {
    let (mut other, _) = request();
    other.headers_mut().remove("x-two");
    let other = seal_request(&mut other, 1);
    let (_, seal) = request();
    let rsp = response(seal);
    assert!(matches!(check_response(&rsp, seal), SealCheck::Valid(_)));
    assert_eq!(check_response(&rsp, other), SealCheck::Broken);
}

#[test]
fn response_with_another_outcome_is_broken() {
    let (_, seal) = request();
    let mut rsp = response(seal);
    rsp.headers_mut().insert("endivescale-outcome", HeaderValue::from_static("not-run"));
    assert_eq!(check_response(&rsp, seal), SealCheck::Broken);
}

#[test]
fn response_without_a_seal_is_missing_one() {
    let (_, seal) = request();
    let mut rsp = response(seal);
    rsp.headers_mut().remove("endivescale-seal");
    assert_eq!(check_response(&rsp, seal), SealCheck::Missing);
}

/// Two requests can have equal heads, such as two messages of the same kind.
#[tokio::test]
async fn answer_to_an_earlier_request_with_the_same_head_is_not_believed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let first_answer: Arc<Mutex<Option<HeaderMap>>> = Arc::default();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let service = service_fn(|req: Request<Incoming>| {
            let SealCheck::Valid(seal) = check_request(&req) else { panic!("no seal: {req:?}") };
            let mut rsp = Response::new(Empty::<Bytes>::new());
            seal_response(&mut rsp, seal);
            let headers = rsp.headers().clone();
            *rsp.headers_mut() = first_answer.lock().get_or_insert(headers).clone();
            async { Ok::<_, Infallible>(rsp) }
        });
        let server = http2::Builder::new(TokioExecutor::new());
        let _ = server.serve_connection(TokioIo::new(stream), service).await;
    });
    let (pool, _closed_rx) = PeerPool::new(1 << 20);
    let send =
        || pool.send(addr, Request::post("http://board.example/").body(body::empty()).unwrap());
    send().await.unwrap();
    assert!(matches!(send().await, Err(PeerError::Corrupted)));
}
