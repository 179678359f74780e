//! Programs of a run as child processes, on addresses found free.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use snafu::ResultExt;
use tokio::time::Instant;

use crate::error::StandInError;
use crate::error::StartSnafu;

/// First port tried; the range lies below the ports of outgoing connections,
/// so that no connection takes a port before its listener is bound.
const FIRST_PORT: u32 = 12_000;

/// Number of ports in the range.
const PORTS: u32 = 20_000;

/// Distance between the first ports that two processes try.
const PORT_STRIDE: u32 = 211;

/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

static TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns `number` loopback addresses that nobody listened on just now.
pub fn free_addrs(number: usize) -> Vec<SocketAddr> {
    let mut held = Vec::with_capacity(number);
    while held.len() < number {
        let step = TRIED.fetch_add(1, Ordering::Relaxed);
        let port = (std::process::id() * PORT_STRIDE + step) % PORTS + FIRST_PORT;
        held.extend(TcpListener::bind((Ipv4Addr::LOCALHOST, port as u16)));
    }
    held.iter().filter_map(|listener| listener.local_addr().ok()).collect()
}

/// A child process that is killed when this is dropped.
#[derive(Debug)]
pub struct Program {
    name: String,
    child: Child,
}

/// A signal for a child process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Asks for a planned stop.
    Term,
    /// Freezes the process.
    Stop,
    /// Lets a frozen process go on.
    Cont,
    /// Ends the process at once.
    Kill,
}

impl Signal {
    fn as_str(self) -> &'static str {
        match self {
            Self::Term => "TERM",
            Self::Stop => "STOP",
            Self::Cont => "CONT",
            Self::Kill => "KILL",
        }
    }
}

impl Program {
    /// Starts `program` with `args`; its output is dropped, its errors are shown.
    pub fn start(program: &Path, args: &[&str]) -> Result<Self, StandInError> {
        let name = program.display().to_string();
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .context(StartSnafu { program: &name })?;
        Ok(Self { name, child })
    }

    /// Returns the number that the system gave the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this process alone.
    pub fn signal(&self, signal: Signal) -> Result<(), StandInError> {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", signal.as_str(), &pid]).status();
        sent.context(StartSnafu { program: "kill" }).map(drop)
    }

    /// Waits for the process to end by itself, for at most `cap`.
    pub async fn wait(&mut self, cap: Duration) -> Result<ExitStatus, StandInError> {
        let due = Instant::now() + cap;
        loop {
            let ended = self.child.try_wait().context(StartSnafu { program: &self.name })?;
            if let Some(status) = ended {
                return Ok(status);
            }
            if Instant::now() >= due {
                return Err(self.not_ready(cap));
            }
            tokio::time::sleep(POLL).await;
        }
    }

    fn not_ready(&self, waited: Duration) -> StandInError {
        StandInError::NotReady { program: self.name.clone(), waited_s: waited.as_secs() }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // A process that has ended by itself can neither be killed nor waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Looks at `condition` until it holds, for at most `cap`.
pub async fn wait_until(
    what: &str,
    cap: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> Result<(), StandInError> {
    let due = Instant::now() + cap;
    while !condition().await {
        if Instant::now() >= due {
            return Err(StandInError::NotReady {
                program: what.to_owned(),
                waited_s: cap.as_secs(),
            });
        }
        tokio::time::sleep(POLL).await;
    }
    Ok(())
}
