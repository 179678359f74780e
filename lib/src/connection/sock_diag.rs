//! Asks the kernel for the state of a TCP connection, see `sock_diag(7)`.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use netlink_packet_core::NLM_F_REQUEST;
use netlink_packet_core::NetlinkHeader;
use netlink_packet_core::NetlinkMessage;
use netlink_packet_core::NetlinkPayload;
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_packet_sock_diag::constants::AF_INET;
use netlink_packet_sock_diag::constants::AF_INET6;
use netlink_packet_sock_diag::constants::IPPROTO_TCP;
use netlink_packet_sock_diag::inet::ExtensionFlags;
use netlink_packet_sock_diag::inet::InetRequest;
use netlink_packet_sock_diag::inet::InetResponse;
use netlink_packet_sock_diag::inet::SocketId;
use netlink_packet_sock_diag::inet::StateFlags;
use netlink_packet_sock_diag::inet::Timer;
use netlink_packet_sock_diag::inet::nlas::Nla;
use netlink_sys::Socket;
use netlink_sys::protocols::NETLINK_SOCK_DIAG;

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
    let socket = Socket::new(NETLINK_SOCK_DIAG)?;
    // The kernel replies before the request returns.
    socket.set_non_blocking(true)?;
    socket.send(&request(local, remote), 0)?;
    let (reply, _) = socket.recv_from_full()?;
    let reply = NetlinkMessage::<SockDiagMessage>::deserialize(&reply);
    match reply.map_err(io::Error::other)?.payload {
        NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(rsp)) => parse(&rsp),
        NetlinkPayload::Error(err) => Err(err.to_io()),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

fn request(local: SocketAddr, remote: SocketAddr) -> Vec<u8> {
    let interface_id = match remote {
        SocketAddr::V4(_) => 0,
        SocketAddr::V6(remote) => remote.scope_id(),
    };
    let req = InetRequest {
        family: if local.is_ipv4() { AF_INET } else { AF_INET6 },
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::INFO,
        states: StateFlags::all(),
        socket_id: SocketId {
            source_port: local.port(),
            destination_port: remote.port(),
            source_address: local.ip(),
            destination_address: remote.ip(),
            interface_id,
            // Any.
            cookie: [u8::MAX; 8],
        },
    };
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(req).into());
    message.finalize();
    let mut buf = vec![0; message.buffer_len()];
    message.serialize(&mut buf);
    buf
}

fn parse(rsp: &InetResponse) -> io::Result<SendState> {
    let info = rsp.nlas.iter().find_map(|nla| match nla {
        Nla::TcpInfo(info) => Some(info),
        _ => None,
    });
    // Kernels before 5.4 do not tell the window.
    let info = info.ok_or(io::ErrorKind::Unsupported)?;
    let is_probing = matches!(rsp.header.timer, Some(Timer::Probe(_)));
    Ok(SendState {
        unacked_bytes: rsp.header.send_queue,
        is_window_closed: is_probing || info.snd_wnd == 0,
        last_ack_age: Duration::from_millis(info.last_ack_recv.into()),
    })
}
