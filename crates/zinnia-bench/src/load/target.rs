//! The cell that receives the load: a cell in this process, or daemons at given addresses.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use http::Method;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use zinnia_local::Cell;
use zinnia_local::Client;
use zinnia_local::Settings;
use zinnia_types::Document;
use zinnia_types::JobId;
use zinnia_types::parse_jsonc;
use zinnia_worker::WorkerEvent;

use super::profile::LoadProfile;

/// Timeout for the workers, for the services and for each measured change.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between calls to a service that does not respond yet.
const SERVICE_POLL: Duration = Duration::from_millis(100);
/// Poll interval while the propagation of a change is measured.
const PROPAGATION_POLL: Duration = Duration::from_millis(5);

/// The daemons under load, with a client for each team and daemon.
pub(crate) struct Target {
    /// The cell, if it runs in this process.
    cell: Option<Cell>,
    /// Clients by team index, then by daemon.
    clients: Vec<Vec<Client>>,
}

impl Target {
    /// Starts a cell in this process with the document of the deployment.
    pub(crate) async fn local(profile: &LoadProfile, workers: usize) -> Result<Self> {
        let mut cell = Cell::start(Settings {
            cell_name: profile.name.parse()?,
            domains: profile.domains.map(str::to_owned).to_vec(),
            ..Settings::default()
        })
        .await?;
        for n in 0..workers {
            let domain = profile.domains[n % profile.domains.len()];
            // About one in four workers of the sample deployments has accelerators.
            let capacity = if n % 4 == 3 {
                profile.gpu_capacity
            } else {
                profile.cpu_capacity
            };
            let rack = format!("rack-{}", n / 5);
            let name = format!("worker-{n}");
            cell.add_worker(&name, domain, &rack, capacity).await?;
        }
        let document: Document = parse_jsonc(profile.document)?;
        let document = serde_json::to_value(&document)?;
        cell.apply_document(0, &document, "load-document").await?;
        let all_ready = |cell: &Cell| {
            let client = cell.operator_client(0);
            async move {
                let list = client.get("/v1/workers").await?;
                let rows = list["workers"].as_array().cloned().unwrap_or_default();
                Ok(rows.iter().filter(|r| r["state"] == "ready").count() == workers)
            }
        };
        cell.wait_until(READY_TIMEOUT, "workers", all_ready).await?;
        let mut clients = Vec::new();
        for (team, _) in profile.teams {
            let (_, key) = cell.grant_key(0, team.parse()?).await?;
            let team_clients = (0..cell.len()).map(|at| cell.operator_client(at).with_key(&key));
            clients.push(team_clients.collect());
        }
        let cell = Some(cell);
        Ok(Self { cell, clients })
    }

    /// Connects to the daemons at `addrs`; `key_lines` has a line `TEAM KEY` for each team.
    pub(crate) fn remote(profile: &LoadProfile, addrs: &[String], key_lines: &str) -> Result<Self> {
        let find_key = |team: &str| {
            let mut lines = key_lines.lines().filter_map(|l| l.trim().split_once(' '));
            let found = lines.find(|(name, _)| *name == team);
            found.map(|(_, key)| key.trim().to_owned())
        };
        let mut clients = Vec::new();
        for (team, _) in profile.teams {
            let key = find_key(team).with_context(|| format!("no key for team {team}"))?;
            let team_clients = addrs.iter().map(|addr| Client::new(addr, &key));
            clients.push(team_clients.collect());
        }
        Ok(Self {
            cell: None,
            clients,
        })
    }

    /// Returns a client of a team; `request_index` selects the daemons in rotation.
    pub(crate) fn client(&self, team_index: usize, request_index: usize) -> Option<&Client> {
        let team_clients = self.clients.get(team_index)?;
        team_clients.get(request_index % team_clients.len().max(1))
    }

    /// Starts the service of each team and waits until it responds through each daemon.
    pub(crate) async fn start_services(&self, profile: &LoadProfile) -> Result<()> {
        let (name, kind) = profile.service;
        for (team_index, team_clients) in self.clients.iter().enumerate() {
            // Teams submit through different daemons, as behind a load balancer.
            let client = team_clients
                .get(team_index % team_clients.len().max(1))
                .context("the cell has no daemon")?;
            let body = json!({"name": name, "kind": kind, "payload": {"delay_ms": 1}});
            client.post("/v1/jobs", &body).await?;
        }
        let deadline = Instant::now() + READY_TIMEOUT;
        for client in self.clients.iter().flatten() {
            loop {
                let status = client
                    .call_service(name, &[], "{}")
                    .await
                    .map(|(status, ..)| status);
                if matches!(status, Ok(200)) {
                    break;
                }
                if Instant::now() >= deadline {
                    anyhow::bail!("service {name} does not respond: {status:?}");
                }
                tokio::time::sleep(SERVICE_POLL).await;
            }
        }
        Ok(())
    }

    /// Returns the first start of each job in milliseconds on the clock of the workers; empty for
    /// remote daemons.
    pub(crate) fn first_starts(&self) -> BTreeMap<JobId, u64> {
        let mut starts = BTreeMap::new();
        let records = self
            .cell
            .as_ref()
            .map(Cell::event_records)
            .unwrap_or_default();
        for record in records {
            if let WorkerEvent::Started { attempt, .. } = record.event {
                let first = starts.entry(attempt.job).or_insert(record.at.0);
                *first = record.at.0.min(*first);
            }
        }
        starts
    }

    /// Measures how long a withdrawn key and a new document take to reach every VM; empty for
    /// remote daemons.
    pub(crate) async fn measure_propagation(
        &self,
        profile: &LoadProfile,
    ) -> Result<BTreeMap<String, f64>> {
        let Some(cell) = &self.cell else {
            return Ok(BTreeMap::new());
        };
        let keys = cell.operator_client(0).get("/v1/keys").await?;
        let (team, _) = profile.teams[0];
        let rows = keys["keys"].as_array().cloned().unwrap_or_default();
        let row = rows.iter().find(|row| row["team"] == team);
        let id = row.context("the key list lacks the key of the first team")?["id"].clone();
        let started = Instant::now();
        let body = json!({"ids": [id]});
        cell.operator_client(0)
            .post("/v1/keys/withdraw", &body)
            .await?;
        for client in self.clients.first().into_iter().flatten() {
            loop {
                let result = client.send(Method::GET, "/v1/jobs", &Value::Null).await;
                if matches!(result, Ok((401, _))) {
                    break;
                }
                ensure!(
                    started.elapsed() < READY_TIMEOUT,
                    "a VM still accepts the withdrawn key"
                );
                tokio::time::sleep(PROPAGATION_POLL).await;
            }
        }
        let key_delay = started.elapsed();
        let document: Document = parse_jsonc(profile.document)?;
        let document = serde_json::to_value(&document)?;
        let started = Instant::now();
        let version = cell.apply_document(0, &document, "load-again").await?;
        for vm in 0..cell.len() {
            while self.document_version(vm) != Some(version) {
                ensure!(
                    started.elapsed() < READY_TIMEOUT,
                    "the new document is not in force on every VM"
                );
                tokio::time::sleep(PROPAGATION_POLL).await;
            }
        }
        let ms = |delay: Duration| delay.as_secs_f64() * 1_000.0;
        Ok(BTreeMap::from([
            ("key_ms".to_owned(), ms(key_delay)),
            ("document_ms".to_owned(), ms(started.elapsed())),
        ]))
    }

    /// Version of the document that is in force on a VM.
    fn document_version(&self, vm: usize) -> Option<u64> {
        let shared = self.cell.as_ref()?.daemon(vm)?.shared();
        shared.with_engine(|engine, _| engine.cell.document().map(|(stamp, _)| stamp.version))
    }

    /// Stops the cell if it runs in this process.
    pub(crate) async fn stop(self) {
        if let Some(cell) = self.cell {
            cell.stop().await;
        }
    }
}
