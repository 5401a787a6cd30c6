//! Enforcement of the resource limit of a team across all failure domains.

mod common;

use std::collections::BTreeMap;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use common::DOMAINS;
use common::TIMEOUT;
use common::TestCell;
use common::document;
use common::red_job_id;
use serde_json::json;
use zinnia_check::Event;
use zinnia_check::EventKind;
use zinnia_local::Cell;
use zinnia_types::Resources;
use zinnia_types::TeamId;

/// Initial CPU limit of the team.
const INITIAL_CPU: u64 = 12_000;
/// CPU limit of the team after it is lowered.
const LOWERED_CPU: u64 = 6_000;
/// Number of tasks in each domain. It is large enough that tasks remain until all faults are
/// injected, even on a slow machine.
const DOMAIN_TASKS: usize = 60;

fn team_limit(cpu: u64) -> Resources {
    Resources {
        cpu,
        mem: 65_536,
        gpu: 0,
    }
}

impl TestCell {
    /// Number of tasks that were started at least once. Each job is named after its domain.
    fn started_in(&self, domains: &[&str]) -> usize {
        domains
            .iter()
            .map(|domain| self.started_tasks(red_job_id(domain)))
            .sum()
    }

    /// Waits until at least `count` tasks were started in the given domains.
    async fn wait_for_starts(&self, domains: &[&str], count: usize) -> Result<()> {
        let enough_started = |_: &Cell| {
            let started = self.started_in(domains);
            async move {
                ensure!(started >= count, "{started} of {count} tasks were started");
                Ok(true)
            }
        };
        self.cell
            .wait_until(TIMEOUT, "start of tasks", enough_started)
            .await
    }

    /// Waits until the peak CPU usage of the team has reached its initial limit.
    async fn wait_until_limit_reached(&self, limits: &BTreeMap<TeamId, Resources>) -> Result<()> {
        let limit_was_reached = |cell: &Cell| {
            let peak = peak_cpu(&cell.checker_events(limits));
            async move {
                ensure!(
                    peak >= INITIAL_CPU,
                    "the peak usage is {peak} of {INITIAL_CPU}"
                );
                Ok(true)
            }
        };
        self.cell
            .wait_until(TIMEOUT, "usage of the whole limit", limit_was_reached)
            .await
    }

    /// Drops all messages between the VMs of a domain and the VMs of other domains.
    fn isolate_domain(&self, domain_index: usize) {
        let in_domain = |vm: usize| vm % 3 == domain_index;
        for from in 0..self.cell.len() {
            for to in (0..self.cell.len()).filter(|&to| in_domain(to) != in_domain(from)) {
                self.cell.drop_link(from, to);
            }
        }
    }
}

/// Peak CPU usage of the team over all events.
fn peak_cpu(events: &[Event]) -> u64 {
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

/// Guards against a total usage above the team limit because a domain's allotment of the limit is
/// used twice after a takeover, exceeded by an isolated domain, or used by two domains while it is
/// moved.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_sum_over_all_domains_stays_within_the_limit() -> Result<()> {
    let mut test_cell = TestCell::start(common::settings(2), 2).await?;
    test_cell
        .cell
        .apply_document(0, &document(team_limit(INITIAL_CPU)), "high")
        .await?;
    let initial_at = zinnia_worker::now();
    let red = "red".parse()?;
    let limits = BTreeMap::from([(red, team_limit(INITIAL_CPU))]);
    for (vm, domain) in DOMAINS.into_iter().enumerate() {
        let body = json!({"name": domain, "kind": "build", "tasks": DOMAIN_TASKS, "domain": domain, "payload": {"run_ms": 500}});
        test_cell.submit_job(vm, &body).await?;
    }
    test_cell.wait_until_limit_reached(&limits).await?;
    test_cell
        .cell
        .apply_document(2, &document(team_limit(LOWERED_CPU)), "low")
        .await?;
    let lowered_at = zinnia_worker::now();
    let started = test_cell.started_in(&DOMAINS);
    test_cell.wait_for_starts(&DOMAINS, started + 12).await?;
    let owner = test_cell.acting_owner(2, "east").await?;
    test_cell.cell.kill_vm(owner).await;
    test_cell.wait_for_starts(&DOMAINS, started + 24).await?;
    test_cell.isolate_domain(1);
    let north_owner = test_cell.acting_owner(1, "north").await?;
    let is_isolated = |cell: &Cell| {
        let client = cell.operator_client(north_owner);
        async move { Ok(client.get("/v1/dump").await?["right"] == "isolated") }
    };
    test_cell
        .cell
        .wait_until(TIMEOUT, "isolation of the domain north", is_isolated)
        .await?;
    // The killed owner of `east` was a voter, so that the isolation of `north` leaves no quorum.
    // With only one VM left, `east` starts nothing. The other two domains must continue while they
    // have tasks.
    let started_outside_east = test_cell.started_in(&DOMAINS[1..]);
    let expected = (started_outside_east + 6).min(2 * DOMAIN_TASKS);
    test_cell.wait_for_starts(&DOMAINS[1..], expected).await?;
    test_cell.cell.restore_links();
    for domain in DOMAINS {
        test_cell.wait_for_outcome(2, domain, &["done"]).await?;
    }
    let mut events = test_cell.cell.checker_events(&limits);
    let lowered_limit = EventKind::Limit {
        team: red,
        limit: team_limit(LOWERED_CPU),
    };
    events.push(Event::new(lowered_at.0, lowered_limit));
    events.sort_by_key(|e| e.at);
    let lowered_index = events
        .iter()
        .position(|e| e.at >= lowered_at)
        .context("no event after the limit was lowered")?;
    ensure!(
        peak_cpu(&events[..lowered_index]) == INITIAL_CPU,
        "the usage did not reach the initial limit"
    );
    ensure!(initial_at < lowered_at);
    common::check_invariants(events, &[])?;
    test_cell.cell.stop().await;
    Ok(())
}
