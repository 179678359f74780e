//! A TCP proxy whose open connections can go silent while new ones work.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;

pub struct Proxy {
    pub address: SocketAddr,
    /// Whether each connection opened so far is silent.
    connections: Mutex<Vec<Arc<AtomicBool>>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let proxy = Arc::new(Self { address, connections: Mutex::default() });
        let served = Arc::clone(&proxy);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = served.open(stream, target);
            }
        });
        Ok(proxy)
    }

    fn open(&self, near: TcpStream, target: SocketAddr) -> io::Result<()> {
        let far = TcpStream::connect(target)?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let is_silent = Arc::new(AtomicBool::new(false));
        self.connections.lock().unwrap().push(Arc::clone(&is_silent));
        let (near_2, far_2, silent_2) =
            (near.try_clone()?, far.try_clone()?, Arc::clone(&is_silent));
        std::thread::spawn(move || pump(near, far, &is_silent));
        std::thread::spawn(move || pump(far_2, near_2, &silent_2));
        Ok(())
    }

    /// Lets the connections that are open go silent for good; returns how many there are.
    pub fn silence(&self) -> usize {
        let connections = self.connections.lock().unwrap();
        connections.iter().for_each(|is_silent| is_silent.store(true, Ordering::SeqCst));
        connections.len()
    }
}

/// Passes bytes on until either side closes. A silent connection passes nothing on.
fn pump(mut from: TcpStream, mut to: TcpStream, is_silent: &AtomicBool) {
    let mut buf = [0; 64 * 1024];
    while let Ok(len @ 1..) = from.read(&mut buf) {
        if !is_silent.load(Ordering::SeqCst) && to.write_all(&buf[..len]).is_err() {
            break;
        }
    }
    if !is_silent.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Both);
    }
}
