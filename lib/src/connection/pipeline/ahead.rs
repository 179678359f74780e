//! Reads the body of a response ahead of its connection.

use std::pin::pin;

use bytes::Bytes;
use http_body_util::BodyExt as _;

use crate::connection::body::BodyMemory;
use crate::connection::body::HeldStart;
use crate::connection::body::RelayBody;
use crate::connection::body::RelayError;

/// Most bytes of one response that are read ahead.
const MAX_AHEAD_BYTES: u64 = 4 * 1024 * 1024;

/// A response body of which a part may have been read ahead.
pub(super) struct AheadBody<'a> {
    start: HeldStart,
    rest: RelayBody,
    /// How the body ended, if that was read ahead.
    end: Option<Result<(), RelayError>>,
    memory: &'a BodyMemory,
}

impl<'a> AheadBody<'a> {
    pub(super) fn new(rest: RelayBody, memory: &'a BodyMemory) -> Self {
        Self { start: HeldStart::default(), rest, end: None, memory }
    }

    /// Returns the next part of the body; `None` at its end. Nothing is lost if the future is dropped.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, RelayError>> {
        if let Some(part) = self.start.pop() {
            return Some(Ok(part));
        }
        match self.end.take() {
            Some(Ok(())) => None,
            Some(Err(err)) => Some(Err(err)),
            None => next_data(&mut self.rest).await,
        }
    }

    /// Reads on while `writing` goes on, as far as there is room.
    ///
    /// A body that has been read to its end can no longer break off, so that requests behind it may
    /// be passed on.
    pub(super) async fn read_while<T>(&mut self, writing: impl Future<Output = T>) -> T {
        let mut writing = pin!(writing);
        while self.end.is_none() && self.start.len() < MAX_AHEAD_BYTES && self.memory.has_room() {
            tokio::select! {
                biased;
                written = &mut writing => return written,
                data = next_data(&mut self.rest) => match data {
                    // What finds no room is kept all the same.
                    Some(Ok(data)) => drop(self.start.push(data, self.memory)),
                    Some(Err(err)) => self.end = Some(Err(err)),
                    None => self.end = Some(Ok(())),
                },
            }
        }
        writing.await
    }
}

async fn next_data(body: &mut RelayBody) -> Option<Result<Bytes, RelayError>> {
    loop {
        match body.frame().await?.map(|frame| frame.into_data()) {
            Ok(Ok(data)) => return Some(Ok(data)),
            // Trailers are not relayed.
            Ok(Err(_)) => {}
            Err(err) => return Some(Err(err)),
        }
    }
}
