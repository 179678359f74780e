//! What a token is bound to at its first use.

/// Bytes of the digest that stands for a request.
const DIGEST_LEN: usize = 16;

/// Digest of what a request asks for.
///
/// The body is left out: it is streamed, and the decision to run has to come
/// before its first byte is sent on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Fingerprint([u8; DIGEST_LEN]);

impl Fingerprint {
    /// Digests the service, method, path with query, and the caller's name for
    /// the request (`Idempotency-Key`), if it gave one.
    pub fn new(service: &str, method: &http::Method, path: &str, key: Option<&[u8]>) -> Self {
        let mut hasher = blake3::Hasher::new();
        let fields = [Some(service.as_bytes()), Some(method.as_str().as_bytes())];
        for field in fields.into_iter().chain([Some(path.as_bytes()), key]) {
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
