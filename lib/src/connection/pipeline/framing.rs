//! Framing of request bodies: how their end is found, and the decoding of their bytes.

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderValue;
use http::header;

use super::error::ReadError;
use crate::connection::framing_limit::is_excessive;

/// Longest line with a chunk size or a trailer, in bytes.
const MAX_LINE_BYTES: usize = 4096;
/// Framing that is accepted beyond what the body explains, in bytes.
const FRAMING_SLACK_BYTES: u64 = 16 * 1024;

/// How the end of a request body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Framing {
    /// By the length of the body in bytes, which may be zero.
    Length(u64),
    /// By a last chunk of length zero.
    Chunked,
}

/// Reads the framing of a body from the headers of its request.
///
/// Ambiguous headers are rejected: another daemon or the upstream could find the end of the
/// body elsewhere, and take a part of the body for a request (request smuggling).
pub(super) fn from_headers(headers: &HeaderMap) -> Result<Framing, ReadError> {
    let codings: Vec<&HeaderValue> = headers.get_all(header::TRANSFER_ENCODING).iter().collect();
    let lengths: Vec<&HeaderValue> = headers.get_all(header::CONTENT_LENGTH).iter().collect();
    match (codings.as_slice(), lengths.as_slice()) {
        ([], []) => Ok(Framing::Length(0)),
        ([], [length]) => parse_length(length).map(Framing::Length),
        ([coding], []) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::Chunked)
        }
        _ => Err(ReadError::Malformed),
    }
}

fn parse_length(value: &HeaderValue) -> Result<u64, ReadError> {
    let text = value.to_str().map_err(|_| ReadError::Malformed)?;
    let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    if !is_number {
        return Err(ReadError::Malformed);
    }
    text.parse().map_err(|_| ReadError::Malformed)
}

/// Result of one step of decoding a body.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum Step {
    /// Bytes of the body.
    Data(Bytes),
    /// More input is needed.
    NeedInput,
    /// The body is complete.
    End,
}

/// Decodes a body from the bytes received on its connection.
#[derive(Debug)]
pub(super) struct Decoder {
    state: State,
    /// Bytes of chunks that were decoded.
    body_bytes: u64,
    /// Bytes of sizes, extensions, line ends and trailers that were decoded.
    framing_bytes: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Number of bytes that remain of a body with a length.
    Length(u64),
    ChunkSize,
    /// Number of bytes that remain of a chunk.
    Chunk(u64),
    ChunkEnd,
    Trailers,
    End,
}

impl Decoder {
    pub(super) fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::End,
            Framing::Length(len) => State::Length(len),
            Framing::Chunked => State::ChunkSize,
        };
        Self { state, body_bytes: 0, framing_bytes: 0 }
    }

    /// Decodes the next part of the body at the front of `buf` and removes it from `buf`.
    pub(super) fn step(&mut self, buf: &mut BytesMut) -> Result<Step, ReadError> {
        loop {
            match self.state {
                State::End => return Ok(Step::End),
                State::Length(_) | State::Chunk(_) if buf.is_empty() => return Ok(Step::NeedInput),
                State::Length(remaining) => {
                    let (data, remaining) = split_front(buf, remaining);
                    self.state = if remaining == 0 { State::End } else { State::Length(remaining) };
                    return Ok(Step::Data(data));
                }
                State::Chunk(remaining) => {
                    let (data, remaining) = split_front(buf, remaining);
                    self.body_bytes += data.len() as u64;
                    self.state =
                        if remaining == 0 { State::ChunkEnd } else { State::Chunk(remaining) };
                    return Ok(Step::Data(data));
                }
                State::ChunkSize => match httparse::parse_chunk_size(buf) {
                    Ok(httparse::Status::Complete((len, size))) => {
                        self.skip_framing(buf, len)?;
                        self.state = if size == 0 { State::Trailers } else { State::Chunk(size) };
                    }
                    Ok(httparse::Status::Partial) if buf.len() <= MAX_LINE_BYTES => {
                        return Ok(Step::NeedInput);
                    }
                    Ok(httparse::Status::Partial) | Err(_) => return Err(ReadError::Malformed),
                },
                State::ChunkEnd if buf.len() < 2 => return Ok(Step::NeedInput),
                State::ChunkEnd if buf.starts_with(b"\r\n") => {
                    self.skip_framing(buf, 2)?;
                    self.state = State::ChunkSize;
                }
                State::ChunkEnd => return Err(ReadError::Malformed),
                State::Trailers => match buf.windows(2).position(|pair| pair == b"\r\n") {
                    Some(len) => {
                        self.skip_framing(buf, len + 2)?;
                        self.state = if len == 0 { State::End } else { State::Trailers };
                    }
                    None if buf.len() <= MAX_LINE_BYTES => return Ok(Step::NeedInput),
                    None => return Err(ReadError::Malformed),
                },
            }
        }
    }

    /// Removes framing from the front of `buf`.
    ///
    /// Fails if there was more than the bytes of the body explain: chunks of one byte and trailers
    /// without end cost far more time than a body of the same length.
    fn skip_framing(&mut self, buf: &mut BytesMut, len: usize) -> Result<(), ReadError> {
        buf.advance(len);
        self.framing_bytes += len as u64;
        match is_excessive(self.framing_bytes, self.body_bytes, FRAMING_SLACK_BYTES) {
            true => Err(ReadError::Malformed),
            false => Ok(()),
        }
    }
}

/// Removes at most `remaining` bytes from the front of `buf`; returns them and how many bytes
/// remain after that.
fn split_front(buf: &mut BytesMut, remaining: u64) -> (Bytes, u64) {
    let len = usize::try_from(remaining).map_or(buf.len(), |remaining| remaining.min(buf.len()));
    let data = buf.split_to(len).freeze();
    (data, remaining - len as u64)
}
