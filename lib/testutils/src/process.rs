//! Programs of a run as child processes, on addresses found free.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::Range;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use parking_lot::Mutex;
use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::kill_process;
use rustix::process::prlimit;
use snafu::ResultExt;
use tokio::time::Instant;

use crate::error::SignalSnafu;
use crate::error::StandInError;
use crate::error::StartSnafu;

/// First port tried; the range lies below the ports of outgoing connections,
/// so that no connection takes a port before its listener is bound.
const FIRST_PORT: u32 = 12_000;

/// Number of ports in a block, which one process has to itself.
const BLOCK_PORTS: u32 = 50;

/// Number of blocks.
const BLOCKS: u32 = 400;

/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

static BLOCKS_HELD: Mutex<Blocks> =
    Mutex::new(Blocks { guards: Vec::new(), tried: 0, ports: 0..0 });

/// Blocks of ports that this process holds until it ends.
struct Blocks {
    /// Listeners on the first port of each block, which keep it from others.
    guards: Vec<TcpListener>,
    /// Blocks tried so far.
    tried: u32,
    /// Ports of the newest block that were not given out.
    ports: Range<u32>,
}

impl Blocks {
    fn next_port(&mut self) -> u32 {
        loop {
            if let Some(port) = self.ports.next() {
                return port;
            }
            let block = (std::process::id() + self.tried) % BLOCKS;
            self.tried += 1;
            let first = FIRST_PORT + block * BLOCK_PORTS;
            if let Ok(guard) = listen(first) {
                self.guards.push(guard);
                self.ports = first + 1..first + BLOCK_PORTS;
            }
        }
    }
}

fn listen(port: u32) -> std::io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port as u16))
}

/// Returns `number` loopback addresses that no other process gets from here
/// while this one runs.
///
/// They are not tried out by listening: a child that another thread starts at
/// that moment holds a copy of the listener until it runs its own program, and
/// the address would be in use for as long.
pub fn free_addrs(number: usize) -> Vec<SocketAddr> {
    let mut blocks = BLOCKS_HELD.lock();
    let ports = (0..number).map(|_| blocks.next_port() as u16);
    ports.map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port))).collect()
}

/// A child process that is killed when this is dropped.
#[derive(Debug)]
pub struct Program {
    name: String,
    child: Child,
}

/// A process that is frozen.
#[derive(Debug)]
pub struct Frozen {
    pid: Pid,
}

impl Drop for Frozen {
    fn drop(&mut self) {
        // A process that was killed meanwhile need not go on.
        let _ = kill_process(self.pid, rustix::process::Signal::CONT);
    }
}

/// A signal for a child process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Asks for a planned stop.
    Term,
    /// Says that the settings file has changed.
    Hup,
    /// Freezes the process.
    Stop,
    /// Lets a frozen process go on.
    Cont,
    /// Ends the process at once.
    Kill,
}

impl From<Signal> for rustix::process::Signal {
    fn from(signal: Signal) -> Self {
        match signal {
            Signal::Term => Self::TERM,
            Signal::Hup => Self::HUP,
            Signal::Stop => Self::STOP,
            Signal::Cont => Self::CONT,
            Signal::Kill => Self::KILL,
        }
    }
}

impl Program {
    /// Starts `program` with `args`; its output is dropped, its errors are shown.
    pub fn start(program: &Path, args: &[&str]) -> Result<Self, StandInError> {
        Self::start_into(program, args, Stdio::null())
    }

    /// Starts `program` with `args`; its output goes to `output`.
    pub fn start_into(
        program: &Path,
        args: &[&str],
        output: impl Into<Stdio>,
    ) -> Result<Self, StandInError> {
        let name = program.display().to_string();
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output)
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
        let pid = Pid::from_child(&self.child);
        let sent = kill_process(pid, signal.into()).map_err(std::io::Error::from);
        sent.context(SignalSnafu { program: &self.name })
    }

    /// Limits the descriptors that the process may have open.
    pub fn limit_descriptors(&self, count: u64) -> Result<(), StandInError> {
        let limit = Rlimit { current: Some(count), maximum: Some(count) };
        let set = prlimit(Some(Pid::from_child(&self.child)), Resource::Nofile, limit);
        set.map_err(std::io::Error::from).context(StartSnafu { program: &self.name })?;
        Ok(())
    }

    /// Freezes the process until what this returns is dropped, also if somebody else owns it then.
    pub fn freeze(&self) -> Result<Frozen, StandInError> {
        self.signal(Signal::Stop)?;
        Ok(Frozen { pid: Pid::from_child(&self.child) })
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
