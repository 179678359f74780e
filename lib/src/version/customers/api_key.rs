//! Keys that callers send, and the digests by which they are looked up.

use std::fmt;
use std::sync::LazyLock;

use http::HeaderMap;
use http::header;

/// Key of the hash of all keys, drawn anew by each process.
///
/// A caller who cannot compute the hash learns nothing from the time that a look-up takes.
static HASH_KEY: LazyLock<[u8; blake3::KEY_LEN]> = LazyLock::new(rand::random);

/// Longest key that is looked up, in bytes.
const KEY_BYTES_MAX: usize = 512;

/// Key of a customer as a caller sent it. It is never printed.
#[derive(Clone, Eq, PartialEq)]
pub struct ApiKey(String);

/// Digest of a key, which is the same within one process only.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct KeyDigest([u8; blake3::OUT_LEN]);

impl ApiKey {
    /// Returns the key with this text; `None` if no key can have it.
    pub fn new(text: &str) -> Option<Self> {
        let is_key_byte = |b: u8| b.is_ascii_graphic() && b != b',';
        let is_key =
            !text.is_empty() && text.len() <= KEY_BYTES_MAX && text.bytes().all(is_key_byte);
        is_key.then(|| Self(text.to_owned()))
    }

    /// Returns the digest by which the key is looked up.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(*blake3::keyed_hash(&HASH_KEY, self.0.as_bytes()).as_bytes())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// What a caller's request says about its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Credential {
    /// The request carries no key, or more than one, or something that is no key.
    Missing,
    /// The request carries this key.
    Key(ApiKey),
}

impl Credential {
    /// Removes the `Authorization` header with an authentication scheme from the headers.
    ///
    /// Requests with several such headers carry no key: each hop could believe another one.
    pub fn take(headers: &mut HeaderMap, scheme: &str) -> Self {
        let mut values = headers.get_all(header::AUTHORIZATION).iter();
        let value = match (values.next(), values.next()) {
            (Some(value), None) => value.to_str().ok().and_then(|text| parse(text, scheme)),
            _ => None,
        };
        headers.remove(header::AUTHORIZATION);
        value.map_or(Self::Missing, Self::Key)
    }
}

fn parse(text: &str, scheme: &str) -> Option<ApiKey> {
    let (found, key) = text.trim().split_once(' ')?;
    if !found.eq_ignore_ascii_case(scheme) {
        return None;
    }
    ApiKey::new(key.trim())
}
