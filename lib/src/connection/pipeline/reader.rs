//! Reads the bytes that a caller sends.

use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt as _;

use super::discard::Discards;
use super::error::ReadError;
use super::framing::Decoder;
use super::framing::Step;
use super::head;
use super::head::Head;

/// Buffer space that is reserved for each read, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// Why a request or body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReadFailure {
    /// The caller closed the connection, or the connection failed.
    Closed,
    /// The request is rejected.
    Rejected(ReadError),
}

impl From<ReadError> for ReadFailure {
    fn from(err: ReadError) -> Self {
        Self::Rejected(err)
    }
}

/// Reads the heads and bodies of requests from a connection.
#[derive(Debug)]
pub(super) struct Reader<R> {
    io: R,
    buf: BytesMut,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    pub(super) fn new(io: R) -> Self {
        Self { io, buf: BytesMut::new() }
    }

    /// Waits until the first byte of a request has arrived.
    pub(super) async fn wait_for_request(&mut self) -> Result<(), ReadFailure> {
        match self.buf.is_empty() {
            true => self.fill().await,
            false => Ok(()),
        }
    }

    /// Reads the head of a request.
    pub(super) async fn read_head(&mut self, max_bytes: usize) -> Result<Head, ReadFailure> {
        loop {
            if let Some(head) = head::parse(&mut self.buf, max_bytes)? {
                return Ok(head);
            }
            self.fill().await?;
        }
    }

    /// Reads the next part of a body; never returns [`Step::NeedInput`].
    pub(super) async fn read_body(&mut self, decoder: &mut Decoder) -> Result<Step, ReadFailure> {
        loop {
            match decoder.step(&mut self.buf)? {
                Step::NeedInput => self.fill().await?,
                step => return Ok(step),
            }
        }
    }

    /// Discards input until the caller closes the connection.
    pub(super) async fn wait_closed(&mut self, discards: &Discards) {
        self.buf = BytesMut::new();
        discards.discard(&mut self.io).await;
    }

    /// Reads more bytes into the buffer.
    async fn fill(&mut self) -> Result<(), ReadFailure> {
        self.buf.reserve(READ_BYTES);
        match self.io.read_buf(&mut self.buf).await {
            Ok(1..) => Ok(()),
            Ok(0) | Err(_) => Err(ReadFailure::Closed),
        }
    }
}
