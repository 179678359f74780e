//! Parses the heads of requests.

use bytes::Buf as _;
use bytes::BytesMut;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::Version;
use http::header;
use http::request::Parts;

use super::error::ReadError;

/// Most headers of one request.
const HEADERS_MAX: usize = 100;

/// The head of a request, with what it requires of its connection.
#[derive(Debug)]
pub(super) struct Head {
    pub(super) parts: Parts,
    /// Whether the connection is to be closed after the response.
    pub(super) closes: bool,
    /// Whether the caller waits for a `100 Continue` response before it sends the body.
    pub(super) expects_continue: bool,
}

/// Parses the head at the front of `buf` and removes it from `buf`; returns `None` if the head
/// is incomplete.
pub(super) fn take(buf: &mut BytesMut, bytes_max: usize) -> Result<Option<Head>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    let len = match parsed.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) if buf.len() > bytes_max => {
            return Err(ReadError::HeadTooLong);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(ReadError::HeadTooLong),
        Err(_) => return Err(ReadError::Malformed),
    };
    if len > bytes_max {
        return Err(ReadError::HeadTooLong);
    }
    let parts = convert(&parsed).ok_or(ReadError::Malformed)?;
    buf.advance(len);
    let is_old = parts.version == Version::HTTP_10;
    Ok(Some(Head {
        closes: is_old || says(&parts, &header::CONNECTION, "close"),
        expects_continue: says(&parts, &header::EXPECT, "100-continue"),
        parts,
    }))
}

fn convert(parsed: &httparse::Request<'_, '_>) -> Option<Parts> {
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    parts.uri = parsed.path?.parse::<Uri>().ok()?;
    parts.version = match parsed.version? {
        0 => Version::HTTP_10,
        _ => Version::HTTP_11,
    };
    parts.headers.reserve(parsed.headers.len());
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        parts.headers.append(name, value);
    }
    Some(parts)
}

/// Whether the comma-separated list in the header `name` contains `word`.
fn says(parts: &Parts, name: &HeaderName, word: &str) -> bool {
    let values = parts.headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|found| found.trim().eq_ignore_ascii_case(word))
}
