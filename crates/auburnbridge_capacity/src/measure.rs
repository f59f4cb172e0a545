//! Samples of each measurement, their median and spread, and the ways to take them.

use std::fs;
use std::hint::black_box;
use std::thread;
use std::time::Instant;

use crate::HEAP;

/// Shortest CPU time of a repeated operation, which averages out the effects of caches.
const BATCH_NANOS: f64 = 60_000_000.0;

/// Measured quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Short id by which the page refers to it.
    pub id: &'static str,
    /// What is measured.
    pub name: &'static str,
    /// What the size counts.
    pub of: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
}

#[derive(Debug)]
struct Row {
    metric: Metric,
    size: u32,
    samples: Vec<f64>,
}

impl Row {
    fn sorted(&self) -> Vec<f64> {
        let mut sorted = self.samples.clone();
        sorted.sort_by(f64::total_cmp);
        sorted
    }

    fn median(&self) -> f64 {
        let sorted = self.sorted();
        let middle = sorted.len() / 2;
        if sorted.len() % 2 == 1 {
            sorted[middle]
        } else {
            f64::midpoint(sorted[middle - 1], sorted[middle])
        }
    }
}

/// All samples that were taken.
#[derive(Debug, Default)]
pub struct Report {
    rows: Vec<Row>,
}

impl Report {
    /// Adds one sample.
    pub fn record(&mut self, metric: Metric, size: u32, value: f64) {
        let is_same = |row: &&mut Row| row.metric == metric && row.size == size;
        if let Some(row) = self.rows.iter_mut().find(is_same) {
            row.samples.push(value);
            return;
        }
        self.rows.push(Row {
            metric,
            size,
            samples: vec![value],
        });
    }

    /// Median at one size.
    pub fn median(&self, metric: Metric, size: u32) -> f64 {
        self.rows
            .iter()
            .find(|row| row.metric == metric && row.size == size)
            .map_or(f64::NAN, Row::median)
    }

    /// Median per unit of size, at the largest size.
    pub fn each(&self, metric: Metric) -> f64 {
        let rows = self.rows_of(metric);
        rows.last()
            .map_or(f64::NAN, |row| row.median() / f64::from(row.size))
    }

    /// Median at the largest size.
    pub fn largest(&self, metric: Metric) -> f64 {
        self.rows_of(metric)
            .last()
            .map_or(f64::NAN, |row| row.median())
    }

    fn rows_of(&self, metric: Metric) -> Vec<&Row> {
        let mut rows: Vec<&Row> = self
            .rows
            .iter()
            .filter(|row| row.metric == metric)
            .collect();
        rows.sort_by_key(|row| row.size);
        rows
    }

    /// Prints all rows as a Markdown table; the last column compares with the size before.
    pub fn print(&self) {
        println!("| id | measurement | size | median | unit | least–most | runs | ratio |");
        println!("|---|---|---:|---:|---|---|---:|---:|");
        let mut seen: Vec<Metric> = Vec::new();
        for row in &self.rows {
            if seen.contains(&row.metric) {
                continue;
            }
            seen.push(row.metric);
            let mut before: Option<f64> = None;
            for row in self.rows_of(row.metric) {
                print_row(row, before);
                before = Some(row.median());
            }
        }
    }
}

fn print_row(row: &Row, before: Option<f64>) {
    let sorted = row.sorted();
    let median = row.median();
    let ratio = before
        .filter(|before| *before > 0.0)
        .map_or("–".to_owned(), |before| format!("{:.2}", median / before));
    println!(
        "| {} | {} | {} {} | {} | {} | {}–{} | {} | {ratio} |",
        row.metric.id,
        row.metric.name,
        row.size,
        row.metric.of,
        figure(median),
        row.metric.unit,
        figure(sorted[0]),
        figure(sorted[sorted.len() - 1]),
        sorted.len(),
    );
}

/// A number with three significant digits.
pub fn figure(value: f64) -> String {
    let size = value.abs();
    if size >= 1e9 {
        format!("{:.2}e9", value / 1e9)
    } else if size >= 100.0 {
        format!("{value:.0}")
    } else if size >= 10.0 {
        format!("{value:.1}")
    } else if size >= 0.1 {
        format!("{value:.2}")
    } else {
        format!("{value:.4}")
    }
}

/// CPU time of the calling thread in nanoseconds.
///
/// CPU time is taken instead of wall time because other work on the machine does not add to it.
fn thread_cpu_nanos() -> f64 {
    // The kernel adds the time since the last tick of up to 4 ms only when the thread yields.
    thread::yield_now();
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    first
        .and_then(|nanos| nanos.parse().ok())
        .expect("the kernel accounts CPU time per thread")
}

/// CPU time of all threads of the process in nanoseconds.
pub fn process_cpu_nanos() -> f64 {
    let tasks = fs::read_dir("/proc/self/task").expect("the process lists its threads");
    tasks
        .flatten()
        .filter_map(|task| fs::read_to_string(task.path().join("schedstat")).ok())
        .filter_map(|text| text.split_whitespace().next()?.parse::<f64>().ok())
        .sum()
}

/// CPU nanoseconds of one operation; `operation` is called until a batch is long enough.
pub fn nanos_each<T>(mut operation: impl FnMut() -> T) -> f64 {
    let start = thread_cpu_nanos();
    let mut operations = 0_u32;
    let mut step = 1_u32;
    loop {
        for _ in 0..step {
            black_box(operation());
        }
        operations += step;
        let spent = thread_cpu_nanos() - start;
        if spent >= BATCH_NANOS {
            return spent / f64::from(operations);
        }
        step = step.saturating_mul(2).min(1 << 16);
    }
}

/// CPU nanoseconds of one call that can't be repeated.
pub fn nanos_once<T>(operation: impl FnOnce() -> T) -> (T, f64) {
    let start = thread_cpu_nanos();
    let result = operation();
    (result, thread_cpu_nanos() - start)
}

/// Wall time of one call in seconds, for work that waits for a disk or a socket.
pub fn wall_seconds<T>(operation: impl FnOnce() -> T) -> (T, f64) {
    let start = Instant::now();
    let result = operation();
    (result, start.elapsed().as_secs_f64())
}

/// Heap bytes that the result of `build` holds, without the allocator's own overhead.
pub fn heap_bytes<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let before = HEAP.stats();
    let result = build();
    let change = HEAP.stats() - before;
    let held = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    (result, held)
}
