//! Encodes HTTP/1.1 responses.

use bytes::BufMut as _;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use http::header;
use http::response::Parts;

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AnswerFraming {
    /// There is no body, even if the headers describe one.
    Nothing,
    /// By the length of the body in bytes.
    Length(u64),
    /// By a last chunk of length zero.
    Chunked,
    /// By closing the connection.
    Close,
}

/// Appends the status line and the headers to `buf`.
pub(super) fn head(buf: &mut BytesMut, parts: &Parts, framing: AnswerFraming, closes: bool) {
    buf.put_slice(b"HTTP/1.1 ");
    buf.put_slice(parts.status.as_str().as_bytes());
    buf.put_u8(b' ');
    buf.put_slice(parts.status.canonical_reason().unwrap_or_default().as_bytes());
    buf.put_slice(b"\r\n");
    put_headers(buf, &parts.headers, framing);
    match framing {
        AnswerFraming::Length(len) => put_line(buf, "content-length", len.to_string().as_bytes()),
        AnswerFraming::Chunked => put_line(buf, "transfer-encoding", b"chunked"),
        AnswerFraming::Nothing | AnswerFraming::Close => {}
    }
    if closes {
        put_line(buf, "connection", b"close");
    }
    buf.put_slice(b"\r\n");
}

/// Appends the headers, except for those about the connection and a `content-length` that
/// `framing` replaces.
fn put_headers(buf: &mut BytesMut, headers: &HeaderMap, framing: AnswerFraming) {
    for (name, value) in headers {
        let is_framing = name == header::CONTENT_LENGTH && framing != AnswerFraming::Nothing;
        let is_of_connection = name == header::CONNECTION || name == header::TRANSFER_ENCODING;
        if !is_framing && !is_of_connection {
            put_line(buf, name.as_str(), value.as_bytes());
        }
    }
}

fn put_line(buf: &mut BytesMut, name: &str, value: &[u8]) {
    buf.put_slice(name.as_bytes());
    buf.put_slice(b": ");
    buf.put_slice(value);
    buf.put_slice(b"\r\n");
}

/// Appends a part of the body to `buf`.
pub(super) fn data(buf: &mut BytesMut, framing: AnswerFraming, data: &[u8]) {
    match framing {
        AnswerFraming::Nothing => {}
        AnswerFraming::Length(_) | AnswerFraming::Close => buf.put_slice(data),
        // A chunk of length zero would end the body.
        AnswerFraming::Chunked if data.is_empty() => {}
        AnswerFraming::Chunked => {
            buf.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
            buf.put_slice(data);
            buf.put_slice(b"\r\n");
        }
    }
}

/// Appends the end of the body to `buf`.
pub(super) fn end(buf: &mut BytesMut, framing: AnswerFraming) {
    if framing == AnswerFraming::Chunked {
        buf.put_slice(b"0\r\n\r\n");
    }
}

/// Whether responses with this status never have a body.
pub(super) fn is_bodyless(status: StatusCode) -> bool {
    status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
}
