//! What a token is bound to at its first use.

/// Bytes of the digest that stands for a request.
const DIGEST_LEN: usize = 16;

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Method of the request.
    pub method: &'a http::Method,
    /// Path with query.
    pub path: &'a str,
    /// The caller's name for the request (`Idempotency-Key`), if it gave one.
    pub key: Option<&'a [u8]>,
    /// The body, if it is held whole. A long one is streamed, and the decision
    /// to run has to come before its first byte is sent on.
    pub body: Option<&'a [u8]>,
}

/// Digest of what a request asks for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Fingerprint([u8; DIGEST_LEN]);

impl Fingerprint {
    /// Digests a request.
    pub fn new(asked: &Asked<'_>) -> Self {
        let Asked { service, method, path, key, body } = *asked;
        let mut hasher = blake3::Hasher::new();
        let head = [service, method.as_str(), path].map(|field| Some(field.as_bytes()));
        for field in head.into_iter().chain([key, body]) {
            // The length comes first, so that no two lists of fields digest
            // the same bytes; an absent field differs from an empty one.
            let len = field.map_or(u64::MAX, |field| field.len() as u64);
            hasher.update(&len.to_be_bytes());
            hasher.update(field.unwrap_or_default());
        }
        let mut digest = [0; DIGEST_LEN];
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }
}
