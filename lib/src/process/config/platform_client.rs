//! Reads the platform's configuration service over HTTP/1.1; nothing is ever written to it.

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
use crate::process::membership::VmList;

/// Largest answer read: a value of a megabyte, written as JSON.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;
/// How much longer than the asked wait an answer may take.
const ANSWER_PATIENCE: Duration = Duration::from_secs(3);

/// A question to the platform that got no usable answer.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// No connection could be made.
    #[snafu(display("cannot connect to the platform at {address}"))]
    Connect {
        /// Where the platform should be.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The exchange broke.
    #[snafu(display("the exchange with the platform broke"))]
    Exchange {
        /// What the HTTP library said.
        source: hyper::Error,
    },
    /// The answer's body broke or was too large.
    #[snafu(display("the platform's answer broke or is larger than {ANSWER_LIMIT_BYTES} bytes"))]
    Body {
        /// What the HTTP library said.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The answer is no JSON of the agreed form.
    #[snafu(display("the platform's answer cannot be read"))]
    Json {
        /// What the JSON library said.
        source: serde_json::Error,
    },
    /// The status is neither 200 nor 204.
    #[snafu(display("the platform answered with status {status}"))]
    Status {
        /// The status.
        status: StatusCode,
    },
    /// No answer came in time.
    #[snafu(display("the platform did not answer in time"))]
    Timeout {
        /// The timer's error.
        source: tokio::time::error::Elapsed,
    },
}

#[derive(Deserialize)]
struct RulesAnswer {
    version: u64,
    text: String,
}

/// Asks one platform for its values.
#[derive(Clone, Copy, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
}

impl PlatformClient {
    /// Returns a client of the platform at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Waits for a version of a value other than `after`; `None` if there was
    /// none within `wait`.
    pub(crate) async fn watch(
        &self,
        kind: DocumentKind,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Document>, PlatformError> {
        let answer = self.ask(kind, after, wait);
        timeout(wait + ANSWER_PATIENCE, answer).await.context(TimeoutSnafu)?
    }

    async fn ask(
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
                let answer: RulesAnswer = read(&body)?;
                Document::new(answer.version, &answer.text)
            }
            DocumentKind::Vms => {
                let list: VmList = read(&body)?;
                Document::new(list.version, &vm_text::print(&list.vms))
            }
        };
        Ok(Some(document))
    }

    async fn get(&self, path: &str) -> Result<Option<Bytes>, PlatformError> {
        let address = self.address;
        let stream = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
        let io = TokioIo::new(stream);
        let (mut tx, connection) =
            hyper::client::conn::http1::handshake(io).await.context(ExchangeSnafu)?;
        let exchange = async {
            let req = Request::get(path)
                .header(header::HOST, address.to_string())
                .body(Empty::<Bytes>::new())
                .expect("the path is made of digits and fixed words");
            let answer = tx.send_request(req).await.context(ExchangeSnafu)?;
            match answer.status() {
                StatusCode::OK => {}
                StatusCode::NO_CONTENT => return Ok(None),
                status => return StatusSnafu { status }.fail(),
            }
            let body = Limited::new(answer.into_body(), ANSWER_LIMIT_BYTES);
            let body = body.collect().await.context(BodySnafu)?;
            Ok(Some(body.to_bytes()))
        };
        tokio::pin!(exchange);
        tokio::select! {
            answer = &mut exchange => answer,
            // The connection also ends when the answer is complete; the answer
            // then lies ready.
            _ = connection => exchange.await,
        }
    }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).context(JsonSnafu)
}
