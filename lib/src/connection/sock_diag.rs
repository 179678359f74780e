//! Asks the kernel for the state of a TCP connection, see `sock_diag(7)`.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;

const AF_INET: u8 = 2;
const AF_INET6: u8 = 10;
const AF_NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;
const IPPROTO_TCP: u8 = 6;
const NLMSG_ERROR: u16 = 2;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
/// Attribute that holds a `struct tcp_info`.
const INET_DIAG_INFO: u16 = 2;
/// Value of `idiag_timer` while probes are sent into a closed window.
const TIMER_PROBE: u8 = 4;

/// Length of `struct nlmsghdr`, in bytes.
const HEADER_LEN: usize = 16;
/// Length of `struct inet_diag_req_v2`, in bytes.
const REQUEST_LEN: usize = 56;
/// Length of `struct inet_diag_msg`, in bytes.
const MESSAGE_LEN: usize = 72;
/// Offsets in `struct inet_diag_msg`.
const TIMER_AT: usize = 2;
const UNACKED_AT: usize = 60;
/// Offsets in `struct tcp_info`; kernels before 5.4 do not tell the window.
const LAST_ACK_AT: usize = 56;
const SEND_WINDOW_AT: usize = 228;
/// Longer than every reply about one connection, in bytes.
const MAX_REPLY_LEN: usize = 4096;

/// State of the sending side of a TCP connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct SendState {
    /// Bytes written to the socket that the remote host has not acknowledged.
    pub(super) unacked_bytes: u32,
    /// Whether the remote host takes no bytes at present, although it may be alive.
    pub(super) is_window_closed: bool,
    /// Time since an acknowledgement arrived.
    pub(super) last_ack_age: Duration,
}

/// Returns the state of the connection between two addresses of the process's network.
///
/// # Errors
///
/// Fails if there is no such connection ([`io::ErrorKind::NotFound`]) or the kernel offers no
/// such diagnosis to this process.
pub(super) fn send_state(local: SocketAddr, remote: SocketAddr) -> io::Result<SendState> {
    let protocol = Some(Protocol::from(NETLINK_SOCK_DIAG));
    let mut socket = Socket::new(Domain::from(AF_NETLINK), Type::DGRAM, protocol)?;
    // The kernel replies before the request returns.
    socket.set_nonblocking(true)?;
    socket.write_all(&build_request(local, remote))?;
    let mut reply = vec![0; MAX_REPLY_LEN];
    let len = socket.read(&mut reply)?;
    parse_reply(&reply[..len])
}

fn build_request(local: SocketAddr, remote: SocketAddr) -> Vec<u8> {
    let len = HEADER_LEN + REQUEST_LEN;
    let mut buf = Vec::with_capacity(len);
    buf.extend((len as u32).to_ne_bytes());
    buf.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    buf.extend(NLM_F_REQUEST.to_ne_bytes());
    // Sequence number and sender.
    buf.extend([0; 8]);
    let family = if local.is_ipv4() { AF_INET } else { AF_INET6 };
    buf.extend([family, IPPROTO_TCP, 1 << (INET_DIAG_INFO - 1), 0]);
    // All states.
    buf.extend(u32::MAX.to_ne_bytes());
    buf.extend(local.port().to_be_bytes());
    buf.extend(remote.port().to_be_bytes());
    push_ip(&mut buf, local.ip());
    push_ip(&mut buf, remote.ip());
    let interface = match remote {
        SocketAddr::V4(_) => 0,
        SocketAddr::V6(remote) => remote.scope_id(),
    };
    buf.extend(interface.to_ne_bytes());
    // No cookie.
    buf.extend([u8::MAX; 8]);
    buf
}

fn push_ip(buf: &mut Vec<u8>, ip: IpAddr) {
    match ip {
        IpAddr::V4(ip) => {
            buf.extend(ip.octets());
            buf.extend([0; 12]);
        }
        IpAddr::V6(ip) => buf.extend(ip.octets()),
    }
}

fn parse_reply(reply: &[u8]) -> io::Result<SendState> {
    let malformed = || io::Error::from(io::ErrorKind::InvalidData);
    let kind = u16_at(reply, 4).ok_or_else(malformed)?;
    let message = reply.get(HEADER_LEN..).ok_or_else(malformed)?;
    match kind {
        SOCK_DIAG_BY_FAMILY => parse_message(message).ok_or_else(malformed),
        NLMSG_ERROR => {
            let errno = u32_at(message, 0).ok_or_else(malformed)?.cast_signed();
            Err(io::Error::from_raw_os_error(errno.wrapping_neg()))
        }
        _ => Err(malformed()),
    }
}

fn parse_message(message: &[u8]) -> Option<SendState> {
    let info = find_attribute(message.get(MESSAGE_LEN..)?, INET_DIAG_INFO)?;
    let is_probing = *message.get(TIMER_AT)? == TIMER_PROBE;
    Some(SendState {
        unacked_bytes: u32_at(message, UNACKED_AT)?,
        is_window_closed: is_probing || u32_at(info, SEND_WINDOW_AT) == Some(0),
        last_ack_age: Duration::from_millis(u32_at(info, LAST_ACK_AT)?.into()),
    })
}

/// Returns the value of the first attribute of this type.
fn find_attribute(mut attributes: &[u8], wanted: u16) -> Option<&[u8]> {
    loop {
        let len = usize::from(u16_at(attributes, 0)?);
        let value = attributes.get(4..len)?;
        if u16_at(attributes, 2)? == wanted {
            return Some(value);
        }
        attributes = attributes.get(len.next_multiple_of(4)..)?;
    }
}

fn u16_at(bytes: &[u8], at: usize) -> Option<u16> {
    let bytes = bytes.get(at..at + 2)?;
    Some(u16::from_ne_bytes(bytes.try_into().ok()?))
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    let bytes = bytes.get(at..at + 4)?;
    Some(u32::from_ne_bytes(bytes.try_into().ok()?))
}
