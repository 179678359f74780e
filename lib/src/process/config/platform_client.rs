//! Read-only HTTP/1.1 client of the platform's configuration service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt as _;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::document::Document;
use super::document::DocumentKind;
use super::vm_text;
use crate::connection::limited::Input;
use crate::connection::limited::LimitedStream;
use crate::connection::limited::ReadLimit;
use crate::process::membership::VmList;

/// Maximum size of a response body: leaves room for a value of a megabyte escaped as JSON.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Time allowed for a response beyond the requested wait.
const RESPONSE_MARGIN: Duration = Duration::from_secs(3);

/// Failure of a request to the platform.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The connection to the platform could not be established.
    #[snafu(display("cannot connect to the platform at {address}"))]
    Connect {
        /// Configured address of the platform.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP exchange failed.
    #[snafu(display("HTTP exchange with the platform failed"))]
    Exchange {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// The response body could not be read or is too large.
    #[snafu(display(
        "the platform's response could not be read or exceeds {MAX_BODY_BYTES} bytes"
    ))]
    Body {
        /// Error while reading the body.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The response body is not JSON of the expected structure.
    #[snafu(display("the platform's response is not JSON of the expected structure"))]
    Json {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The status is neither 200 nor 204.
    #[snafu(display("the platform responded with HTTP status {status}"))]
    Status {
        /// Status of the response.
        status: StatusCode,
    },
    /// The platform did not respond in time.
    #[snafu(display("timed out waiting for the platform"))]
    Timeout {
        /// Error of the timer.
        source: tokio::time::error::Elapsed,
    },
}

#[derive(Deserialize)]
struct RulesBody {
    version: u64,
    text: String,
}

/// Client of the platform's configuration service.
#[derive(Clone, Copy, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
}

impl PlatformClient {
    /// Creates a client of the platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Waits up to `wait` for a version of the document other than `after`; `None` if
    /// none was published meanwhile.
    pub(crate) async fn watch(
        &self,
        kind: DocumentKind,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Document>, PlatformError> {
        let response = self.request(kind, after, wait);
        timeout(wait + RESPONSE_MARGIN, response).await.context(TimeoutSnafu)?
    }

    async fn request(
        &self,
        kind: DocumentKind,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Document>, PlatformError> {
        let value = match kind {
            DocumentKind::Rules => "rules",
            DocumentKind::Vms => "vms",
        };
        let path = format!("/v1/{value}?after={after}&wait_ms={}", wait.as_millis());
        let Some(body) = self.get(&path).await? else { return Ok(None) };
        let document = match kind {
            DocumentKind::Rules => {
                let rules: RulesBody = parse_json(&body)?;
                Document::new(rules.version, &rules.text)
            }
            DocumentKind::Vms => {
                let list: VmList = parse_json(&body)?;
                Document::new(list.version, &vm_text::render(&list.vms))
            }
        };
        Ok(Some(document))
    }

    async fn get(&self, path: &str) -> Result<Option<Bytes>, PlatformError> {
        let address = self.address;
        let stream = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
        let limit = ReadLimit::new(Input::Reports);
        let io = TokioIo::new(LimitedStream::new(stream, limit.clone()));
        let (mut tx, connection) =
            hyper::client::conn::http1::handshake(io).await.context(ExchangeSnafu)?;
        let exchange = async {
            let req = Request::get(path)
                .header(header::HOST, address.to_string())
                .body(Empty::<Bytes>::new())
                .expect("the path consists of digits and fixed words");
            limit.expect_response();
            let rsp = tx.send_request(req).await.context(ExchangeSnafu)?;
            limit.start_body(rsp.headers());
            match rsp.status() {
                StatusCode::OK => {}
                StatusCode::NO_CONTENT => return Ok(None),
                status => return StatusSnafu { status }.fail(),
            }
            let body = Limited::new(limit.count(rsp.into_body()), MAX_BODY_BYTES);
            let body = body.collect().await.context(BodySnafu)?;
            Ok(Some(body.to_bytes()))
        };
        tokio::pin!(exchange);
        tokio::select! {
            body = &mut exchange => body,
            // The connection also ends once the response is complete, in which case
            // the exchange can finish without it.
            _ = connection => exchange.await,
        }
    }
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).context(JsonSnafu)
}
