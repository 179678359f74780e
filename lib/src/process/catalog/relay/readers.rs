//! Decides which daemons of an availability zone read the catalog.

use std::cmp::Reverse;
use std::hash::Hasher as _;
use std::net::IpAddr;
use std::net::SocketAddr;

use siphasher::sip::SipHasher13;

use crate::process::Zone;
use crate::process::membership::Daemons;

/// Largest zone in which every daemon reads the catalog itself. In a small zone
/// relays would save few calls, and the loss of a few readers would delay most of it.
const ZONE_SIZE_WITHOUT_RELAYS: usize = 8;
/// Smallest number of readers in a zone with relays, so that followers have others to
/// turn to when one is paused or cut off from the catalog.
const READERS_PER_ZONE_MIN: usize = 3;
/// Largest mean number of daemons that poll one reader; the readers of a larger zone
/// become more.
const FOLLOWERS_PER_READER_MAX: usize = 64;

/// Length of an IPv6 address, as which every address is hashed.
const IP_BYTES: usize = 16;
/// Length of an address and port.
const ADDRESS_BYTES: usize = IP_BYTES + 2;

/// Where a daemon gets the changes of the catalog from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadRole {
    /// It reads the catalog and may be polled by others.
    Reader,
    /// It polls a reader of its zone.
    Follower {
        /// Control addresses of the readers, in the order in which to try them.
        readers: Vec<SocketAddr>,
    },
}

/// Returns the role of the daemon whose control address is `here`.
///
/// The choice is a hash of the addresses, so daemons with the same list agree on it
/// without a message. Daemons whose lists differ may disagree: then a follower finds
/// that its choice does not read the catalog, and tries the next one.
pub fn assign(here: SocketAddr, zone: &Zone, daemons: &Daemons) -> ReadRole {
    let in_zone = daemons.iter().filter(|daemon| daemon.zone == *zone && daemon.is_live);
    let mut daemons: Vec<SocketAddr> = in_zone.map(|daemon| daemon.control).collect();
    daemons.sort_unstable();
    daemons.dedup();
    if daemons.len() <= ZONE_SIZE_WITHOUT_RELAYS {
        return ReadRole::Reader;
    }
    let count = daemons.len().div_ceil(FOLLOWERS_PER_READER_MAX).max(READERS_PER_ZONE_MIN);
    daemons.sort_by_cached_key(|daemon| rank(zone.as_str().as_bytes(), *daemon));
    daemons.truncate(count);
    if daemons.contains(&here) {
        return ReadRole::Reader;
    }
    let chooser = address_bytes(here);
    daemons.sort_by_cached_key(|daemon| rank(&chooser, *daemon));
    ReadRole::Follower { readers: daemons }
}

fn rank(chooser: &[u8], daemon: SocketAddr) -> Reverse<u64> {
    let mut hasher = SipHasher13::new();
    hasher.write(chooser);
    hasher.write(&address_bytes(daemon));
    Reverse(hasher.finish())
}

/// Returns an address in a form that hashes alike on every build and platform.
fn address_bytes(address: SocketAddr) -> [u8; ADDRESS_BYTES] {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let mut bytes = [0; ADDRESS_BYTES];
    bytes[..IP_BYTES].copy_from_slice(&ip.octets());
    bytes[IP_BYTES..].copy_from_slice(&address.port().to_be_bytes());
    bytes
}
