//! The daemon that runs beside the upstream in each VM.

use std::io::Write as _;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use endivescale::process::daemon::Daemon;
use endivescale::process::daemon::Interfaces;
use endivescale::process::daemon::LAST_LINES_TIME;
use endivescale::process::daemon::StartError;
use endivescale::process::log;
use endivescale::process::log::LogError;
use endivescale::process::log::StateChange;
use endivescale::process::settings::AdapterKind;
use endivescale::process::settings::Settings;
use endivescale::process::settings::SettingsError;
use endivescale_platform::Store;
use endivescale_platform::StoreDialect;
use endivescale_platform::StoreOptions;
use getopts::Options;
use rustix::process::Signal;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Number of threads that serve requests. The daemon can use only part of a small
/// VM's cores, and with more threads, waking one another costs CPU time.
const WORKER_THREADS: usize = 2;

/// Interval at which the settings file is read again, because it may change
/// without a signal. The settings that take effect without a restart limit load
/// over minutes, so a delay of seconds is short enough.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Longest wait for standard error to take the error that ends the process.
const PRINT_TIMEOUT: Duration = Duration::from_millis(100);

/// Error that makes the daemon exit with a failure.
#[derive(Debug, Snafu)]
enum RunError {
    #[snafu(display("{source}\nHint: endivescaled --settings FILE"))]
    Usage { source: getopts::Fail },
    #[snafu(display("no settings file given\nHint: endivescaled --settings FILE"))]
    NoSettings,
    #[snafu(display("{source}\nHint: 'endivescale check FILE' lists every fault of the file"))]
    Settings { source: SettingsError },
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime { source: std::io::Error },
    #[snafu(display("{source}: {}", snafu::ErrorCompat::iter_chain(source).last().map_or_else(String::new, ToString::to_string)))]
    Start { source: StartError },
    #[snafu(display("cannot set up logging: {source}"))]
    Log { source: LogError },
    #[snafu(display(
        "{cut_off} requests were cut off\nHint: increase stop.patience in the settings"
    ))]
    CutOff { cut_off: usize },
    #[snafu(display("cannot wait for signals: {source}"))]
    Signal { source: std::io::Error },
}

fn main() -> ExitCode {
    let result = run();
    log::close(LAST_LINES_TIME);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            print_error(err);
            ExitCode::FAILURE
        }
    }
}

/// Prints why the process ends, unless standard error doesn't take it in time.
fn print_error(err: RunError) {
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        // Without standard error, the exit code is all that is left to tell.
        let _ = writeln!(std::io::stderr(), "endivescaled: {err}");
        let _ = tx.send(());
    });
    let _ = rx.recv_timeout(PRINT_TIMEOUT);
}

fn run() -> Result<(), RunError> {
    let mut opts = Options::new();
    opts.optopt("", "settings", "settings of this daemon, in TOML", "FILE");
    opts.optflag("h", "help", "print this help");
    let matches = opts.parse(std::env::args().skip(1)).context(UsageSnafu)?;
    if matches.opt_present("help") {
        print!("{}", opts.usage("Usage: endivescaled --settings FILE"));
        return Ok(());
    }
    let Some(file) = matches.opt_str("settings") else { return NoSettingsSnafu.fail() };
    let settings = Settings::load(Path::new(&file)).context(SettingsSnafu)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime.block_on(serve(Path::new(&file), settings))
}

/// Reads the settings file again. If the file cannot be used, the settings in
/// force stay, and the error is logged, but not again while it stays the same.
fn reload(file: &Path, daemon: &mut Daemon, last_error: &mut Option<String>) {
    match Settings::load(file) {
        Ok(settings) => {
            *last_error = None;
            daemon.reload(&settings);
        }
        Err(err) => {
            let error = err.to_string();
            if last_error.as_ref() != Some(&error) {
                log::write(&StateChange::SettingsRefused { error: error.clone() });
                *last_error = Some(error);
            }
        }
    }
}

/// Returns the interfaces to the platform that the settings name, or the
/// project's own if they name none.
fn interfaces(settings: &Settings) -> Interfaces {
    let Some(adapter) = &settings.adapter else { return Interfaces::default() };
    match adapter.platform {
        AdapterKind::Store => {
            let store = Store::new(StoreOptions {
                address: settings.platform.address,
                zones: adapter.zones.clone(),
                peer_port: settings.listen.peer.port(),
                control_port: settings.listen.control.unwrap_or(settings.listen.peer).port(),
            });
            Interfaces { dialect: Arc::new(StoreDialect), catalog: Some(Arc::new(store)) }
        }
    }
}

async fn serve(file: &Path, settings: Settings) -> Result<(), RunError> {
    // Without a handler, this signal would end the process when a file that takes the log has
    // reached the limit of its size.
    let file_size = SignalKind::from_raw(Signal::XFSZ.as_raw());
    let _file_size = signal(file_size).context(SignalSnafu)?;
    log::init(settings.log.level).context(LogSnafu)?;
    spdlog::info!("event=settings toml={:?}", settings.to_string());
    let interfaces = interfaces(&settings);
    // Installed before the daemon starts: without handlers, these signals would
    // terminate the process at once.
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalSnafu)?;
    let mut daemon = Daemon::start_with(settings, interfaces).await.context(StartSnafu)?;
    let node = Arc::clone(daemon.node());
    let mut last_error = None;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            () = node.lifecycle.wait_leaving() => break,
            _ = hangup.recv() => {}
            () = tokio::time::sleep(RELOAD_INTERVAL) => {}
        }
        reload(file, &mut daemon, &mut last_error);
    }
    match daemon.stop().await {
        0 => Ok(()),
        cut_off => CutOffSnafu { cut_off }.fail(),
    }
}
