//! A port of a host that does not answer: connections to it hang.

use std::ffi::c_int;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd as _;

extern "C" {
    fn listen(socket: c_int, backlog: c_int) -> c_int;
}

/// Its queue of new connections is full, so the opening packets of all others are dropped.
pub struct DarkHost {
    _listener: TcpListener,
    _queued: TcpStream,
}

impl DarkHost {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        // SAFETY: the descriptor is that of an open listener.
        if unsafe { listen(listener.as_raw_fd(), 0) } != 0 {
            return Err(io::Error::last_os_error());
        }
        let queued = TcpStream::connect(address)?;
        Ok(Self { _listener: listener, _queued: queued })
    }
}
