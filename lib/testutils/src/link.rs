//! A TCP link that can be cut, or lose one direction, between two processes.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadHalf;
use tokio::io::WriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::error::StandInError;
use crate::http::bind;
use crate::program::ANY;

/// Bytes that a link moves at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a link does with the bytes that reach it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkMode {
    /// Passes everything on.
    Pass,
    /// Passes what clients send and loses what servers send.
    LoseAnswers,
    /// Loses everything and keeps connections open, as a partition does.
    LoseAll,
    /// Closes every connection.
    Cut,
}

/// What a link was told last, and how often to cut, so that no cut is missed.
#[derive(Clone, Copy, Debug)]
struct Order {
    mode: LinkMode,
    cuts: u64,
}

/// Which way a part of the link moves bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    ToServer,
    ToClient,
}

/// A running link; dropping it closes its connections.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    mode: watch::Sender<Order>,
    _stop: DropGuard,
}

impl Link {
    /// Starts a link to `target` on an address that the system picks.
    pub async fn start(target: SocketAddr) -> Result<Self, StandInError> {
        Self::start_at(ANY, target).await
    }

    /// Starts a link to `target` at an address.
    pub async fn start_at(addr: SocketAddr, target: SocketAddr) -> Result<Self, StandInError> {
        let (listener, addr) = bind(addr).await?;
        let (mode, rx) = watch::channel(Order { mode: LinkMode::Pass, cuts: 0 });
        let stop = CancellationToken::new();
        tokio::spawn(accept(listener, target, rx, stop.clone()));
        Ok(Self { addr, mode, _stop: stop.drop_guard() })
    }

    /// Address of the link.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes what the link does, on open connections as well.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_modify(|order| {
            order.mode = mode;
            order.cuts += u64::from(mode == LinkMode::Cut);
        });
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mode: watch::Receiver<Order>,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((client, _)) = accepted else { continue };
        let (mode, stop) = (mode.clone(), stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = join(client, target, mode) => {}
            }
        });
    }
}

/// Moves bytes both ways until one side closes or the link is cut.
async fn join(client: TcpStream, target: SocketAddr, mut mode: watch::Receiver<Order>) {
    if mode.borrow().mode == LinkMode::Cut {
        return;
    }
    let cuts = mode.borrow().cuts;
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_rx, client_tx) = tokio::io::split(client);
    let (server_rx, server_tx) = tokio::io::split(server);
    let there = pump(client_rx, server_tx, mode.clone(), Direction::ToServer);
    let back = pump(server_rx, client_tx, mode.clone(), Direction::ToClient);
    tokio::select! {
        _ = there => {}
        _ = back => {}
        _ = mode.wait_for(|order| order.cuts > cuts) => {}
    }
}

async fn pump(
    mut from: ReadHalf<TcpStream>,
    mut to: WriteHalf<TcpStream>,
    mode: watch::Receiver<Order>,
    direction: Direction,
) -> std::io::Result<()> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let len = from.read(&mut buf).await?;
        if len == 0 {
            return to.shutdown().await;
        }
        let mode = mode.borrow().mode;
        let loses = match mode {
            LinkMode::Pass => false,
            LinkMode::LoseAnswers => direction == Direction::ToClient,
            LinkMode::LoseAll | LinkMode::Cut => true,
        };
        if !loses {
            to.write_all(&buf[..len]).await?;
        }
    }
}
