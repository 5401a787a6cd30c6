//! The upper limit of a team over all failure domains.

mod common;

use std::collections::BTreeMap;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use common::DOMAINS;
use common::Fleet;
use common::LIMIT;
use common::document;
use common::job;
use serde_json::json;
use zinnia_check::Event;
use zinnia_check::EventKind;
use zinnia_local::Cell;
use zinnia_types::Resources;
use zinnia_types::TeamId;

/// Limit at first, and after it is lowered.
const HIGH: u64 = 12_000;
const LOW: u64 = 6_000;
/// Tasks of each domain; enough that they outlast the faults on a slow machine.
const TASKS: usize = 60;

fn limit(cpu: u64) -> Resources {
    Resources {
        cpu,
        mem: 65_536,
        gpu: 0,
    }
}

impl Fleet {
    fn begun_in(&self, domains: &[&str]) -> usize {
        domains.iter().map(|d| self.begun(job(d))).sum()
    }

    async fn until_begun(&self, domains: &[&str], count: usize) -> Result<()> {
        let look = |_: &Cell| {
            let total = self.begun_in(domains);
            async move {
                ensure!(total >= count, "{total} of {count} tasks were started");
                Ok(true)
            }
        };
        self.cell.wait_until(LIMIT, "tasks start", look).await
    }

    /// Waits until the team has used all of its first limit at some moment.
    async fn until_full(&self, limits: &BTreeMap<TeamId, Resources>) -> Result<()> {
        let look = |cell: &Cell| {
            let most = peak(&cell.checker_events(limits));
            async move {
                ensure!(most >= HIGH, "{most} of {HIGH} were in use");
                Ok(true)
            }
        };
        self.cell
            .wait_until(LIMIT, "the limit is reached", look)
            .await
    }

    /// Cuts both VMs of a domain off from the others, but not from each other.
    fn isolate_domain(&self, first: usize) {
        let inside = |at: usize| at % 3 == first;
        for from in 0..self.cell.len() {
            for to in (0..self.cell.len()).filter(|&to| inside(to) != inside(from)) {
                self.cell.drop_link(from, to);
            }
        }
    }
}

/// Largest processor use of the team at any moment of a record.
fn peak(events: &[Event]) -> u64 {
    let mut running = BTreeMap::new();
    let mut peak = 0;
    for event in events {
        match &event.kind {
            EventKind::Started { attempt, need, .. } => {
                running.insert(*attempt, need.cpu);
            }
            EventKind::Ended { attempt, .. } => {
                running.remove(attempt);
            }
            _ => {}
        }
        peak = peak.max(running.values().sum());
    }
    peak
}

/// Guards against a sum over the domains above the limit: through an allotment that is used twice
/// after a takeover, by an isolated domain, or by two domains while it moves.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_sum_over_all_domains_stays_within_the_limit() -> Result<()> {
    let mut fleet = Fleet::start(common::settings(2), 2).await?;
    fleet
        .cell
        .apply_document(0, &document(limit(HIGH)), "high")
        .await?;
    let high = zinnia_worker::now();
    let red = "red".parse()?;
    let limits = BTreeMap::from([(red, limit(HIGH))]);
    for (at, domain) in DOMAINS.into_iter().enumerate() {
        let body = json!({"name": domain, "kind": "build", "tasks": TASKS, "domain": domain, "payload": {"run_ms": 500}});
        fleet.submit(at, &body).await?;
    }
    fleet.until_full(&limits).await?;
    fleet
        .cell
        .apply_document(2, &document(limit(LOW)), "low")
        .await?;
    let low = zinnia_worker::now();
    let begun = fleet.begun_in(&DOMAINS);
    fleet.until_begun(&DOMAINS, begun + 12).await?;
    let owner = fleet.owner(2, "east").await?;
    fleet.cell.kill_vm(owner).await;
    fleet.until_begun(&DOMAINS, begun + 24).await?;
    fleet.isolate_domain(1);
    let north = fleet.owner(1, "north").await?;
    let isolated = |cell: &Cell| {
        let client = cell.operator_client(north);
        async move { Ok(client.get("/v1/dump").await?["right"] == "isolated") }
    };
    fleet
        .cell
        .wait_until(LIMIT, "isolated mode", isolated)
        .await?;
    // East lost its owner, a voter: the cut leaves no quorum, and a domain with one VM left starts
    // nothing. The other two have to go on for as long as they have tasks.
    let able = fleet.begun_in(&DOMAINS[1..]);
    let goal = (able + 6).min(2 * TASKS);
    fleet.until_begun(&DOMAINS[1..], goal).await?;
    fleet.cell.restore_links();
    for domain in DOMAINS {
        fleet.ended(2, domain, &["done"]).await?;
    }
    let mut events = fleet.cell.checker_events(&limits);
    let lowered = EventKind::Limit {
        team: red,
        limit: limit(LOW),
    };
    events.push(Event::new(low.0, lowered));
    events.sort_by_key(|e| e.at);
    let before = events.iter().position(|e| e.at >= low).context("no end")?;
    ensure!(
        peak(&events[..before]) == HIGH,
        "the limit was never reached"
    );
    ensure!(high < low);
    common::check(events, &[])?;
    fleet.cell.stop().await;
    Ok(())
}
