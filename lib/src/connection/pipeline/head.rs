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
const MAX_HEADERS: usize = 100;

/// The head of a request, with what it requires of its connection.
#[derive(Debug)]
pub(super) struct Head {
    pub(super) parts: Parts,
    /// Length of the head as it was sent, in bytes.
    pub(super) len: usize,
    /// Whether the connection is to be closed after the response.
    pub(super) close_after: bool,
    /// Whether the caller waits for a `100 Continue` response before it sends the body.
    pub(super) expects_continue: bool,
}

/// Parses the head at the front of `buf` and removes it from `buf`; returns `None` if the head
/// is incomplete.
pub(super) fn parse(buf: &mut BytesMut, max_bytes: usize) -> Result<Option<Head>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let len = match parsed.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) if buf.len() > max_bytes => {
            return Err(ReadError::HeadTooLong);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(ReadError::HeadTooLong),
        Err(_) => return Err(ReadError::Malformed),
    };
    if len > max_bytes {
        return Err(ReadError::HeadTooLong);
    }
    let parts = to_parts(&parsed).ok_or(ReadError::Malformed)?;
    buf.advance(len);
    let is_http_10 = parts.version == Version::HTTP_10;
    Ok(Some(Head {
        close_after: is_http_10 || has_token(&parts, &header::CONNECTION, "close"),
        expects_continue: has_token(&parts, &header::EXPECT, "100-continue"),
        parts,
        len,
    }))
}

fn to_parts(parsed: &httparse::Request<'_, '_>) -> Option<Parts> {
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

/// Whether the comma-separated list in the header `name` contains `token`.
fn has_token(parts: &Parts, name: &HeaderName, token: &str) -> bool {
    let values = parts.headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|item| item.trim().eq_ignore_ascii_case(token))
}
