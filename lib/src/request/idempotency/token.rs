//! The token itself: its fields, its MAC and its text.

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

/// Bytes of the keyed MAC in a token.
const MAC_LEN: usize = 16;

/// Bytes of the longest text that is read as a token.
const TEXT_LEN_MAX: usize = 160;

/// Separates the fields of a printed token; stands in none of them.
const SEPARATOR: char = '_';

/// Position of a token in the order in which its issuer handed tokens out.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Sequence(pub u64);

/// Key of the MAC, drawn at random at process start.
///
/// It never leaves the issuer, so no other process can make a token that the
/// issuer takes for its own.
#[derive(Clone, Eq, Hash, PartialEq)]
pub struct Secret(pub [u8; 32]);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Identity of one non-idempotent request.
///
/// The text form goes through caller and entry daemons unread; only the issuer
/// believes it, after [`Token::is_signed_by`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Token {
    /// Peer address of the daemon that issued the token.
    pub issuer: SocketAddr,
    /// Run of that daemon.
    pub incarnation: Incarnation,
    /// Position among the tokens of that run.
    pub sequence: Sequence,
    mac: [u8; MAC_LEN],
}

impl Token {
    /// Makes the token of a sequence, with the MAC that proves its origin.
    pub(super) fn sign(
        secret: &Secret,
        issuer: SocketAddr,
        incarnation: Incarnation,
        sequence: Sequence,
    ) -> Self {
        let mac = mac(secret, issuer, incarnation, sequence);
        Self { issuer, incarnation, sequence, mac }
    }

    /// Tells whether the token was made with this secret.
    ///
    /// The comparison takes the same time wherever the first difference lies,
    /// so that a MAC can't be guessed byte by byte.
    pub(super) fn is_signed_by(&self, secret: &Secret) -> bool {
        let expected = mac(secret, self.issuer, self.incarnation, self.sequence);
        // The comparison of `blake3::Hash` runs in constant time.
        padded(expected) == padded(self.mac)
    }
}

fn mac(
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

fn padded(mac: [u8; MAC_LEN]) -> blake3::Hash {
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

/// A header value that is no token.
#[derive(Debug, Snafu)]
pub enum ParseTokenError {
    /// The text is longer than any token.
    #[snafu(display("an idempotency token has at most {TEXT_LEN_MAX} bytes, not {len}"))]
    TooLong {
        /// Bytes of the text.
        len: usize,
    },
    /// A field is absent.
    #[snafu(display("the idempotency token lacks its {field}; send it back unchanged"))]
    MissingField {
        /// The absent field.
        field: &'static str,
    },
    /// More text follows the last field.
    #[snafu(display("the idempotency token has text after its MAC; send it back unchanged"))]
    TrailingText,
    /// The issuer is no address.
    #[snafu(display("the idempotency token's issuer is no address; send it back unchanged"))]
    InvalidIssuer {
        /// Why the text is no address.
        source: AddrParseError,
    },
    /// The incarnation can't be read.
    #[snafu(display("the idempotency token's incarnation can't be read; send it back unchanged"))]
    InvalidIncarnation {
        /// Why the text is no incarnation.
        source: ParseIncarnationError,
    },
    /// The sequence or the MAC is no hexadecimal number.
    #[snafu(display("the idempotency token's {field} can't be read; send it back unchanged"))]
    InvalidNumber {
        /// The unreadable field.
        field: &'static str,
        /// Why the text is no number.
        source: ParseIntError,
    },
}

impl FromStr for Token {
    type Err = ParseTokenError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        ensure!(s.len() <= TEXT_LEN_MAX, TooLongSnafu { len: s.len() });
        let mut fields = s.split(SEPARATOR);
        let mut next = |field| fields.next().context(MissingFieldSnafu { field });
        let issuer = next("issuer")?.parse().context(InvalidIssuerSnafu)?;
        let incarnation = next("incarnation")?.parse().context(InvalidIncarnationSnafu)?;
        let sequence = u64::from_str_radix(next("sequence")?, 16)
            .context(InvalidNumberSnafu { field: "sequence" })?;
        let mac =
            u128::from_str_radix(next("MAC")?, 16).context(InvalidNumberSnafu { field: "MAC" })?;
        ensure!(fields.next().is_none(), TrailingTextSnafu);
        let mac = mac.to_be_bytes();
        Ok(Self { issuer, incarnation, sequence: Sequence(sequence), mac })
    }
}
