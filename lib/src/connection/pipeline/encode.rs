//! Encodes HTTP/1.1 responses.

use bytes::BufMut as _;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use http::header;
use http::response::Parts;

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ResponseFraming {
    /// There is no body, even if the headers describe one.
    NoBody,
    /// By the length of the body in bytes.
    Length(u64),
    /// By a last chunk of length zero.
    Chunked,
    /// By closing the connection.
    Close,
}

/// Appends the status line and the headers to `buf`.
pub(super) fn head(buf: &mut BytesMut, parts: &Parts, framing: ResponseFraming, is_last: bool) {
    buf.put_slice(b"HTTP/1.1 ");
    buf.put_slice(parts.status.as_str().as_bytes());
    buf.put_u8(b' ');
    buf.put_slice(parts.status.canonical_reason().unwrap_or_default().as_bytes());
    buf.put_slice(b"\r\n");
    put_headers(buf, &parts.headers, framing);
    match framing {
        ResponseFraming::Length(len) => {
            put_header(buf, "content-length", len.to_string().as_bytes());
        }
        ResponseFraming::Chunked => put_header(buf, "transfer-encoding", b"chunked"),
        ResponseFraming::NoBody | ResponseFraming::Close => {}
    }
    if is_last {
        put_header(buf, "connection", b"close");
    }
    buf.put_slice(b"\r\n");
}

/// Appends the headers, except for those about the connection and a `content-length` that
/// `framing` replaces.
fn put_headers(buf: &mut BytesMut, headers: &HeaderMap, framing: ResponseFraming) {
    for (name, value) in headers {
        let is_replaced = name == header::CONTENT_LENGTH && framing != ResponseFraming::NoBody;
        let is_connection_header = name == header::CONNECTION || name == header::TRANSFER_ENCODING;
        if !is_replaced && !is_connection_header {
            put_header(buf, name.as_str(), value.as_bytes());
        }
    }
}

fn put_header(buf: &mut BytesMut, name: &str, value: &[u8]) {
    buf.put_slice(name.as_bytes());
    buf.put_slice(b": ");
    buf.put_slice(value);
    buf.put_slice(b"\r\n");
}

/// Appends a part of the body to `buf`.
pub(super) fn data(buf: &mut BytesMut, framing: ResponseFraming, data: &[u8]) {
    match framing {
        ResponseFraming::NoBody => {}
        ResponseFraming::Length(_) | ResponseFraming::Close => buf.put_slice(data),
        // A chunk of length zero would end the body.
        ResponseFraming::Chunked if data.is_empty() => {}
        ResponseFraming::Chunked => {
            buf.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
            buf.put_slice(data);
            buf.put_slice(b"\r\n");
        }
    }
}

/// Appends the end of the body to `buf`.
pub(super) fn end(buf: &mut BytesMut, framing: ResponseFraming) {
    if framing == ResponseFraming::Chunked {
        buf.put_slice(b"0\r\n\r\n");
    }
}

/// Whether responses with this status never have a body.
pub(super) fn is_bodyless(status: StatusCode) -> bool {
    status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
}
