//! Functions that take samples, and a report of their medians and spread.

use std::fs;
use std::hint::black_box;
use std::thread;
use std::time::Instant;

use crate::HEAP;

/// Minimum CPU time of a batch of repeated calls, which averages out cache effects.
const MIN_BATCH_NANOS: f64 = 60_000_000.0;

/// A measured quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Short id by which `docs/CAPACITY.md` refers to the measurement.
    pub id: &'static str,
    /// Description of the measurement.
    pub name: &'static str,
    /// Unit of the size.
    pub size_unit: &'static str,
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

/// All samples taken, grouped by metric and size.
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

    /// Returns the median at `size`, or NaN if nothing was measured.
    pub fn median(&self, metric: Metric, size: u32) -> f64 {
        self.rows
            .iter()
            .find(|row| row.metric == metric && row.size == size)
            .map_or(f64::NAN, Row::median)
    }

    /// Returns the median at the largest size, divided by that size; NaN if nothing was measured.
    pub fn per_unit(&self, metric: Metric) -> f64 {
        let rows = self.rows_of(metric);
        rows.last()
            .map_or(f64::NAN, |row| row.median() / f64::from(row.size))
    }

    /// Returns the median at the largest size, or NaN if nothing was measured.
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

    /// Prints all rows as a Markdown table; the last column is the ratio to the previous size.
    pub fn print(&self) {
        println!("| id | measurement | size | median | unit | least–most | runs | ratio |");
        println!("|---|---|---:|---:|---|---|---:|---:|");
        let mut seen: Vec<Metric> = Vec::new();
        for row in &self.rows {
            if seen.contains(&row.metric) {
                continue;
            }
            seen.push(row.metric);
            let mut previous: Option<f64> = None;
            for row in self.rows_of(row.metric) {
                print_row(row, previous);
                previous = Some(row.median());
            }
        }
    }
}

fn print_row(row: &Row, previous: Option<f64>) {
    let sorted = row.sorted();
    let median = row.median();
    let ratio = previous
        .filter(|previous| *previous > 0.0)
        .map_or("–".to_owned(), |previous| {
            format!("{:.2}", median / previous)
        });
    println!(
        "| {} | {} | {} {} | {} | {} | {}–{} | {} | {ratio} |",
        row.metric.id,
        row.metric.name,
        row.size,
        row.metric.size_unit,
        format_figure(median),
        row.metric.unit,
        format_figure(sorted[0]),
        format_figure(sorted[sorted.len() - 1]),
        sorted.len(),
    );
}

/// Formats a number with about three significant digits.
pub fn format_figure(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 1e9 {
        format!("{:.2}e9", value / 1e9)
    } else if magnitude >= 100.0 {
        format!("{value:.0}")
    } else if magnitude >= 10.0 {
        format!("{value:.1}")
    } else if magnitude >= 0.1 {
        format!("{value:.2}")
    } else {
        format!("{value:.4}")
    }
}

/// Returns the CPU time of the calling thread in nanoseconds.
///
/// Unlike wall time, CPU time is not increased by other work on the machine.
fn thread_cpu_nanos() -> f64 {
    // The kernel accounts for the up to 4 ms since the last tick only when the thread yields.
    thread::yield_now();
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    first
        .and_then(|nanos| nanos.parse().ok())
        .expect("the kernel provides CPU time per thread")
}

/// Returns the CPU time of all live threads of the process in nanoseconds.
pub fn process_cpu_nanos() -> f64 {
    let tasks = fs::read_dir("/proc/self/task").expect("the threads of the process can be listed");
    tasks
        .flatten()
        .filter_map(|task| fs::read_to_string(task.path().join("schedstat")).ok())
        .filter_map(|text| text.split_whitespace().next()?.parse::<f64>().ok())
        .sum()
}

/// Returns the mean CPU nanoseconds per call; `operation` is repeated until the batch takes long
/// enough.
pub fn nanos_per_call<T>(mut operation: impl FnMut() -> T) -> f64 {
    let start = thread_cpu_nanos();
    let mut calls = 0_u32;
    let mut step = 1_u32;
    loop {
        for _ in 0..step {
            black_box(operation());
        }
        calls += step;
        let spent = thread_cpu_nanos() - start;
        if spent >= MIN_BATCH_NANOS {
            return spent / f64::from(calls);
        }
        step = step.saturating_mul(2).min(1 << 16);
    }
}

/// Returns the result and CPU nanoseconds of a single call, for operations that can't be repeated.
pub fn nanos_once<T>(operation: impl FnOnce() -> T) -> (T, f64) {
    let start = thread_cpu_nanos();
    let result = operation();
    (result, thread_cpu_nanos() - start)
}

/// Returns the result and wall time in seconds of one call, for work that waits for I/O.
pub fn wall_seconds<T>(operation: impl FnOnce() -> T) -> (T, f64) {
    let start = Instant::now();
    let result = operation();
    (result, start.elapsed().as_secs_f64())
}

/// Returns the result of `build` and the heap bytes that it holds, without allocator overhead.
pub fn heap_bytes<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let before = HEAP.stats();
    let result = build();
    let change = HEAP.stats() - before;
    let held = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    (result, held)
}
