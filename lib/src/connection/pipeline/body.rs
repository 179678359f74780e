//! Reads the bodies of requests: short ones completely, long ones while they are relayed.

use bytes::BytesMut;
use tokio::io::AsyncRead;

use super::error::ReadError;
use super::framing::Decoder;
use super::framing::Step;
use super::pace::Pace;
use super::reader::ReadFailure;
use super::reader::Reader;
use crate::connection::body;
use crate::connection::body::PartSender;
use crate::connection::body::RelayBody;
use crate::request::message::MAX_BUFFERED_BODY_BYTES;

/// Most parts of a long body that are queued for the consumer of the body.
const MAX_QUEUED_PARTS: usize = 4;

/// The body of a request, of which at least the beginning has been read.
pub(super) enum IncomingBody {
    /// A body that was read completely.
    Complete(RelayBody),
    /// A long body, whose remainder is relayed to the consumer as it arrives.
    Streamed(RelayBody, Remainder),
}

/// The part of a long body that has not been read yet.
pub(super) struct Remainder {
    decoder: Decoder,
    tx: PartSender,
    /// Number of bytes of the body that were read.
    read_bytes: u64,
}

/// Reads a short body to its end, or the beginning of a long one.
pub(super) async fn read_beginning<R: AsyncRead + Unpin>(
    reader: &mut Reader<'_, R>,
    mut decoder: Decoder,
    pace: &mut Pace,
) -> Result<IncomingBody, ReadFailure> {
    let mut buf = BytesMut::new();
    loop {
        // The buffer may grow to twice of what it holds.
        reader.keep(2 * buf.len()).await?;
        match pace.read(reader.read_body(&mut decoder)).await? {
            Step::End if buf.is_empty() => return Ok(IncomingBody::Complete(body::empty())),
            Step::End => return Ok(IncomingBody::Complete(body::full(buf.freeze()))),
            Step::Data(data) => buf.extend_from_slice(&data),
            Step::NeedInput => {}
        }
        if buf.len() as u64 > MAX_BUFFERED_BODY_BYTES {
            let read_bytes = buf.len() as u64;
            let (tx, body) = body::in_parts(MAX_QUEUED_PARTS, buf.freeze());
            return Ok(IncomingBody::Streamed(body, Remainder { decoder, tx, read_bytes }));
        }
    }
}

impl Remainder {
    /// Relays the remainder of the body to its consumer. If the consumer has dropped the body,
    /// the remainder is read and discarded.
    pub(super) async fn relay<R: AsyncRead + Unpin>(
        mut self,
        reader: &mut Reader<'_, R>,
        max_bytes: u64,
        pace: &mut Pace,
    ) -> Result<(), ReadFailure> {
        let pauses = reader.pauses();
        let mut has_consumer = true;
        loop {
            match pace.read(reader.read_body(&mut self.decoder)).await? {
                Step::End => {
                    return pauses.run(self.tx.finish()).await;
                }
                Step::Data(data) => {
                    self.read_bytes += data.len() as u64;
                    if self.read_bytes > max_bytes {
                        return Err(ReadError::BodyTooLong.into());
                    }
                    pace.record(data.len());
                    has_consumer =
                        has_consumer && pace.pause(pauses.run(self.tx.send(data))).await?;
                }
                Step::NeedInput => {}
            }
        }
    }
}
