//! Bounds on frames of HTTP/2 that carry no work: pings, settings, window updates, resets. `h2`
//! answers or ignores each of them, however many come; it bounds the other frames itself. See
//! `docs/design/answers.md`, "Control frames without end".

use std::time::Duration;

use snafu::Snafu;

use super::peers::MAX_STREAMS;

/// Length of the header of a frame, in bytes.
const HEADER_BYTES: usize = 9;
/// Length of what a client sends before its first frame, in bytes.
pub const PREFACE_BYTES: usize = 24;
/// Control frames that may come without a reason: what resets all streams at once, and the
/// settings and pings of a connection.
const MAX_CREDITS: i64 = MAX_STREAMS as i64 + 1024;
/// Bytes written that explain one control frame. A window update tells of at least half a
/// window, 64 KiB with this build.
const WRITTEN_PER_CREDIT: u64 = 4 * 1024;
/// Time that explains one control frame.
const CREDIT_INTERVAL: Duration = Duration::from_micros(500);
/// Longest time for which reads may have been delayed before the connection is ended.
const MAX_DELAY: Duration = Duration::from_secs(1);

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const CONTINUATION: u8 = 9;

/// The sender sent more control frames than its work and time explain.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{control} control frames came with {heads} heads and {written} bytes written"))]
pub struct ControlError {
    /// Control frames that were read.
    pub control: u64,
    /// Heads that were read.
    pub heads: u64,
    /// Bytes that were written to the sender.
    pub written: u64,
}

/// Frames whose headers were complete in the bytes of one read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FrameCounts {
    /// Heads of requests and responses, and trailers.
    pub heads: u32,
    /// Frames that are neither heads nor parts of a body.
    pub control: u32,
}

/// Finds the headers of frames in the bytes of a connection.
#[derive(Debug)]
pub struct FrameReader {
    /// Bytes before the next header.
    skip: usize,
    header: [u8; HEADER_BYTES],
    /// Number of bytes of `header` that were read.
    len: usize,
}

impl FrameReader {
    /// Creates a reader of a connection whose first frame follows `preface_len` bytes.
    pub fn new(preface_len: usize) -> Self {
        Self { skip: preface_len, header: [0; HEADER_BYTES], len: 0 }
    }

    /// Reads further bytes of the connection and counts the frames that begin in them.
    pub fn read(&mut self, mut bytes: &[u8]) -> FrameCounts {
        let mut counts = FrameCounts::default();
        loop {
            let skipped = self.skip.min(bytes.len());
            self.skip -= skipped;
            bytes = &bytes[skipped..];
            let (part, rest) = bytes.split_at(bytes.len().min(HEADER_BYTES - self.len));
            self.header[self.len..][..part.len()].copy_from_slice(part);
            self.len += part.len();
            if self.len < HEADER_BYTES {
                return counts;
            }
            bytes = rest;
            self.len = 0;
            let [len_high, len_mid, len_low, kind, ..] = self.header;
            self.skip = u32::from_be_bytes([0, len_high, len_mid, len_low]) as usize;
            match kind {
                DATA | CONTINUATION => (),
                HEADERS => counts.heads += 1,
                _ => counts.control += 1,
            }
        }
    }
}

/// What is to be done before the next read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextRead {
    /// The next read may happen at once.
    Now,
    /// The next read is to wait for this long.
    After(Duration),
}

/// Compares the control frames read from a connection with what explains them.
///
/// Each head explains one, the reset of its stream; so do some bytes written, whose receiver
/// widens the window, and some time. Times are since the connection was opened.
#[derive(Debug)]
pub struct ControlLimit {
    /// Control frames that may come at once; negative while reads are delayed.
    credits: i64,
    /// Time up to which `credits` were given.
    credited_until: Duration,
    /// Bytes written for which no credit was given.
    uncredited: u64,
    /// Time for which reads were delayed since `credits` were last full.
    delayed: Duration,
    control: u64,
    heads: u64,
    written: u64,
}

impl ControlLimit {
    /// Creates the limit of a new connection.
    pub fn new() -> Self {
        Self {
            credits: MAX_CREDITS,
            credited_until: Duration::ZERO,
            uncredited: 0,
            delayed: Duration::ZERO,
            control: 0,
            heads: 0,
            written: 0,
        }
    }

    /// Counts bytes written to the connection.
    pub fn record_written(&mut self, len: usize) {
        self.written += len as u64;
        self.uncredited += len as u64;
        let credits = self.uncredited / WRITTEN_PER_CREDIT;
        self.uncredited %= WRITTEN_PER_CREDIT;
        self.add_credits(credits);
    }

    /// Counts frames that were read up to `now`, and returns when to read on.
    ///
    /// # Errors
    ///
    /// Fails if delaying reads has not helped.
    pub fn record_read(
        &mut self,
        counts: FrameCounts,
        now: Duration,
    ) -> Result<NextRead, ControlError> {
        self.heads += u64::from(counts.heads);
        self.control += u64::from(counts.control);
        self.add_credits(counts.heads.into());
        if counts.control == 0 {
            return Ok(NextRead::Now);
        }
        self.add_time(now);
        self.credits -= i64::from(counts.control);
        if self.credits >= 0 {
            return Ok(NextRead::Now);
        }
        if self.delayed >= MAX_DELAY {
            let Self { control, heads, written, .. } = *self;
            return ControlSnafu { control, heads, written }.fail();
        }
        let missing = u32::try_from(-self.credits).unwrap_or(u32::MAX);
        let delay = (CREDIT_INTERVAL * missing).min(MAX_DELAY);
        self.delayed += delay;
        Ok(NextRead::After(delay))
    }

    fn add_time(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.credited_until);
        let credits = elapsed.as_nanos() / CREDIT_INTERVAL.as_nanos();
        let rest = elapsed.as_nanos() % CREDIT_INTERVAL.as_nanos();
        self.credited_until = now - Duration::from_nanos(rest as u64);
        self.add_credits(u64::try_from(credits).unwrap_or(u64::MAX));
    }

    fn add_credits(&mut self, credits: u64) {
        let credits = i64::try_from(credits).unwrap_or(i64::MAX);
        self.credits = self.credits.saturating_add(credits).min(MAX_CREDITS);
        if self.credits == MAX_CREDITS {
            self.delayed = Duration::ZERO;
        }
    }
}

impl Default for ControlLimit {
    fn default() -> Self {
        Self::new()
    }
}
