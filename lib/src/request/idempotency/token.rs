//! Idempotency tokens: their fields, MAC and text form.

use std::fmt;
use std::net::AddrParseError;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::str::FromStr;

use snafu::OptionExt as _;
use snafu::ResultExt as _;
use snafu::Snafu;
use snafu::ensure;

use crate::process::Incarnation;
use crate::process::ParseIncarnationError;

/// Length of the MAC in a token, in bytes.
const MAC_LEN: usize = 16;

/// Longest text that is parsed as a token, in bytes.
const MAX_TEXT_BYTES: usize = 160;

/// Separates the fields in the text form of a token; occurs in none of them.
const FIELD_SEPARATOR: char = '_';

/// Sequence number of a token, in the order in which its issuer issued tokens.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Sequence(pub u64);

/// Key of the MAC of tokens, generated at random when the process starts.
///
/// The key never leaves the issuer, so no other process can create a token that
/// the issuer accepts as its own.
#[derive(Clone, Eq, Hash, PartialEq)]
pub struct Secret(pub [u8; 32]);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Identity of one non-idempotent request.
///
/// Callers and entry daemons pass the text form on without verifying it. Only
/// the issuer trusts a token, after [`Token::is_signed_by`] has verified its MAC.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Token {
    /// Peer address of the daemon that issued the token.
    pub issuer: SocketAddr,
    /// Incarnation of that daemon when it issued the token.
    pub incarnation: Incarnation,
    /// Sequence number among the tokens of that incarnation.
    pub sequence: Sequence,
    mac: [u8; MAC_LEN],
}

impl Token {
    /// Creates a token and computes the MAC that proves its origin.
    pub(super) fn sign(
        secret: &Secret,
        issuer: SocketAddr,
        incarnation: Incarnation,
        sequence: Sequence,
    ) -> Self {
        let mac = compute_mac(secret, issuer, incarnation, sequence);
        Self { issuer, incarnation, sequence, mac }
    }

    /// Returns whether the MAC of the token was computed with `secret`.
    ///
    /// The comparison takes constant time, because its duration would otherwise
    /// allow an attacker to guess a MAC byte by byte.
    pub(super) fn is_signed_by(&self, secret: &Secret) -> bool {
        let expected = compute_mac(secret, self.issuer, self.incarnation, self.sequence);
        // `blake3::Hash` compares in constant time.
        zero_padded_hash(expected) == zero_padded_hash(self.mac)
    }
}

fn compute_mac(
    secret: &Secret,
    issuer: SocketAddr,
    incarnation: Incarnation,
    sequence: Sequence,
) -> [u8; MAC_LEN] {
    let mut hasher = blake3::Hasher::new_keyed(&secret.0);
    match issuer.ip() {
        IpAddr::V4(ip) => hasher.update(&[4]).update(&ip.octets()),
        IpAddr::V6(ip) => hasher.update(&[6]).update(&ip.octets()),
    };
    hasher.update(&issuer.port().to_be_bytes());
    hasher.update(&incarnation.0.to_be_bytes());
    hasher.update(&sequence.0.to_be_bytes());
    let mut mac = [0; MAC_LEN];
    hasher.finalize_xof().fill(&mut mac);
    mac
}

fn zero_padded_hash(mac: [u8; MAC_LEN]) -> blake3::Hash {
    let mut bytes = [0; blake3::OUT_LEN];
    bytes[..MAC_LEN].copy_from_slice(&mac);
    blake3::Hash::from_bytes(bytes)
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { issuer, incarnation, sequence: Sequence(sequence), mac } = self;
        let mac = u128::from_be_bytes(*mac);
        write!(f, "{issuer}_{incarnation}_{sequence:x}_{mac:032x}")
    }
}

/// Error from parsing the text form of a token.
#[derive(Debug, Snafu)]
pub enum ParseTokenError {
    /// The text is longer than the text form of any token.
    #[snafu(display("an idempotency token has at most {MAX_TEXT_BYTES} bytes, not {len}"))]
    TooLong {
        /// Length of the text in bytes.
        len: usize,
    },
    /// A field is missing.
    #[snafu(display("the idempotency token lacks its {field}; send it back unchanged"))]
    MissingField {
        /// Name of the missing field.
        field: &'static str,
    },
    /// The last field is followed by more text.
    #[snafu(display("the idempotency token has text after its MAC; send it back unchanged"))]
    TrailingText,
    /// The issuer is not a socket address.
    #[snafu(display("the idempotency token's issuer is not an address; send it back unchanged"))]
    InvalidIssuer {
        /// Error from parsing the address.
        source: AddrParseError,
    },
    /// The incarnation can't be parsed.
    #[snafu(display(
        "the idempotency token's incarnation can't be parsed; send it back unchanged"
    ))]
    InvalidIncarnation {
        /// Error from parsing the incarnation.
        source: ParseIncarnationError,
    },
    /// The sequence number or the MAC is not a hexadecimal number.
    #[snafu(display("the idempotency token's {field} can't be parsed; send it back unchanged"))]
    InvalidNumber {
        /// Name of the invalid field.
        field: &'static str,
        /// Error from parsing the number.
        source: ParseIntError,
    },
}

impl FromStr for Token {
    type Err = ParseTokenError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        ensure!(s.len() <= MAX_TEXT_BYTES, TooLongSnafu { len: s.len() });
        let mut fields = s.split(FIELD_SEPARATOR);
        let mut next_field = |field| fields.next().context(MissingFieldSnafu { field });
        let issuer = next_field("issuer")?.parse().context(InvalidIssuerSnafu)?;
        let incarnation = next_field("incarnation")?.parse().context(InvalidIncarnationSnafu)?;
        let sequence = u64::from_str_radix(next_field("sequence")?, 16)
            .context(InvalidNumberSnafu { field: "sequence" })?;
        let mac = u128::from_str_radix(next_field("MAC")?, 16)
            .context(InvalidNumberSnafu { field: "MAC" })?;
        ensure!(fields.next().is_none(), TrailingTextSnafu);
        let mac = mac.to_be_bytes();
        Ok(Self { issuer, incarnation, sequence: Sequence(sequence), mac })
    }
}
