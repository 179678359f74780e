//! A small HTTP/1.1 server and client for the stand-ins.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Serialize;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::error::BindSnafu;
use crate::error::BuildSnafu;
use crate::error::ConnectSnafu;
use crate::error::ExchangeSnafu;
use crate::error::StandInError;

/// Body type that all stand-ins share.
pub type AnswerBody = UnsyncBoxBody<Bytes, StandInError>;

/// Answer of a stand-in; an error closes the connection without an answer.
pub type Answer = Result<Response<AnswerBody>, StandInError>;

/// Binds a listener and returns it with the address that it got.
pub async fn bind(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), StandInError> {
    let listener = TcpListener::bind(addr).await.context(BindSnafu { addr })?;
    let addr = listener.local_addr().context(BindSnafu { addr })?;
    Ok((listener, addr))
}

/// Serves `handler` on `listener` until `stop` is cancelled, which also closes
/// the connections that are open then.
pub async fn serve<F, Fut>(listener: TcpListener, stop: CancellationToken, handler: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Answer> + Send + 'static,
{
    loop {
        let stream = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
        };
        let _ = stream.set_nodelay(true);
        let stop = stop.clone();
        let handler = handler.clone();
        tokio::spawn(async move {
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service_fn(handler));
            tokio::select! {
                () = stop.cancelled() => {}
                _ = connection => {}
            }
        });
    }
}

/// Returns an answer with a text body.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut answer = Response::new(full(text));
    *answer.status_mut() = status;
    answer
}

/// Returns an answer with a JSON body.
pub fn json<T: Serialize>(value: &T) -> Answer {
    let body = serde_json::to_vec(value).context(crate::error::JsonSnafu)?;
    Ok(text(StatusCode::OK, body))
}

/// Returns a body that holds `data` whole.
pub fn full(data: impl Into<Bytes>) -> AnswerBody {
    UnsyncBoxBody::new(Full::new(data.into()).map_err(|never| match never {}))
}

/// Returns the value of `name` in the query of `uri`.
pub fn query(uri: &http::Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)?.1.parse().ok()
}

/// Client that keeps idle connections, each for one request at a time.
#[derive(Debug, Default)]
pub struct Client {
    idle: Mutex<IndexMap<SocketAddr, Vec<SendRequest<AnswerBody>>>>,
}

/// Connection that is answering a request.
#[derive(Debug)]
pub struct Busy<'a> {
    client: &'a Client,
    addr: SocketAddr,
    tx: SendRequest<AnswerBody>,
}

impl Busy<'_> {
    /// Keeps the connection for another request, after the whole answer was
    /// read; dropping it instead closes the connection.
    pub fn keep(self) {
        self.client.idle.lock().entry(self.addr).or_default().push(self.tx);
    }
}

impl Client {
    /// Sends `req` to `addr` and returns the head of its answer.
    pub async fn send(
        &self,
        addr: SocketAddr,
        mut req: Request<AnswerBody>,
    ) -> Result<(Response<Incoming>, Busy<'_>), StandInError> {
        while let Some(mut tx) = self.take_idle(addr) {
            if tx.ready().await.is_err() {
                continue;
            }
            match tx.try_send_request(req).await {
                Ok(answer) => return Ok((answer, Busy { client: self, addr, tx })),
                Err(mut err) => match err.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(err.into_error()).context(ExchangeSnafu),
                },
            }
        }
        let mut tx = connect(addr).await?;
        let answer = tx.send_request(req).await.context(ExchangeSnafu)?;
        Ok((answer, Busy { client: self, addr, tx }))
    }

    /// Sends a request with a text body and returns the status and the whole
    /// body of its answer.
    pub async fn fetch(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<(StatusCode, Bytes), StandInError> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", addr.to_string())
            .body(full(body))
            .context(BuildSnafu)?;
        let (answer, busy) = self.send(addr, req).await?;
        let status = answer.status();
        let body = answer.into_body().collect().await.context(ExchangeSnafu)?.to_bytes();
        busy.keep();
        Ok((status, body))
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<SendRequest<AnswerBody>> {
        self.idle.lock().get_mut(&addr)?.pop()
    }
}

async fn connect(addr: SocketAddr) -> Result<SendRequest<AnswerBody>, StandInError> {
    let stream = TcpStream::connect(addr).await.context(ConnectSnafu { addr })?;
    let _ = stream.set_nodelay(true);
    let (tx, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.context(ExchangeSnafu)?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(tx)
}
