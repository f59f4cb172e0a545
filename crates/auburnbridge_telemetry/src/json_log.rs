//! Logger that formats records on the thread that logs them and writes them on its own thread.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{Level, LevelFilter, Log, Metadata, Record, SetLoggerError};

use crate::encode_line;

/// Maximum time between two checks for dropped lines to report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Limits of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogOptions {
    /// Most verbose level that is written.
    pub level: LevelFilter,
    /// Maximum number of lines that wait to be written.
    pub queued_lines: usize,
    /// Maximum number of lines per second, not counting warnings and errors.
    pub lines_per_second: u64,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            queued_lines: 4_096,
            lines_per_second: 2_000,
        }
    }
}

/// Writes records as JSON lines. Logging never blocks: lines over the rate or without room in the
/// queue are dropped and counted.
pub struct JsonLogger {
    options: LogOptions,
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
    current_second: AtomicU64,
    lines_in_second: AtomicU64,
}

/// Installs a [`JsonLogger`] that writes to standard output.
///
/// Fails if the process already has a logger.
pub fn init(options: LogOptions) -> Result<(), SetLoggerError> {
    let (logger, lines) = JsonLogger::new(options);
    let dropped = Arc::clone(&logger.dropped);
    log::set_boxed_logger(Box::new(logger))?;
    log::set_max_level(options.level);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines, &dropped, io::stdout()))
        .expect(
            "can't start the log thread; a process that can't start a thread can't serve requests",
        );
    Ok(())
}

impl JsonLogger {
    /// Creates a logger and the receiving end of its queue of lines.
    pub fn new(options: LogOptions) -> (Self, Receiver<String>) {
        let (tx, rx) = sync_channel(options.queued_lines);
        let logger = Self {
            options,
            lines: tx,
            dropped: Arc::default(),
            current_second: AtomicU64::new(0),
            lines_in_second: AtomicU64::new(0),
        };
        (logger, rx)
    }

    /// Number of lines that were dropped since the last report.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Counts a line and returns whether it is within the rate. At the start of a second,
    /// concurrent lines may be miscounted, which is harmless.
    fn is_within_rate(&self, time: SystemTime) -> bool {
        let second = time
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs();
        if self.current_second.swap(second, Ordering::Relaxed) != second {
            self.lines_in_second.store(0, Ordering::Relaxed);
        }
        self.lines_in_second.fetch_add(1, Ordering::Relaxed) < self.options.lines_per_second
    }
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.options.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let time = SystemTime::now();
        if record.level() > Level::Warn && !self.is_within_rate(time) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        match self.lines.try_send(encode_line(record, time)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn flush(&self) {}
}

fn write_lines(lines: &Receiver<String>, dropped: &AtomicU64, out: impl Write) {
    let mut out = io::BufWriter::new(out);
    loop {
        match lines.recv_timeout(REPORT_INTERVAL) {
            Ok(line) => {
                let waiting = lines.try_iter();
                for line in std::iter::once(line).chain(waiting) {
                    // If standard output is closed, there is nowhere to report the error.
                    let _ = writeln!(out, "{line}");
                }
                let _ = out.flush();
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            log::warn!(count; "log lines dropped");
        }
    }
}
