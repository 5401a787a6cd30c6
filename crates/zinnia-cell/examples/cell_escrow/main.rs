//! Compares allotment policies: `cargo run --release -p zinnia-cell --example cell_escrow`.
//!
//! Simulates one team in five domains. In each round every acting owner decides once. Columns:
//!
//! - `changes`: changes of the demand or the limit.
//! - `never`: changes that were not met before the next one.
//! - `wait`: most rounds from a change until all demand that fits within the limit is served.
//! - `unmet`: demand that fits within the limit but was not served.
//! - `starved`: usage missing up to the smaller of demand and equal share of a domain.
//!
//! `unmet` and `starved` are sums over all rounds, in thousandths of the initial limit.

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
