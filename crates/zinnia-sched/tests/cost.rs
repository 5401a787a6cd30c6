//! Bounds on the number of workers examined per decision. The cost example reports wall times.

#[path = "../benches/load/mod.rs"]
mod load;

use load::CellSize;
use load::LoadedCell;

/// Upper bound on the workers examined in one search, for any size of cell: two searches of 96
/// workers each, 16 backfill candidates in each, and the workers of 12 racks.
const MAX_EXAMINED: u64 = 2 * (96 + 16) + 12 * 5;

struct DecisionCost {
    mean_examined: f64,
    max_examined: u64,
    mean_compared: f64,
}

/// Ends random tasks one by one on a full cell and measures the cost of the decisions.
fn measure_cost(size: CellSize, cancelled: usize) -> DecisionCost {
    let cell = LoadedCell::new(size, 7);
    assert!(cell.is_ok(), "a generated name is invalid");
    let Ok(mut cell) = cell else {
        unreachable!();
    };
    cell.cancel_newest(cancelled);
    let begin = cell.scheduler.counters();
    let mut max_examined = 0;
    let mut start_count = 0;
    let rounds = 600;
    for _ in 0..rounds {
        let before = cell.scheduler.counters();
        start_count += cell.end_random_task();
        let after = cell.scheduler.counters();
        if after.searches > before.searches {
            let per_search =
                (after.examined - before.examined) / (after.searches - before.searches);
            max_examined = max_examined.max(per_search);
        }
        if cancelled == 0 {
            assert!(cell.submit_job().is_ok());
        }
    }
    assert!(start_count > 0, "no task was started");
    let end = cell.scheduler.counters();
    let searches = (end.searches - begin.searches).max(1);
    DecisionCost {
        mean_examined: (end.examined - begin.examined) as f64 / searches as f64,
        max_examined,
        mean_compared: (end.compared - begin.compared) as f64 / f64::from(rounds),
    }
}

/// Guards against a search that scans all workers, so that its cost grows with the cell.
#[test]
fn examined_workers_do_not_grow_with_the_cell() {
    let small = measure_cost(load::SMALL_CELL, 0);
    let large = measure_cost(load::LARGE_CELL, 0);
    for (name, cost) in [("small", &small), ("large", &large)] {
        println!(
            "{name}: {:.1} workers examined per search, at most {}, {:.1} lanes compared per event",
            cost.mean_examined, cost.max_examined, cost.mean_compared
        );
        assert!(
            cost.max_examined <= MAX_EXAMINED,
            "{name}: {} workers examined",
            cost.max_examined
        );
    }
    // The large cell has 34 times as many workers. Growth by a third of that is well below linear.
    let growth = large.mean_examined / small.mean_examined;
    assert!(
        growth < 34.0 / 3.0,
        "examined workers grow by a factor of {growth:.1}"
    );
}

/// Guards against a burst of cancellations that makes later decisions more expensive.
#[test]
fn cancellations_do_not_raise_decision_cost() {
    let baseline = measure_cost(load::LARGE_CELL, 0);
    let after_burst = measure_cost(load::LARGE_CELL, 10_000);
    println!(
        "baseline {:.1}, after the burst {:.1} workers examined per search",
        baseline.mean_examined, after_burst.mean_examined
    );
    assert!(after_burst.mean_examined <= 2.0 * baseline.mean_examined + 16.0);
}
