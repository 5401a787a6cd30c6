//! Placement of single tasks.

use zinnia_types::Class;
use zinnia_types::Resources;

use crate::fleet::Fleet;
use crate::fleet::Worker;
use crate::policy::PlacementRequest;

/// Fitting candidates that are compared for one decision. More improves packing little.
const MAX_COMPARED: usize = 12;
/// Candidates examined for one decision before the search gives up.
const MAX_EXAMINED: usize = 96;
/// Racks examined for one task of a service.
const MAX_RACKS: usize = 12;

/// Best fit for batch work and gangs, spreading over racks for services.
pub fn best_fit(fleet: &Fleet, req: &PlacementRequest<'_>) -> Option<usize> {
    if req.class == Class::Service {
        return spread_over_racks(fleet, req);
    }
    let mut best: Option<(f64, usize)> = None;
    let mut fitting = 0;
    for slot in fleet.free_index.tight(&req.need).take(MAX_EXAMINED) {
        if !fleet.accepts(slot, req) {
            continue;
        }
        let score = stranding_score(&fleet.workers[slot], &req.need);
        if best.is_none_or(|(b, _)| score < b) {
            best = Some((score, slot));
        }
        fitting += 1;
        if fitting == MAX_COMPARED {
            break;
        }
    }
    best.map(|(_, slot)| slot)
        .or_else(|| fleet.find_backfill(req))
}

/// What a placement leaves behind that others can hardly use: uneven remainders, and accelerators
/// whose processor or memory is taken by work that needs no accelerator.
fn stranding_score(worker: &Worker, need: &Resources) -> f64 {
    let left = worker.free().saturating_sub(need);
    let part = |left: u64, all: u64| {
        if all == 0 {
            0.0
        } else {
            left as f64 / all as f64
        }
    };
    let cpu = part(left.cpu, worker.capacity.cpu);
    let mem = part(left.mem, worker.capacity.mem);
    let gpu = part(left.gpu, worker.capacity.gpu);
    let stranded = (gpu - cpu.min(mem)).max(0.0);
    let misplaced = if need.gpu == 0 { gpu } else { 0.0 };
    cpu + mem + gpu + (cpu - mem).abs() + 2.0 * stranded + 4.0 * misplaced
}

/// The worker that fits best in one of the racks that run the fewest tasks of the job.
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
    let mut offer = |slot: usize| {
        if !fleet.accepts(slot, req) {
            return;
        }
        let worker = &fleet.workers[slot];
        // Services keep off accelerator workers unless they need one.
        let wrong = u64::from(req.need.gpu == 0 && worker.capacity.gpu > 0);
        // Within a rack services are packed: a little of every worker taken by them would strand
        // remainders that larger tasks cannot use.
        let rank = (count(slot), wrong, stranding_score(worker, &req.need));
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
            offer(slot);
        }
    }
    for slot in fleet.free_index.loose(&req.need).take(MAX_EXAMINED / 2) {
        offer(slot);
    }
    best.map(|(_, slot)| slot)
        .or_else(|| fleet.find_backfill(req))
}

/// The first worker with room, in the order in which workers became known. It scans all workers
/// and serves as a baseline.
pub fn first_fit(fleet: &Fleet, req: &PlacementRequest<'_>) -> Option<usize> {
    (0..fleet.workers.len()).find(|&slot| fleet.accepts(slot, req))
}
