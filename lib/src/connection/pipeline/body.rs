//! Reads the bodies of requests: short ones completely, long ones while they are relayed.

use bytes::BytesMut;
use http_body_util::BodyExt as _;
use http_body_util::channel::Channel;
use http_body_util::channel::Sender;
use tokio::io::AsyncRead;

use super::error::ReadError;
use super::framing::Decoder;
use super::framing::Step;
use super::reader::ReadFailure;
use super::reader::Reader;
use crate::connection::body;
use crate::connection::body::RelayBody;
use crate::connection::body::RelayError;
use crate::request::message::HELD_BODY_BYTES;

/// Most parts of a long body that are queued for the consumer of the body.
const PARTS_MAX: usize = 4;

/// The body of a request, of which at least the beginning has been read.
pub(super) enum Arriving {
    /// A body that was read completely.
    Whole(RelayBody),
    /// A long body, whose remainder is relayed to the consumer as it arrives.
    Rest(RelayBody, Rest),
}

/// The part of a long body that has not been read yet.
pub(super) struct Rest {
    decoder: Decoder,
    tx: Sender<bytes::Bytes, RelayError>,
    /// Number of bytes of the body that were read.
    read: u64,
}

/// Reads a short body to its end, or the beginning of a long one.
pub(super) async fn begin<R: AsyncRead + Unpin>(
    reader: &mut Reader<R>,
    mut decoder: Decoder,
) -> Result<Arriving, ReadFailure> {
    let mut held = BytesMut::new();
    loop {
        match reader.read_body(&mut decoder).await? {
            Step::End if held.is_empty() => return Ok(Arriving::Whole(body::empty())),
            Step::End => return Ok(Arriving::Whole(body::full(held.freeze()))),
            Step::Data(data) => held.extend_from_slice(&data),
            Step::NeedInput => {}
        }
        if held.len() as u64 > HELD_BODY_BYTES {
            let read = held.len() as u64;
            let (mut tx, rest) = Channel::new(PARTS_MAX);
            // The channel is empty, so there is room for the first part.
            let _ = tx.try_send(hyper::body::Frame::data(held.freeze()));
            return Ok(Arriving::Rest(rest.boxed_unsync(), Rest { decoder, tx, read }));
        }
    }
}

impl Rest {
    /// Relays the remainder of the body to its consumer. If the consumer has dropped the body,
    /// the remainder is read and discarded.
    pub(super) async fn relay<R: AsyncRead + Unpin>(
        mut self,
        reader: &mut Reader<R>,
        max_bytes: u64,
    ) -> Result<(), ReadFailure> {
        let mut is_read = true;
        loop {
            match reader.read_body(&mut self.decoder).await {
                Ok(Step::End) => return Ok(()),
                Ok(Step::Data(data)) => {
                    self.read += data.len() as u64;
                    if self.read > max_bytes {
                        self.tx.abort(RelayError::Ended);
                        return Err(ReadError::BodyTooLong.into());
                    }
                    is_read = is_read && self.tx.send_data(data).await.is_ok();
                }
                Ok(Step::NeedInput) => {}
                Err(failure) => {
                    self.tx.abort(RelayError::Ended);
                    return Err(failure);
                }
            }
        }
    }
}
