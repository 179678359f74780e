//! Bodies that are held in memory, within a limit for all of them.

use std::collections::VecDeque;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use super::NoRoomSnafu;
use super::RelayBody;
use super::RelayError;
use super::TooLongSnafu;
use super::empty;

/// A body whose start is held in memory in parts of [`RESERVATION_STEP_BYTES`], each of which is
/// freed once it was read.
struct HeldBody {
    start: VecDeque<Bytes>,
    start_len: u64,
    /// What is not held.
    rest: RelayBody,
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let Some(part) = self.start.pop_front() else {
            return Pin::new(&mut self.rest).poll_frame(cx);
        };
        self.start_len -= part.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + self.start_len);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + self.start_len);
        }
        hint
    }
}

/// Marks a response whose body is whole in memory, so that no deadline bounds the wait for it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WholeInMemory;

/// A body that was read into memory as far as it fits.
pub enum Held {
    /// The body has ended.
    Whole(RelayBody),
    /// The body, which repeats what was read of it.
    Begun(RelayBody),
}

/// Step in which memory for a body is reserved, in bytes. The first step of each body is not
/// counted.
const RESERVATION_STEP_BYTES: usize = 64 * 1024;

/// Limit on the memory that all buffered bodies together may hold. Clones share it.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    steps: Arc<Semaphore>,
}

/// The start of a body that is being held.
#[derive(Default)]
pub(crate) struct HeldStart {
    parts: VecDeque<Bytes>,
    /// The part that is being filled.
    last: Option<(BytesMut, OwnedSemaphorePermit)>,
    len: u64,
}

impl HeldStart {
    /// Returns how many bytes are held.
    pub(crate) fn len(&self) -> u64 {
        self.len
    }

    /// Removes a part from the front.
    pub(crate) fn pop(&mut self) -> Option<Bytes> {
        if self.parts.is_empty() {
            self.finish_part();
        }
        let part = self.parts.pop_front()?;
        self.len -= part.len() as u64;
        Some(part)
    }

    /// Appends `data`; returns false if there was no room for all of it.
    pub(crate) fn push(&mut self, mut data: Bytes, memory: &BodyMemory) -> bool {
        self.len += data.len() as u64;
        while !data.is_empty() {
            let (mut part, reserved) = match self.last.take() {
                Some(last) => last,
                None => match Arc::clone(&memory.steps).try_acquire_owned() {
                    Ok(step) => (BytesMut::with_capacity(RESERVATION_STEP_BYTES), step),
                    Err(_) => {
                        self.parts.push_back(data);
                        return false;
                    }
                },
            };
            let room = RESERVATION_STEP_BYTES - part.len();
            part.extend_from_slice(&data.split_to(room.min(data.len())));
            self.last = Some((part, reserved));
            if data.len() >= room || self.is_last_full() {
                self.finish_part();
            }
        }
        true
    }

    fn is_last_full(&self) -> bool {
        self.last.as_ref().is_some_and(|(part, _)| part.len() == RESERVATION_STEP_BYTES)
    }

    fn finish_part(&mut self) {
        if let Some((part, _reserved)) = self.last.take() {
            let part = ReservedBytes { bytes: part.freeze(), _reserved };
            self.parts.push_back(Bytes::from_owner(part));
        }
    }

    fn into_body(mut self, rest: RelayBody) -> RelayBody {
        self.finish_part();
        HeldBody { start: self.parts, start_len: self.len, rest }.boxed_unsync()
    }
}

/// Bytes of a body with the memory that is reserved for them.
struct ReservedBytes {
    bytes: Bytes,
    _reserved: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyMemory {
    /// Creates a limit of `len` bytes beside the first step of each body.
    pub fn new(len: usize) -> Self {
        Self { steps: Arc::new(Semaphore::new(len / RESERVATION_STEP_BYTES)) }
    }

    /// Whether another part of a body can be held.
    pub(crate) fn has_room(&self) -> bool {
        self.steps.available_permits() > 0
    }

    /// Reads a body into memory, which stays reserved until the returned bytes are dropped.
    /// Fails if the body is longer than `limit` bytes or if no memory is left for it.
    pub(crate) async fn collect(
        &self,
        mut body: RelayBody,
        limit: usize,
    ) -> Result<Bytes, RelayError> {
        let mut buf = BytesMut::new();
        let mut reserved: Option<OwnedSemaphorePermit> = None;
        let mut room = RESERVATION_STEP_BYTES;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            let len = buf.len() + data.len();
            if len > limit {
                return TooLongSnafu { limit }.fail();
            }
            while len > room {
                let Ok(step) = Arc::clone(&self.steps).try_acquire_owned() else {
                    return NoRoomSnafu.fail();
                };
                room += RESERVATION_STEP_BYTES;
                match &mut reserved {
                    Some(reserved) => reserved.merge(step),
                    None => reserved = Some(step),
                }
            }
            buf.extend_from_slice(&data);
        }
        let bytes = buf.freeze();
        Ok(match reserved {
            Some(_reserved) => Bytes::from_owner(ReservedBytes { bytes, _reserved }),
            None => bytes,
        })
    }

    /// Reads a body into memory. If it is longer than `limit` bytes or there is no room for it,
    /// what was read is kept in front of the rest.
    ///
    /// Each part of the memory stays reserved until its bytes were read and dropped.
    pub async fn hold(&self, mut rest: RelayBody, limit: usize) -> Result<Held, RelayError> {
        let mut start = HeldStart::default();
        while start.len + rest.size_hint().lower() <= limit as u64 {
            let Some(frame) = rest.frame().await else {
                return Ok(Held::Whole(start.into_body(empty())));
            };
            let Ok(data) = frame?.into_data() else { continue };
            if !start.push(data, self) {
                break;
            }
        }
        Ok(Held::Begun(start.into_body(rest)))
    }

    /// Reads a body into memory until `waiting` ends, as far as `limit` bytes and the memory go.
    /// Returns the body, which repeats what was read of it, and the result of `waiting`.
    ///
    /// Fails if the body breaks off meanwhile.
    pub async fn read_ahead<T>(
        &self,
        mut rest: RelayBody,
        limit: usize,
        waiting: impl Future<Output = T>,
    ) -> Result<(RelayBody, T), RelayError> {
        let mut waiting = pin!(waiting);
        let mut start = HeldStart::default();
        while start.len < limit as u64 {
            let frame = tokio::select! {
                biased;
                waited = &mut waiting => return Ok((start.into_body(rest), waited)),
                frame = rest.frame() => frame,
            };
            let Some(frame) = frame else {
                rest = empty();
                break;
            };
            let Ok(data) = frame?.into_data() else { continue };
            if !start.push(data, self) {
                break;
            }
        }
        let waited = waiting.await;
        Ok((start.into_body(rest), waited))
    }
}
