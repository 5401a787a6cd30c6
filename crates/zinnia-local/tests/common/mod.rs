//! Shared test support: a cell with workers, jobs and checks of the event records of the workers.

#![expect(dead_code, reason = "each test file uses only some of the helpers")]

pub(crate) mod process_cell;

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::anyhow;
use anyhow::ensure;
use serde_json::Value;
use serde_json::json;
use zinnia_check::Event;
use zinnia_check::EventKind;
use zinnia_local::Cell;
use zinnia_local::Client;
use zinnia_local::Settings;
use zinnia_types::AttemptId;
use zinnia_types::ErrorBody;
use zinnia_types::JobId;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_worker::WorkerEvent;

/// Timeout for conditions without a documented time bound.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(60);
/// Failure domains of the cell. VM `i` belongs to domain `i % 3`.
pub(crate) const DOMAINS: [&str; 3] = ["east", "north", "west"];
/// Resource limit of team `red`.
pub(crate) const RED_LIMIT: Resources = Resources {
    cpu: 64_000,
    mem: 65_536,
    gpu: 8,
};
/// Capacity of each worker.
pub(crate) const WORKER_CAPACITY: Resources = Resources {
    cpu: 8_000,
    mem: 8_192,
    gpu: 0,
};

/// Document with the given resource limit for team `red`.
pub(crate) fn document(red_limit: Resources) -> Value {
    json!({
        "teams": [
            {"name": "red", "share": 3, "limit": red_limit},
            {"name": "blue", "share": 1, "limit": {"cpu": 16000, "mem": 16384}}
        ],
        "kinds": [
            {"name": "api", "class": "service", "tasks": 3, "need": {"cpu": 1000, "mem": 512}},
            {"name": "build", "class": "batch", "tasks": 3, "need": {"cpu": 1000, "mem": 512}},
            {"name": "solve", "class": "gang", "tasks": 2, "need": {"cpu": 2000, "mem": 512}},
            {"name": "bill", "class": "batch", "tasks": 3, "need": {"cpu": 1000, "mem": 512}, "repeat": false}
        ]
    })
}

/// A running cell with workers, a document in force and an API key of team `red`.
pub(crate) struct TestCell {
    pub(crate) cell: Cell,
    /// Text of the API key.
    pub(crate) key: String,
    pub(crate) key_id: String,
}

impl TestCell {
    /// Starts a cell with `domain_workers` workers in each domain, and waits until all of them and
    /// all VMs are ready.
    pub(crate) async fn start(settings: Settings, domain_workers: usize) -> Result<Self> {
        let mut cell = Cell::start(settings).await?;
        for (domain_index, domain) in DOMAINS.into_iter().enumerate() {
            for n in 0..domain_workers {
                let name = format!("w{domain_index}{n}");
                cell.add_worker(&name, domain, &format!("r{n}"), WORKER_CAPACITY)
                    .await?;
            }
        }
        cell.apply_document(0, &document(RED_LIMIT), "first")
            .await?;
        let (key_id, key) = cell.grant_key(0, "red".parse()?).await?;
        let test_cell = Self { cell, key, key_id };
        test_cell
            .wait_for_workers(0, TIMEOUT, 3 * domain_workers, |_| true)
            .await?;
        for vm in 0..test_cell.cell.len() {
            test_cell.wait_until_vm_ready(vm).await?;
        }
        Ok(test_cell)
    }

    /// Waits until a VM passes the health check of a load balancer.
    pub(crate) async fn wait_until_vm_ready(&self, vm: usize) -> Result<()> {
        let is_ready = |cell: &Cell| {
            let client = cell.operator_client(vm);
            async move { client.get("/healthz").await.map(|_| true) }
        };
        self.cell
            .wait_until(TIMEOUT, "readiness of a VM", is_ready)
            .await
    }

    /// Client of a VM that uses the API key of team `red`.
    pub(crate) fn red_client(&self, vm: usize) -> Client {
        self.cell.operator_client(vm).with_key(self.key.clone())
    }

    /// Waits until a VM lists at least `count` ready workers that match `filter`.
    pub(crate) async fn wait_for_workers(
        &self,
        vm: usize,
        timeout: Duration,
        count: usize,
        filter: impl Fn(&Value) -> bool,
    ) -> Result<()> {
        let filter = &filter;
        let enough_ready = |cell: &Cell| {
            let client = cell.operator_client(vm);
            async move {
                let response = client.get("/v1/workers").await?;
                let workers = response["workers"].as_array().cloned().unwrap_or_default();
                let ready = workers
                    .iter()
                    .filter(|w| w["state"] == "ready" && filter(w));
                let ready_count = ready.count();
                ensure!(
                    ready_count >= count,
                    "{ready_count} of {count} workers are ready"
                );
                Ok(true)
            }
        };
        self.cell
            .wait_until(timeout, "ready workers", enough_ready)
            .await
    }

    /// Index of the VM that is the acting owner of a domain, according to the VM `observer`.
    pub(crate) async fn acting_owner(&self, observer: usize, domain: &str) -> Result<usize> {
        let response = self.cell.operator_client(observer).get("/v1/vms").await?;
        let vms = response["vms"]
            .as_array()
            .context("the response has no list of VMs")?;
        let acts_for_domain = |vm: &&Value| {
            let domains = vm["acts_for"].as_array();
            domains.is_some_and(|domains| domains.iter().any(|name| name == domain))
        };
        let owner = vms
            .iter()
            .find(acts_for_domain)
            .context("the domain has no acting owner")?;
        let addr = owner["addr"].as_str().unwrap_or_default();
        let mut indices = 0..self.cell.len();
        indices
            .find(|&vm| self.cell.http_addr(vm) == addr)
            .context("no VM has the address of the acting owner")
    }

    /// Submits a job through a VM, with retries while the replicated log has no leader. Retries are
    /// idempotent.
    pub(crate) async fn submit_job(&self, vm: usize, body: &Value) -> Result<JobId> {
        let submit = |_: &Cell| {
            let client = self.red_client(vm);
            let body = body.clone();
            async move { client.post("/v1/jobs", &body).await.map(|_| true) }
        };
        self.cell
            .wait_until(TIMEOUT, "acceptance of a job", submit)
            .await?;
        Ok(red_job_id(body["name"].as_str().unwrap_or_default()))
    }

    /// Waits until a job has ended and checks that its outcome is one of `states`.
    pub(crate) async fn wait_for_outcome(
        &self,
        vm: usize,
        name: &str,
        states: &[&str],
    ) -> Result<Value> {
        let job = self
            .cell
            .wait_for_job(&self.red_client(vm), name, TIMEOUT, |job| {
                job["state"] == "ended"
            })
            .await?;
        let state = job["outcome"]["state"].as_str().unwrap_or_default();
        ensure!(states.contains(&state), "{job}");
        Ok(job)
    }

    /// Number of attempts of each task so far.
    pub(crate) fn attempt_counts(&self) -> BTreeMap<(JobId, u32), usize> {
        let mut counts = BTreeMap::new();
        for attempt in self.started_attempts() {
            *counts.entry((attempt.job, attempt.task)).or_default() += 1;
        }
        counts
    }

    /// Number of tasks of a job that were started at least once.
    pub(crate) fn started_tasks(&self, id: JobId) -> usize {
        self.attempt_counts()
            .keys()
            .filter(|(job, _)| *job == id)
            .count()
    }

    fn started_attempts(&self) -> Vec<AttemptId> {
        let records = self.cell.workers().flat_map(|w| w.records());
        let started = records.filter_map(|r| match r.event {
            WorkerEvent::Started { attempt, .. } => Some(attempt),
            _ => None,
        });
        started.collect()
    }

    /// How often the workers ran each call, by request id.
    pub(crate) fn call_runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for record in self.cell.workers().flat_map(|w| w.records()) {
            if let WorkerEvent::Called { id: Some(id), .. } = record.event {
                *runs.entry(id).or_default() += 1;
            }
        }
        runs
    }

    /// Checks the event records of all workers against the invariants of `zinnia-check`. These
    /// records reveal violations of P1, P2, P4 and P7.
    ///
    /// `non_repeatable` are the jobs whose tasks must start at most once.
    pub(crate) fn check_invariants(&self, non_repeatable: &[JobId]) -> Result<()> {
        let limits = BTreeMap::from([("red".parse::<TeamId>()?, RED_LIMIT)]);
        check_invariants(self.cell.checker_events(&limits), non_repeatable)
    }
}

/// Checks events against the invariants of `zinnia-check`.
///
/// The tasks of `non_repeatable` jobs must start at most once; those of other jobs may be repeated.
pub(crate) fn check_invariants(mut events: Vec<Event>, non_repeatable: &[JobId]) -> Result<()> {
    for event in &mut events {
        if let EventKind::Started {
            attempt, repeat, ..
        } = &mut event.kind
        {
            *repeat = !non_repeatable.contains(&attempt.job);
        }
    }
    let is_start = |e: &&Event| matches!(e.kind, EventKind::Started { .. });
    ensure!(
        events.iter().any(|e| is_start(&e)),
        "no start of a task was recorded"
    );
    let end = events.last().map(|e| e.at).unwrap_or_default();
    let settings = zinnia_check::Settings::default();
    zinnia_check::check(settings, &events, end).map_err(|violation| anyhow!("{violation:?}"))
}

/// Id of the job `name` of team `red`.
pub(crate) fn red_job_id(name: &str) -> JobId {
    match "red".parse() {
        Ok(team) => JobId::of(team, name),
        Err(_) => unreachable!("the name is valid"),
    }
}

/// The refusal by a daemon that an error contains, if any.
pub(crate) fn refusal(error: &anyhow::Error) -> Option<&ErrorBody> {
    error.downcast_ref()
}

/// Settings of a cell with `domain_vms` VMs in each failure domain.
pub(crate) fn settings(domain_vms: usize) -> Settings {
    Settings {
        domain_vms,
        ..Settings::default()
    }
}
