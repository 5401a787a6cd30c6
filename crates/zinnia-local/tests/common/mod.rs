//! Shared by the failure tests: a cell with workers, jobs, and checks over what the workers saw.

#![expect(dead_code, reason = "each test file uses a part of the helpers")]

pub(crate) mod procs;

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

/// Longest wait for a condition that has no bound on the page.
pub(crate) const LIMIT: Duration = Duration::from_secs(60);
/// Domains of the cell, in the order of the first VM of each.
pub(crate) const DOMAINS: [&str; 3] = ["east", "north", "west"];
/// Limit of team `red`.
pub(crate) const RED: Resources = Resources {
    cpu: 64_000,
    mem: 65_536,
    gpu: 8,
};
/// What each worker has.
pub(crate) const WORKER: Resources = Resources {
    cpu: 8_000,
    mem: 8_192,
    gpu: 0,
};

/// A document whose team `red` has the given limit.
pub(crate) fn document(red: Resources) -> Value {
    json!({
        "teams": [
            {"name": "red", "share": 3, "limit": red},
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

/// A cell with `workers` workers in each domain, the document in force and a key of team `red`.
pub(crate) struct Fleet {
    pub(crate) cell: Cell,
    pub(crate) key: String,
    pub(crate) key_id: String,
}

impl Fleet {
    pub(crate) async fn start(settings: Settings, workers: usize) -> Result<Self> {
        let mut cell = Cell::start(settings).await?;
        for (d, domain) in DOMAINS.into_iter().enumerate() {
            for n in 0..workers {
                let name = format!("w{d}{n}");
                cell.add_worker(&name, domain, &format!("r{n}"), WORKER)
                    .await?;
            }
        }
        cell.apply_document(0, &document(RED), "first").await?;
        let (key_id, key) = cell.grant_key(0, "red".parse()?).await?;
        let fleet = Self { cell, key, key_id };
        fleet.ready(0, LIMIT, 3 * workers, |_| true).await?;
        for at in 0..fleet.cell.len() {
            fleet.healthy(at).await?;
        }
        Ok(fleet)
    }

    /// Waits until the load balancer would send callers to the VM.
    pub(crate) async fn healthy(&self, at: usize) -> Result<()> {
        let look = |cell: &Cell| {
            let client = cell.operator_client(at);
            async move { client.get("/healthz").await.map(|_| true) }
        };
        self.cell.wait_until(LIMIT, "VM is ready", look).await
    }

    /// A client of team `red` at a VM.
    pub(crate) fn red(&self, at: usize) -> Client {
        self.cell.operator_client(at).with_key(self.key.clone())
    }

    /// Waits until the VM at `at` lists `count` ready workers that `pick` chooses.
    pub(crate) async fn ready(
        &self,
        at: usize,
        limit: Duration,
        count: usize,
        pick: impl Fn(&Value) -> bool,
    ) -> Result<()> {
        let pick = &pick;
        let look = |cell: &Cell| {
            let client = cell.operator_client(at);
            async move {
                let list = client.get("/v1/workers").await?;
                let rows = list["workers"].as_array().cloned().unwrap_or_default();
                let ready = rows.iter().filter(|w| w["state"] == "ready" && pick(w));
                let found = ready.count();
                ensure!(found >= count, "{found} of {count} workers are ready");
                Ok(true)
            }
        };
        self.cell.wait_until(limit, "ready workers", look).await
    }

    /// Position of the acting owner of a domain as the VM at `asked` sees it.
    pub(crate) async fn owner(&self, asked: usize, domain: &str) -> Result<usize> {
        let list = self.cell.operator_client(asked).get("/v1/vms").await?;
        let rows = list["vms"].as_array().context("no list of VMs")?;
        let acts = |v: &&Value| {
            let domains = v["acts_for"].as_array();
            domains.is_some_and(|d| d.iter().any(|d| d == domain))
        };
        let row = rows.iter().find(acts).context("no acting owner")?;
        let addr = row["addr"].as_str().unwrap_or_default();
        let mut all = 0..self.cell.len();
        all.find(|&at| self.cell.http_addr(at) == addr)
            .context("the acting owner has an unknown address")
    }

    /// Submits a job until a VM accepts it: a resend is idempotent, and acceptance waits while the
    /// log has no leader.
    pub(crate) async fn submit(&self, at: usize, body: &Value) -> Result<JobId> {
        let look = |_: &Cell| {
            let client = self.red(at);
            let body = body.clone();
            async move { client.post("/v1/jobs", &body).await.map(|_| true) }
        };
        self.cell.wait_until(LIMIT, "job is accepted", look).await?;
        Ok(job(body["name"].as_str().unwrap_or_default()))
    }

    /// Waits until a job has ended with a state.
    pub(crate) async fn ended(&self, at: usize, name: &str, states: &[&str]) -> Result<Value> {
        let row = self
            .cell
            .wait_for_job(&self.red(at), name, LIMIT, |r| r["state"] == "ended")
            .await?;
        let state = row["outcome"]["state"].as_str().unwrap_or_default();
        ensure!(states.contains(&state), "{row}");
        Ok(row)
    }

    /// Starts of each task so far.
    pub(crate) fn starts(&self) -> BTreeMap<(JobId, u32), usize> {
        let mut starts = BTreeMap::new();
        for attempt in self.started() {
            *starts.entry((attempt.job, attempt.task)).or_default() += 1;
        }
        starts
    }

    /// Number of tasks of a job that have been started at least once.
    pub(crate) fn begun(&self, id: JobId) -> usize {
        self.starts().keys().filter(|(job, _)| *job == id).count()
    }

    fn started(&self) -> Vec<AttemptId> {
        let records = self.cell.workers().flat_map(|w| w.records());
        let started = records.filter_map(|r| match r.event {
            WorkerEvent::Started { attempt, .. } => Some(attempt),
            _ => None,
        });
        started.collect()
    }

    /// Runs of each call, by request id, according to the workers.
    pub(crate) fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for record in self.cell.workers().flat_map(|w| w.records()) {
            if let WorkerEvent::Called { id: Some(id), .. } = record.event {
                *runs.entry(id).or_default() += 1;
            }
        }
        runs
    }

    /// Holds what the workers saw against P1, P2, P4 and P7; `once` are jobs not to be repeated.
    pub(crate) fn check(&self, once: &[JobId]) -> Result<()> {
        let limits = BTreeMap::from([("red".parse::<TeamId>()?, RED)]);
        check(self.cell.checker_events(&limits), once)
    }
}

/// Holds a record against all invariants.
pub(crate) fn check(mut events: Vec<Event>, once: &[JobId]) -> Result<()> {
    for event in &mut events {
        if let EventKind::Started {
            attempt, repeat, ..
        } = &mut event.kind
        {
            *repeat = !once.contains(&attempt.job);
        }
    }
    let started = |e: &&Event| matches!(e.kind, EventKind::Started { .. });
    ensure!(events.iter().any(|e| started(&e)), "nothing was recorded");
    let end = events.last().map(|e| e.at).unwrap_or_default();
    let settings = zinnia_check::Settings::default();
    zinnia_check::check(settings, &events, end).map_err(|v| anyhow!("{v:?}"))
}

/// Id of a job of team `red`.
pub(crate) fn job(name: &str) -> JobId {
    match "red".parse() {
        Ok(team) => JobId::of(team, name),
        Err(_) => unreachable!("the name is valid"),
    }
}

/// The refusal in an error, if it is one.
pub(crate) fn refusal(error: &anyhow::Error) -> Option<&ErrorBody> {
    error.downcast_ref()
}

/// Settings of a cell with `vms` VMs a domain.
pub(crate) fn settings(vms: usize) -> Settings {
    Settings {
        domain_vms: vms,
        ..Settings::default()
    }
}
