//! Fingerprints of requests, to which tokens are bound at their first use.

/// Length of the digest of a request, in bytes.
const DIGEST_LEN: usize = 16;

/// Parts of a request that its fingerprint covers.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintInput<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Method of the request.
    pub method: &'a http::Method,
    /// Path and query of the request.
    pub path: &'a str,
    /// Value of the caller's `Idempotency-Key` header, if the request has one.
    pub key: Option<&'a [u8]>,
    /// The body, if it is buffered. A long body is streamed and not part of the
    /// fingerprint, since the decision whether the request may run must be made
    /// before the first byte of the body is forwarded.
    pub body: Option<&'a [u8]>,
}

/// Digest that identifies the content of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Fingerprint([u8; DIGEST_LEN]);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn new(input: &FingerprintInput<'_>) -> Self {
        let FingerprintInput { service, method, path, key, body } = *input;
        let mut hasher = blake3::Hasher::new();
        let head = [service, method.as_str(), path].map(|field| Some(field.as_bytes()));
        for field in head.into_iter().chain([key, body]) {
            // Each field is preceded by its length, so that different lists of
            // fields never give the same input. A missing field has a length that
            // no field can have, so that it differs from an empty one.
            let len = field.map_or(u64::MAX, |field| field.len() as u64);
            hasher.update(&len.to_be_bytes());
            hasher.update(field.unwrap_or_default());
        }
        let mut digest = [0; DIGEST_LEN];
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }
}
