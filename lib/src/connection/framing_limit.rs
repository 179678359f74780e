//! Bounds on what a sender may send beside the bytes of bodies: heads, and the sizes,
//! extensions and trailers of bodies in chunks. See `docs/design/answers.md`, "Framing without
//! end".

use snafu::Snafu;

/// Bytes of framing that are accepted for each byte of a body.
const FRAMING_PER_BODY_BYTE: u64 = 2;
/// Bytes that may have been read beyond what the body delivered explains: what is buffered on
/// the way to the body's reader, and the framing of a short body.
const SLACK_BYTES: u64 = 32 * 1024;
/// Bytes that may be read before the head of a final response is complete.
const MAX_HEADS_BYTES: u64 = 128 * 1024;
/// Longest read while little of a body was delivered, in bytes.
const MIN_READ_LEN: usize = 8 * 1024;
/// Longest read of a body in chunks, in bytes.
const MAX_READ_LEN: usize = 64 * 1024;
/// Share of the bytes delivered so far that may be read at once.
const READ_DIVISOR: u64 = 4;

/// The sender sent more framing than the bytes of its bodies explain.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{read} bytes were read for {delivered} bytes of a body"))]
pub struct FramingError {
    /// Bytes read since the body or the head began.
    pub read: u64,
    /// Bytes of the body that were delivered.
    pub delivered: u64,
}

/// Whether a body of `body` bytes comes with more framing than is accepted beyond `slack`
/// bytes.
pub(super) fn is_excessive(framing: u64, body: u64, slack: u64) -> bool {
    framing > body.saturating_mul(FRAMING_PER_BODY_BYTE).saturating_add(slack)
}

/// What is being read from a connection.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// A body with a length, or one that lasts until the connection ends.
    Unlimited,
    /// Heads of responses.
    Heads { read: u64 },
    /// A body in chunks.
    Chunks { read: u64, delivered: u64 },
    /// What may be the head of a request, whose length is bounded otherwise, or the rest of a
    /// body that has no reader any more. It is read in short pieces, because `hyper` may go on to
    /// the body before the head is handled.
    Between,
}

/// Compares the bytes read from a connection with the bytes of bodies that were delivered.
#[derive(Debug)]
pub struct FramingLimit {
    phase: Phase,
}

impl FramingLimit {
    /// Creates a limit for a connection on which nothing was read.
    pub fn new() -> Self {
        Self { phase: Phase::Between }
    }

    /// Notes that the head of a response is read next.
    pub fn expect_response(&mut self) {
        self.phase = Phase::Heads { read: 0 };
    }

    /// Notes that a head is complete and its body is read next.
    pub fn start_body(&mut self, is_chunked: bool) {
        self.phase = match is_chunked {
            true => Phase::Chunks { read: 0, delivered: 0 },
            false => Phase::Unlimited,
        };
    }

    /// Notes that a body has ended or has no reader any more. Its reader may say so late, when the
    /// next response is awaited.
    pub fn end_body(&mut self) {
        if !matches!(self.phase, Phase::Heads { .. }) {
            self.phase = Phase::Between;
        }
    }

    /// Returns the longest read that is allowed now, in bytes; `None` if any is.
    pub fn max_read_len(&self) -> Option<usize> {
        match self.phase {
            Phase::Unlimited => None,
            Phase::Heads { .. } | Phase::Between => Some(MIN_READ_LEN),
            Phase::Chunks { delivered, .. } => {
                let share = usize::try_from(delivered / READ_DIVISOR).unwrap_or(MAX_READ_LEN);
                Some(share.clamp(MIN_READ_LEN, MAX_READ_LEN))
            }
        }
    }

    /// Counts bytes read from the connection.
    ///
    /// # Errors
    ///
    /// Fails if they are more than the bytes delivered explain.
    pub fn record_read(&mut self, len: usize) -> Result<(), FramingError> {
        match &mut self.phase {
            Phase::Unlimited | Phase::Between => Ok(()),
            Phase::Heads { read } => {
                *read += len as u64;
                match *read > MAX_HEADS_BYTES {
                    true => FramingSnafu { read: *read, delivered: 0_u64 }.fail(),
                    false => Ok(()),
                }
            }
            Phase::Chunks { read, delivered } => {
                *read += len as u64;
                let (read, delivered) = (*read, *delivered);
                // Bytes that were read with the head are delivered without being counted.
                match is_excessive(read.saturating_sub(delivered), delivered, SLACK_BYTES) {
                    true => FramingSnafu { read, delivered }.fail(),
                    false => Ok(()),
                }
            }
        }
    }

    /// Counts bytes of a body that its reader has received.
    pub fn record_delivered(&mut self, len: usize) {
        if let Phase::Chunks { delivered, .. } = &mut self.phase {
            *delivered += len as u64;
        }
    }
}

impl Default for FramingLimit {
    fn default() -> Self {
        Self::new()
    }
}
