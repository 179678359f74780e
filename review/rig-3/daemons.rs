//! Machines with the project's daemon, started with the command of the deploy file, and an instance.

use std::ffi::c_int;
use std::ffi::c_ulong;
use std::fs::File;
use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt as _;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::dark::DarkHost;
use crate::http;
use crate::instance::Instance;
use crate::record::Record;

const ZONES: [&str; 3] = ["ulaanbaatar-a", "khovd-a", "choibalsan-a"];
const PROGRAM: &str = "target/release/endivescaled";
/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Longest time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(100);

/// The processes that were started, by which they are ended if the case takes too long.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Set before the processes are ended, so that none is started again.
static IS_ENDING: AtomicBool = AtomicBool::new(false);

extern "C" {
    fn prctl(option: c_int, ...) -> c_int;
}
const PR_SET_PDEATHSIG: c_int = 1;
const SIGKILL: c_ulong = 9;

/// Starts a daemon with the command of the deploy file. It ends with this process, however that
/// ends.
fn spawn(settings: &Path, log: &Path) -> std::io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new(PROGRAM);
    let end_with_parent = || {
        // SAFETY: the call takes no pointers.
        match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
            0 => Ok(()),
            _ => Err(std::io::Error::last_os_error()),
        }
    };
    // SAFETY: the closure makes one system call and allocates nothing.
    unsafe { command.pre_exec(end_with_parent) };
    command
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Starts a daemon again whenever it has ended by itself, as the platform does.
fn restart(number: usize, daemon: &Mutex<Child>, settings: &Path, log: &Path, record: &Record) {
    loop {
        std::thread::sleep(Duration::from_millis(100));
        let ended = daemon.lock().unwrap().try_wait();
        let Ok(Some(status)) = ended else { continue };
        if IS_ENDING.load(Ordering::SeqCst) {
            return;
        }
        record.add(&format!("daemon {number} has ended by itself: {status}"));
        std::thread::sleep(RESTART_DELAY);
        let mut daemon = daemon.lock().unwrap();
        if IS_ENDING.load(Ordering::SeqCst) {
            return;
        }
        if let Ok(started) = spawn(settings, log) {
            *daemon = started;
            record.add(&format!("daemon {number} is started again"));
        }
    }
}

/// Ends the processes that were started, and this one, if the case takes too long.
pub fn watch_time() {
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        IS_ENDING.store(true, Ordering::SeqCst);
        for daemon in STARTED.lock().unwrap().iter() {
            let _ = daemon.lock().unwrap().kill();
        }
        eprintln!("the case took longer than {TIME_LIMIT:?}");
        std::process::exit(2);
    });
}

/// Ports of a machine, the same on all machines.
struct Ports([u16; 6]);

pub struct Machine {
    pub instance: Arc<Instance>,
    pub outbound: SocketAddr,
    pub service: &'static str,
    zone: &'static str,
    ready: SocketAddr,
    daemon: Arc<Mutex<Child>>,
}

/// The machines of a deployment; its processes and files end with it.
pub struct Deployment {
    pub machines: Vec<Machine>,
    record: Arc<Record>,
    ports: Ports,
    folder: PathBuf,
    store: SocketAddr,
    network: u8,
    dark_hosts: Vec<DarkHost>,
}

impl Deployment {
    pub fn new(store: SocketAddr, record: &Arc<Record>) -> Result<Self, String> {
        let problem = |err: std::io::Error| err.to_string();
        let listeners: Result<Vec<TcpListener>, _> =
            (0..6).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
        let mut ports = [0; 6];
        for (port, listener) in ports.iter_mut().zip(listeners.map_err(problem)?) {
            *port = listener.local_addr().map_err(problem)?.port();
        }
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("endivescale-case-{id}"));
        std::fs::create_dir_all(&folder).map_err(problem)?;
        let network = (id % 200) as u8 + 20;
        let record = Arc::clone(record);
        Ok(Self {
            machines: Vec::new(),
            record,
            ports: Ports(ports),
            folder,
            store,
            network,
            dark_hosts: Vec::new(),
        })
    }

    /// Starts a machine with an instance of a service.
    pub fn add(&mut self, service: &'static str, work: Duration) -> Result<usize, String> {
        let number = self.machines.len();
        let zone = ZONES[number % ZONES.len()];
        let ip = Ipv4Addr::new(127, 77, self.network, number as u8 + 1);
        let at = |port| SocketAddr::from((ip, port));
        let [inbound, outbound, ready, operator, control, app] = self.ports.0;
        let id = format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_add(number as u32 * 0x0101));
        let instance = Instance::start(&id, at(app), work, &self.record);
        let instance = instance.map_err(|err| format!("instance: {err}"))?;
        let settings = format!(
            "repeats.ratio = 0.2\nrepeats.slack = 47\nrepeats.window = \"10s\"\n\
             repeats.first_start = true\nresources.memory_mb = 260\nresources.descriptors = 4100\n\
             stop.patience = \"6s\"\n\n\
             [daemon]\ninstance = \"sidecar-{zone}-{number}\"\nservice = \"{service}\"\n\
             zone = \"{zone}\"\nregion = \"central\"\n\n\
             [listen]\ncaller = \"{}\"\npeer = \"{}\"\noperator = \"{}\"\ncontrol = \"{}\"\n\n\
             [upstream]\naddress = \"{}\"\n\n[platform]\naddress = \"{}\"\n\n\
             [adapter]\nplatform = \"store\"\nready = \"{}\"\n\n\
             [adapter.zones]\n\"ulaanbaatar-a\" = \"central\"\n\"khovd-a\" = \"central\"\n\
             \"choibalsan-a\" = \"central\"\n",
            at(outbound),
            at(inbound),
            at(operator),
            at(control),
            at(app),
            self.store,
            at(ready)
        );
        let file = self.folder.join(format!("boot-{number}.conf"));
        std::fs::write(&file, settings).map_err(|err| err.to_string())?;
        let log = self.folder.join(format!("log-{number}"));
        let daemon = spawn(&file, &log).map_err(|err| format!("{PROGRAM}: {err}"))?;
        let daemon = Arc::new(Mutex::new(daemon));
        STARTED.lock().unwrap().push(Arc::clone(&daemon));
        let (restarted, record) = (Arc::clone(&daemon), Arc::clone(&self.record));
        std::thread::spawn(move || restart(number, &restarted, &file, &log, &record));
        let (outbound, ready) = (at(outbound), at(ready));
        self.machines.push(Machine { instance, outbound, service, zone, ready, daemon });
        Ok(number)
    }

    /// Returns what a machine's instance writes into the store.
    pub fn entry(&self, machine: usize, state: &str) -> (String, String) {
        let Machine { instance, service, zone, .. } = &self.machines[machine];
        let value = format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":43,"state":"{state}","cold_left":"0ms","seq":4,"born":{}}}"#,
            instance.address,
            1_760_000_000_000_u64 + machine as u64
        );
        (format!("servers/{}", instance.id), value)
    }

    /// Returns the keys and values of `count` entries by another writer in each zone: of a service
    /// that no configuration names, at hosts that do not answer.
    pub fn foreign_entries(&mut self, count: u8) -> std::io::Result<Vec<(String, String)>> {
        let [.., control, app] = self.ports.0;
        let mut entries = Vec::new();
        for (zone_number, zone) in ZONES.iter().enumerate() {
            for number in 1..=count {
                let ip = Ipv4Addr::new(127, 78 + zone_number as u8, self.network, number);
                self.dark_hosts.push(DarkHost::start(SocketAddr::from((ip, control)))?);
                let address = SocketAddr::from((ip, app));
                let value = format!(
                    r#"{{"service":"zeta77x","address":"{address}","zone":"{zone}","version":"v1","slots":43,"state":"ready","cold_left":"0ms","seq":4,"born":1760000000000}}"#
                );
                entries.push((format!("servers/z-{zone_number}-{number}"), value));
            }
        }
        Ok(entries)
    }

    /// Returns the key and value of an entry by another writer: of the service `wuno96b`, at the
    /// address of a machine's instance, without `seq` and `version`. Its key ends with a newline.
    pub fn named_entry(&self, machine: usize) -> (String, String) {
        let (_, value) = self.entry(machine, "ready");
        let value = value.replace(self.machines[machine].service, "wuno96b");
        let value = value.replace(r#""version":"v1","#, "").replace(r#","seq":4"#, "");
        (format!("servers/i-5c20d1e{machine}\n"), value)
    }

    /// Returns the key and value of an entry by another writer under a machine's name: of a
    /// service that no configuration names, at another port, which drains.
    pub fn agent_entry(&self, machine: usize) -> (String, String) {
        let Machine { instance, service, zone, .. } = &self.machines[machine];
        let (_, value) = self.entry(machine, "draining");
        let address = SocketAddr::from((instance.address.ip(), 9100));
        let value = value.replace(service, "node-agent");
        let value = value.replace(&instance.address.to_string(), &address.to_string());
        (format!("servers/sidecar-{zone}-{machine}"), value)
    }

    /// Waits until all daemons say that they are ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(20);
        for number in 0..self.machines.len() {
            while !is_ready(self.machines[number].ready) {
                if let Ok(Some(status)) = self.machines[number].daemon.lock().unwrap().try_wait() {
                    return Err(format!("daemon {number} has ended: {status}"));
                }
                if Instant::now() >= end {
                    return Err(format!("daemon {number} isn't ready"));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Adds the lines of the daemons' logs that contain one of some words to the record.
    pub fn record_logs(&self, words: &[&str]) {
        for number in 0..self.machines.len() {
            let log = std::fs::read_to_string(self.folder.join(format!("log-{number}")));
            for line in log.unwrap_or_default().lines() {
                if words.iter().any(|word| line.contains(word)) {
                    let line: String = line.chars().take(300).collect();
                    self.record.add(&format!("log of daemon {number}: {line}"));
                }
            }
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        IS_ENDING.store(true, Ordering::SeqCst);
        for machine in &self.machines {
            let mut daemon = machine.daemon.lock().unwrap();
            let _ = daemon.kill();
            let _ = daemon.wait();
            machine.instance.end();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let answer = http::read(&mut BufReader::new(stream))?;
        Ok(answer.is_some_and(|answer| answer.second() == "200"))
    };
    ask().unwrap_or(false)
}
