//! The logger: formats records where they are made and writes them on a thread of its own.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{Level, LevelFilter, Log, Metadata, Record, SetLoggerError};

use crate::encode_line;

/// Interval at which dropped lines are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogOptions {
    /// Least important level that is written.
    pub level: LevelFilter,
    /// Lines that may wait to be written.
    pub queued_lines: usize,
    /// Lines below the level of warnings that are written in a second.
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

/// Writes records as JSON lines without ever waiting.
pub struct JsonLogger {
    options: LogOptions,
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
    second: AtomicU64,
    in_second: AtomicU64,
}

/// Makes a [`JsonLogger`] on standard output the logger of the process.
pub fn init(options: LogOptions) -> Result<(), SetLoggerError> {
    let (logger, lines) = JsonLogger::new(options);
    let dropped = Arc::clone(&logger.dropped);
    log::set_boxed_logger(Box::new(logger))?;
    log::set_max_level(options.level);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines, &dropped, io::stdout()))
        .expect("a process that can't start a thread can't serve either");
    Ok(())
}

impl JsonLogger {
    /// Creates a logger and the queue of its lines.
    pub fn new(options: LogOptions) -> (Self, Receiver<String>) {
        let (tx, rx) = sync_channel(options.queued_lines);
        let logger = Self {
            options,
            lines: tx,
            dropped: Arc::default(),
            second: AtomicU64::new(0),
            in_second: AtomicU64::new(0),
        };
        (logger, rx)
    }

    /// Lines that were dropped since the last report.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Whether the line stays within the rate; lines counted twice at the turn of a second are
    /// harmless.
    fn is_within_rate(&self, time: SystemTime) -> bool {
        let second = time
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.in_second.store(0, Ordering::Relaxed);
        }
        self.in_second.fetch_add(1, Ordering::Relaxed) < self.options.lines_per_second
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
                    // Nobody is left to be told when standard output is closed.
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
