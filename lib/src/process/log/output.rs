//! Standard output as a place for log lines that no request ever waits for.

use std::io;
use std::io::Write;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Condvar;
use parking_lot::Mutex;
use snafu::ResultExt as _;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::ThreadPool;
use spdlog::error::Error as SpdlogError;
use spdlog::error::SendToChannelErrorDropped;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::AsyncPoolSink;
use spdlog::sink::OverflowPolicy;
use spdlog::sink::Sink;
use spdlog::sink::WriteSink;

use super::LogError;
use super::OutputSnafu;
use super::SetUpSnafu;

/// Most lines that wait to be written; further ones are dropped.
pub const QUEUE_LINES: NonZeroUsize = NonZeroUsize::new(512).unwrap();
/// Pause between two tries to reach the end of a full queue.
const FLUSH_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// How many log lines of this process were never written, since it started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LostLines {
    /// Lines that were dropped because the output did not take the ones before them.
    pub dropped: u64,
    /// Lines whose write failed.
    pub failed: u64,
}

/// Writes log lines on a thread of its own.
///
/// Whoever reads the output may stop at any time. The threads that answer requests must not
/// wait for it, so lines are dropped and counted while it takes none; see
/// `docs/design/log-output.md`.
pub struct LogOutput {
    logger: Arc<Logger>,
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    dropped: AtomicU64,
    failed: AtomicU64,
    flushes: Mutex<u64>,
    flushed: Condvar,
}

/// Tells when the lines before a flush were written.
struct FlushNotifier<W> {
    out: W,
    counts: Arc<Counts>,
}

impl<W: Write> Write for FlushNotifier<W> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.out.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        let result = self.out.flush();
        *self.counts.flushes.lock() += 1;
        self.counts.flushed.notify_all();
        result
    }
}

/// Standard output without the lock and the buffer of [`io::Stdout`], for which the end of the
/// process would wait.
///
/// It is written by its own descriptor: a platform may tell by that what is a log.
struct UnbufferedStdout;

impl Write for UnbufferedStdout {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        Ok(rustix::io::write(io::stdout(), buf)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogOutput {
    /// Creates an output that writes to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the logging library rejects the configuration or its thread cannot be started.
    pub fn new(out: impl Write + Send + 'static, levels: LevelFilter) -> Result<Self, LogError> {
        let line = pattern!(
            "time={year}-{month}-{day}T{hour}:{minute}:{second}.{millisecond} \
             level={level} {payload}{eol}"
        );
        let counts = Arc::new(Counts::default());
        let writer: Arc<dyn Sink> = WriteSink::builder()
            .target(FlushNotifier { out, counts: Arc::clone(&counts) })
            .formatter(PatternFormatter::new(line))
            .build_arc()
            .context(SetUpSnafu)?;
        let thread = ThreadPool::builder().capacity(QUEUE_LINES).build_arc().context(SetUpSnafu)?;
        let on_write_error = Arc::clone(&counts);
        let queue = AsyncPoolSink::builder()
            .sink(writer)
            .thread_pool(thread)
            .overflow_policy(OverflowPolicy::DropIncoming)
            .error_handler(move |_: SpdlogError| {
                on_write_error.failed.fetch_add(1, Ordering::Relaxed);
            })
            .build_arc()
            .context(SetUpSnafu)?;
        let on_drop = Arc::clone(&counts);
        let logger = Logger::builder()
            .sink(queue)
            .level_filter(levels)
            .flush_level_filter(LevelFilter::Off)
            .error_handler(move |err: SpdlogError| {
                if let SpdlogError::SendToChannel(_, SendToChannelErrorDropped::Record(_)) = err {
                    on_drop.dropped.fetch_add(1, Ordering::Relaxed);
                }
            })
            .build_arc()
            .context(SetUpSnafu)?;
        Ok(Self { logger, counts })
    }

    /// Creates an output that writes to the standard output of this process.
    pub(super) fn stdout(levels: LevelFilter) -> Result<Self, LogError> {
        rustix::io::fcntl_getfd(io::stdout()).map_err(io::Error::from).context(OutputSnafu)?;
        Self::new(UnbufferedStdout, levels)
    }

    /// Returns the logger that writes here.
    pub fn logger(&self) -> &Arc<Logger> {
        &self.logger
    }

    /// Returns how many lines were lost so far.
    pub fn lost_lines(&self) -> LostLines {
        LostLines {
            dropped: self.counts.dropped.load(Ordering::Relaxed),
            failed: self.counts.failed.load(Ordering::Relaxed),
        }
    }

    /// Waits until the lines so far were written, for at most `limit`; returns whether they
    /// were.
    pub fn flush(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let mut flushes = self.counts.flushes.lock();
        let before = *flushes;
        while *flushes == before {
            if Instant::now() >= end {
                return false;
            }
            // Does nothing while the queue is full.
            self.logger.flush();
            let pause = Instant::now() + FLUSH_RETRY_PAUSE;
            self.counts.flushed.wait_until(&mut flushes, end.min(pause));
        }
        true
    }
}

/// The output of this process, once [`super::init`] was called.
pub(super) static OUTPUT: OnceLock<LogOutput> = OnceLock::new();
