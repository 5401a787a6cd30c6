//! Reports the wall time of decisions and the number of workers examined, on a small and a large
//! full cell.
//!
//! `cargo run --release -p zinnia-sched --example cost`

#[path = "../benches/load/mod.rs"]
mod load;

use std::time::Instant;

use load::CellSize;
use load::LoadedCell;
use zinnia_types::NameError;

const ROUNDS: usize = 20_000;

fn main() -> Result<(), NameError> {
    println!(
        "workers running queued | starts  p50_us  p99_us  max_us per_s | workers examined/search"
    );
    for size in [load::SMALL_CELL, load::LARGE_CELL] {
        measure(size, 0)?;
    }
    println!("while 10,000 jobs are being cancelled:");
    measure(load::LARGE_CELL, 10_000)
}

/// Ends random tasks one by one and times each step, including the starts that follow.
fn measure(size: CellSize, cancelled: usize) -> Result<(), NameError> {
    let mut cell = LoadedCell::new(size, 1)?;
    let (running, queued) = (cell.running(), cell.scheduler.queued());
    let before = cell.scheduler.counters();
    let mut times = Vec::new();
    let mut starts = 0;
    let rounds = if cancelled > 0 { 200 } else { ROUNDS };
    let begin = Instant::now();
    cell.cancel_newest(cancelled);
    let cancel = begin.elapsed();
    for round in 0..rounds {
        let begin = Instant::now();
        starts += cell.end_random_task();
        times.push(begin.elapsed().as_secs_f64() * 1e6);
        if cancelled == 0 {
            cell.submit_job()?;
        }
        if round % 1_000 == 999 {
            let begin = Instant::now();
            cell.tick();
            times.push(begin.elapsed().as_secs_f64() * 1e6);
        }
    }
    let after = cell.scheduler.counters();
    let sum: f64 = times.iter().sum();
    times.sort_by(f64::total_cmp);
    let at = |q: f64| times[((times.len() - 1) as f64 * q) as usize];
    let searches = (after.searches - before.searches).max(1);
    let per = (after.examined - before.examined) as f64 / searches as f64;
    println!(
        "{:7} {running:7} {queued:6} | {starts:6} {:7.1} {:7.1} {:7.1} {:5.0} | {per:.1}",
        size.workers,
        at(0.5),
        at(0.99),
        at(1.0),
        starts as f64 / sum * 1e6,
    );
    if cancelled > 0 {
        println!("cancelling took {cancel:?}");
    }
    Ok(())
}
