//! Compares escrow policies: `cargo run --release -p zinnia-cell --example cell_escrow`.
//!
//! Five domains, one team. A round is one decision of each acting owner. `wait` is the number of
//! rounds from a change of demand or limit until all that fits runs; `unmet` is the demand that
//! would have fitted but did not run, `starved` what ran below both the demand and the equal share
//! of a domain, both summed over the rounds, in thousandths of the first limit.

mod rounds;

use rounds::LIMIT;
use rounds::NEVER;
use zinnia_cell::escrow;

fn main() {
    println!(
        "{:<26} {:<12} {:>7} {:>7} {:>6} {:>8} {:>8} {:>8} {:>8}",
        "load", "policy", "changes", "never", "wait", "commands", "refused", "unmet", "starved"
    );
    for load in rounds::loads() {
        let policies = [
            (
                "demand",
                escrow::demand_policy(escrow::PolicySettings::default()),
            ),
            ("equal split", escrow::equal_split_policy()),
        ];
        for (name, policy) in policies {
            let Some(outcome) = rounds::run(&load, &policy) else {
                continue;
            };
            let met = outcome.waits.iter().filter(|&&wait| wait != NEVER);
            println!(
                "{:<26} {name:<12} {:>7} {:>7} {:>6} {:>8} {:>8} {:>8} {:>8}",
                load.name,
                outcome.waits.len(),
                outcome.waits.iter().filter(|&&wait| wait == NEVER).count(),
                met.max().map_or_else(|| "-".to_owned(), u64::to_string),
                outcome.commands,
                outcome.refused,
                outcome.unmet * 1_000 / LIMIT,
                outcome.starved * 1_000 / LIMIT
            );
        }
    }
}
