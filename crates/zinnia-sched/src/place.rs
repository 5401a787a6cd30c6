//! Placement algorithms for single tasks.

use zinnia_types::Class;
use zinnia_types::Resources;

use crate::fleet::Fleet;
use crate::fleet::Worker;
use crate::policy::PlacementRequest;

/// Maximum number of fitting workers compared for one decision. Comparing more of them hardly
/// improves packing.
const MAX_COMPARED: usize = 12;
/// Maximum number of workers examined for one decision.
const MAX_EXAMINED: usize = 96;
/// Maximum number of racks examined for one task of a service.
const MAX_RACKS: usize = 12;

/// Places batch tasks and gangs by best fit, and spreads services over racks.
pub fn best_fit(fleet: &Fleet, req: &PlacementRequest<'_>) -> Option<usize> {
    if req.class == Class::Service {
        return spread_over_racks(fleet, req);
    }
    let mut best: Option<(f64, usize)> = None;
    let mut compared = 0;
    for slot in fleet
        .free_index
        .tightest_first(&req.need)
        .take(MAX_EXAMINED)
    {
        if !fleet.accepts(slot, req) {
            continue;
        }
        let score = stranding_score(&fleet.workers[slot], &req.need);
        if best.is_none_or(|(b, _)| score < b) {
            best = Some((score, slot));
        }
        compared += 1;
        if compared == MAX_COMPARED {
            break;
        }
    }
    best.map(|(_, slot)| slot)
        .or_else(|| fleet.find_backfill(req))
}

/// Score of a placement by the capacity it would strand; lowest is best. It counts the remaining
/// capacity, an imbalance between free CPU and memory, accelerators left without CPU or memory to
/// use them, and tasks without accelerators on accelerator workers.
fn stranding_score(worker: &Worker, need: &Resources) -> f64 {
    let left = worker.free().saturating_sub(need);
    let fraction = |free: u64, capacity: u64| {
        if capacity == 0 {
            0.0
        } else {
            free as f64 / capacity as f64
        }
    };
    let cpu = fraction(left.cpu, worker.capacity.cpu);
    let mem = fraction(left.mem, worker.capacity.mem);
    let gpu = fraction(left.gpu, worker.capacity.gpu);
    let stranded = (gpu - cpu.min(mem)).max(0.0);
    let misplaced = if need.gpu == 0 { gpu } else { 0.0 };
    cpu + mem + gpu + (cpu - mem).abs() + 2.0 * stranded + 4.0 * misplaced
}

/// The best-fitting worker among those whose racks run the fewest tasks of the job.
fn spread_over_racks(fleet: &Fleet, req: &PlacementRequest<'_>) -> Option<usize> {
    let racks = &fleet.rack_order;
    if racks.is_empty() {
        return None;
    }
    let start = (req.spread_seed % racks.len() as u64) as usize;
    let count = |slot: usize| {
        let rack = &fleet.workers[slot].rack;
        req.rack_counts.get(rack).copied().unwrap_or(0)
    };
    let mut best: Option<((u32, u64, f64), usize)> = None;
    let mut consider = |slot: usize| {
        if !fleet.accepts(slot, req) {
            return;
        }
        let worker = &fleet.workers[slot];
        // Services avoid accelerator workers unless they need accelerators.
        let gpu_mismatch = u64::from(req.need.gpu == 0 && worker.capacity.gpu > 0);
        // Services are packed within a rack. Spread over all its workers, they would leave
        // remainders too small for larger tasks.
        let rank = (
            count(slot),
            gpu_mismatch,
            stranding_score(worker, &req.need),
        );
        if best.is_none_or(|(b, _)| rank < b) {
            best = Some((rank, slot));
        }
    };
    for rack in racks
        .iter()
        .cycle()
        .skip(start)
        .take(MAX_RACKS.min(racks.len()))
    {
        for &slot in fleet.racks.get(rack).into_iter().flatten() {
            consider(slot);
        }
    }
    for slot in fleet
        .free_index
        .emptiest_first(&req.need)
        .take(MAX_EXAMINED / 2)
    {
        consider(slot);
    }
    best.map(|(_, slot)| slot)
        .or_else(|| fleet.find_backfill(req))
}

/// The first worker that accepts the task, in order of registration. Scans all workers; used as a
/// baseline for comparison.
pub fn first_fit(fleet: &Fleet, req: &PlacementRequest<'_>) -> Option<usize> {
    (0..fleet.workers.len()).find(|&slot| fleet.accepts(slot, req))
}
