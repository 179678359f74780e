//! Reads the bytes that a caller sends.

use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt as _;

use super::discard::Discards;
use super::error::ReadError;
use super::framing::Decoder;
use super::framing::Step;
use super::head;
use super::head::Head;
use super::pause::Pauses;
use crate::process::resources::Charge;
use crate::process::resources::Held;

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

/// Length from which a part of a body is passed on by itself, in bytes.
const SHORT_PART_BYTES: usize = 4 * 1024;
/// Step in which room for input is reserved, in bytes.
const INPUT_STEP_BYTES: usize = 16 * 1024;

/// Reads the heads and bodies of requests from a connection.
pub(super) struct Reader<'a, R> {
    io: R,
    buf: BytesMut,
    pauses: Pauses<'a>,
    /// What is charged for input beyond one read, which is a part of the connection.
    input: Option<Charge>,
    /// Bytes of a body that its reader keeps.
    kept: usize,
}

impl<'a, R: AsyncRead + Unpin> Reader<'a, R> {
    pub(super) fn new(io: R, pauses: Pauses<'a>) -> Self {
        Self { io, buf: BytesMut::new(), pauses, input: None, kept: 0 }
    }

    /// Returns what the connection waits with.
    pub(super) fn pauses(&self) -> Pauses<'a> {
        self.pauses
    }

    /// Reserves room for `len` bytes of a body that is kept until it is complete.
    pub(super) async fn keep(&mut self, len: usize) -> Result<(), ReadFailure> {
        self.kept = len;
        self.reserve_input().await
    }

    /// Releases the room of a request that was read.
    pub(super) fn end_request(&mut self) {
        self.kept = 0;
        if self.buf.is_empty() {
            self.buf = BytesMut::new();
        }
        let len = self.input_len();
        match &mut self.input {
            Some(input) if len > 0 => input.shrink(len),
            _ => self.input = None,
        }
    }

    /// Returns how many bytes of input are charged.
    fn input_len(&self) -> usize {
        // A buffer may grow to twice of what it holds.
        self.kept + 2 * self.buf.len()
    }

    async fn reserve_input(&mut self) -> Result<(), ReadFailure> {
        let reserved = self.input.as_ref().map_or(0, Charge::bytes);
        let missing = self.input_len().saturating_sub(reserved);
        if missing == 0 {
            return Ok(());
        }
        let missing = missing.next_multiple_of(INPUT_STEP_BYTES);
        let Pauses { account, .. } = self.pauses;
        let more = self.pauses.run(account.reserve(Held::Input, missing)).await?;
        match &mut self.input {
            Some(input) => input.merge(more),
            None => self.input = Some(more),
        }
        Ok(())
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
                Step::Data(data) => return self.join_parts(data, decoder).map(Step::Data),
                Step::End => return Ok(Step::End),
            }
        }
    }

    /// Joins short parts of a body that have arrived together.
    ///
    /// Each part becomes a frame between daemons, which takes far more memory than a few bytes. The
    /// connection that carries them would end for all requests on it.
    fn join_parts(&mut self, first: Bytes, decoder: &mut Decoder) -> Result<Bytes, ReadFailure> {
        if first.len() >= SHORT_PART_BYTES {
            return Ok(first);
        }
        let mut joined = BytesMut::from(first);
        while joined.len() < SHORT_PART_BYTES {
            match decoder.step(&mut self.buf)? {
                Step::Data(data) => joined.extend_from_slice(&data),
                Step::NeedInput | Step::End => break,
            }
        }
        Ok(joined.freeze())
    }

    /// Discards input until the caller closes the connection.
    pub(super) async fn wait_closed(&mut self, discards: &Discards) {
        self.buf = BytesMut::new();
        self.input = None;
        discards.discard(&mut self.io).await;
    }

    /// Reads more bytes into the buffer.
    async fn fill(&mut self) -> Result<(), ReadFailure> {
        self.reserve_input().await?;
        self.buf.reserve(READ_BYTES);
        match self.io.read_buf(&mut self.buf).await {
            Ok(1..) => Ok(()),
            Ok(0) | Err(_) => Err(ReadFailure::Closed),
        }
    }
}
