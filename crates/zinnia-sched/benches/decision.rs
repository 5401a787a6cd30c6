//! Benchmarks one round of decisions on a full cell: a task ends, its capacity is allocated again,
//! and a new job is submitted.

mod load;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use load::LoadedCell;

fn decisions(c: &mut Criterion) {
    for size in [load::SMALL_CELL, load::LARGE_CELL] {
        let Ok(mut cell) = LoadedCell::new(size, 1) else {
            continue;
        };
        let name = format!("end, place and submit at {} workers", size.workers);
        c.bench_function(&name, |b| {
            b.iter(|| {
                cell.end_random_task();
                cell.submit_job().is_ok()
            });
        });
        println!(
            "{} running, {} queued",
            cell.running(),
            cell.scheduler.queued()
        );
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
