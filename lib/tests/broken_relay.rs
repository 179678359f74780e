//! Relays that lack one of the mechanisms behind whole answers, so that the
//! tests are seen to fail on them.

use std::net::SocketAddr;
use std::sync::Arc;

use endivescale_testutils::error::StandInError;
use endivescale_testutils::headers::MARK;
use endivescale_testutils::http::Answer;
use endivescale_testutils::http::Client;
use endivescale_testutils::http::bind;
use endivescale_testutils::http::full;
use endivescale_testutils::http::serve;
use endivescale_testutils::program::ANY;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufStream;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// The mechanism that a relay lacks.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// A connection is used again although its answer was not read to the end.
    UnreadAnswer,
    /// An answer that breaks off is passed on as if it had ended.
    CutAsEnd,
}

/// Starts a relay to `upstream` with a fault; it runs until the test ends.
pub(crate) async fn start(upstream: SocketAddr, fault: Fault) -> SocketAddr {
    let (listener, addr) = bind(ANY).await.unwrap();
    let pool = Arc::<Pool>::default();
    let handler = move |req| {
        let pool = pool.clone();
        async move {
            match fault {
                Fault::UnreadAnswer => relay_unread(pool, upstream, req).await,
                Fault::CutAsEnd => relay_cut(&pool.client, upstream, req).await,
            }
        }
    };
    tokio::spawn(serve(listener, CancellationToken::new(), handler));
    addr
}

#[derive(Default)]
struct Pool {
    client: Client,
    idle: Mutex<Vec<BufStream<TcpStream>>>,
}

/// Gives its connection back whatever was read of the answer.
struct Lease {
    pool: Arc<Pool>,
    stream: Option<BufStream<TcpStream>>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.pool.idle.lock().extend(self.stream.take());
    }
}

async fn relay_unread(pool: Arc<Pool>, upstream: SocketAddr, req: Request<Incoming>) -> Answer {
    let idle = pool.idle.lock().pop();
    let stream = match idle {
        Some(stream) => stream,
        None => BufStream::new(TcpStream::connect(upstream).await.unwrap()),
    };
    let mut lease = Lease { pool, stream: Some(stream) };
    let answered = exchange(lease.stream.as_mut().unwrap(), &req).await;
    answered.map_err(|_| StandInError::Cut)
}

async fn exchange(
    stream: &mut BufStream<TcpStream>,
    req: &Request<Incoming>,
) -> std::io::Result<Response<endivescale_testutils::http::AnswerBody>> {
    let mut head = format!("{} {} HTTP/1.1\r\n", req.method(), req.uri().path());
    for (name, value) in req.headers() {
        head += &format!("{name}: {}\r\n", String::from_utf8_lossy(value.as_bytes()));
    }
    stream.write_all(format!("{head}\r\n").as_bytes()).await?;
    stream.flush().await?;
    let mut answer = Response::builder();
    let mut length = 0;
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let Some((name, value)) = line.trim().split_once(": ") else {
            match line.trim().is_empty() {
                true => break,
                false => continue,
            }
        };
        match name {
            "content-length" => length = value.parse().unwrap_or(0),
            MARK => answer = answer.header(MARK, value),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(answer.body(full(body)).unwrap())
}

async fn relay_cut(client: &Client, upstream: SocketAddr, req: Request<Incoming>) -> Answer {
    let (answer, _) = client.send(upstream, req.map(|_| full(""))).await?;
    let mark = answer.headers().get(MARK).cloned();
    let mut rest = answer.into_body();
    let mut body = Vec::new();
    while let Some(Ok(frame)) = rest.frame().await {
        body.extend(frame.into_data().unwrap_or_default());
    }
    let mut relayed = Response::new(full(body));
    if let Some(mark) = mark {
        relayed.headers_mut().insert(MARK, mark);
    }
    Ok(relayed)
}
