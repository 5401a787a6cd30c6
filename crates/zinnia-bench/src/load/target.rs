//! The cell under load.

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

use super::profile::Profile;

/// Longest wait for the workers of a local cell and for the service.
const READY: Duration = Duration::from_secs(30);
/// Pause between two calls to a service that is not reached yet.
const POLL: Duration = Duration::from_millis(100);
/// Pause between two looks at a change that is measured.
const STEP: Duration = Duration::from_millis(5);

/// Daemons, with one client per team and daemon.
pub(crate) struct Target {
    cell: Option<Cell>,
    /// By team as in the profile, then by daemon.
    clients: Vec<Vec<Client>>,
}

impl Target {
    /// A cell in this process with the document of the deployment.
    pub(crate) async fn local(profile: &Profile, workers: usize) -> Result<Self> {
        let mut cell = Cell::start(Settings {
            cell: profile.name.parse()?,
            domains: profile.domains.map(str::to_owned).to_vec(),
            ..Settings::default()
        })
        .await?;
        for n in 0..workers {
            let domain = profile.domains[n % profile.domains.len()];
            // One in four has accelerators, about as in the deployments.
            let capacity = if n % 4 == 3 {
                profile.accelerated
            } else {
                profile.plain
            };
            let rack = format!("rack-{}", n / 5);
            let name = format!("worker-{n}");
            cell.add_worker(&name, domain, &rack, capacity).await?;
        }
        let document: Document = parse_jsonc(profile.document)?;
        let document = serde_json::to_value(&document)?;
        cell.apply(0, &document, "load-document").await?;
        let look = |cell: &Cell| {
            let client = cell.operator(0);
            async move {
                let list = client.get("/v1/workers").await?;
                let rows = list["workers"].as_array().cloned().unwrap_or_default();
                Ok(rows.iter().filter(|r| r["state"] == "ready").count() == workers)
            }
        };
        cell.until(READY, "workers", look).await?;
        let mut clients = Vec::new();
        for (team, _) in profile.teams {
            let (_, key) = cell.grant(0, team.parse()?).await?;
            let all = (0..cell.len()).map(|at| cell.operator(at).with_key(&key));
            clients.push(all.collect());
        }
        let cell = Some(cell);
        Ok(Self { cell, clients })
    }

    /// Daemons at these addresses, with a text of lines `team key`.
    pub(crate) fn remote(profile: &Profile, addrs: &[String], keys: &str) -> Result<Self> {
        let find = |team: &str| {
            let mut lines = keys.lines().filter_map(|l| l.trim().split_once(' '));
            let found = lines.find(|(name, _)| *name == team);
            found.map(|(_, key)| key.trim().to_owned())
        };
        let mut clients = Vec::new();
        for (team, _) in profile.teams {
            let key = find(team).with_context(|| format!("no key of team {team}"))?;
            let all = addrs.iter().map(|addr| Client::new(addr, &key));
            clients.push(all.collect());
        }
        Ok(Self {
            cell: None,
            clients,
        })
    }

    /// The client of a team for the daemon whose turn it is.
    pub(crate) fn client(&self, team: usize, turn: usize) -> Option<&Client> {
        let all = self.clients.get(team)?;
        all.get(turn % all.len().max(1))
    }

    /// Starts the service of each team and waits until each daemon reaches it.
    pub(crate) async fn serve(&self, profile: &Profile) -> Result<()> {
        let (name, kind) = profile.service;
        for (turn, all) in self.clients.iter().enumerate() {
            // Teams come through different daemons, as a load balancer sends them.
            let first = all.get(turn % all.len().max(1)).context("no daemon")?;
            let body = json!({"name": name, "kind": kind, "payload": {"delay_ms": 1}});
            first.post("/v1/jobs", &body).await?;
        }
        let deadline = Instant::now() + READY;
        for client in self.clients.iter().flatten() {
            loop {
                let status = client
                    .call(name, &[], "{}")
                    .await
                    .map(|(status, ..)| status);
                if matches!(status, Ok(200)) {
                    break;
                }
                if Instant::now() >= deadline {
                    anyhow::bail!("service {name} is not reached: {status:?}");
                }
                tokio::time::sleep(POLL).await;
            }
        }
        Ok(())
    }

    /// First start of each job on the workers of a local cell, by their clock.
    pub(crate) fn starts(&self) -> BTreeMap<JobId, u64> {
        let mut starts = BTreeMap::new();
        let records = self.cell.as_ref().map(Cell::records).unwrap_or_default();
        for record in records {
            if let WorkerEvent::Started { attempt, .. } = record.event {
                let first = starts.entry(attempt.job).or_insert(record.at.0);
                *first = record.at.0.min(*first);
            }
        }
        starts
    }

    /// Measures changes of a local cell: withdrawal of a key and an edit of the document.
    pub(crate) async fn control(&self, profile: &Profile) -> Result<BTreeMap<String, f64>> {
        let Some(cell) = &self.cell else {
            return Ok(BTreeMap::new());
        };
        let ids = cell.operator(0).get("/v1/keys").await?;
        let (team, _) = profile.teams[0];
        let rows = ids["keys"].as_array().cloned().unwrap_or_default();
        let row = rows.iter().find(|row| row["team"] == team);
        let id = row.context("the key is not listed")?["id"].clone();
        let began = Instant::now();
        let body = json!({"ids": [id]});
        cell.operator(0).post("/v1/keys/withdraw", &body).await?;
        for client in self.clients.first().into_iter().flatten() {
            loop {
                let sent = client.send(Method::GET, "/v1/jobs", &Value::Null).await;
                if matches!(sent, Ok((401, _))) {
                    break;
                }
                ensure!(began.elapsed() < READY, "the withdrawn key still works");
                tokio::time::sleep(STEP).await;
            }
        }
        let key = began.elapsed();
        let document: Document = parse_jsonc(profile.document)?;
        let document = serde_json::to_value(&document)?;
        let began = Instant::now();
        let wanted = cell.apply(0, &document, "load-again").await?;
        for at in 0..cell.len() {
            while self.version(at) != Some(wanted) {
                ensure!(began.elapsed() < READY, "the document is not in force");
                tokio::time::sleep(STEP).await;
            }
        }
        let ms = |spent: Duration| spent.as_secs_f64() * 1_000.0;
        Ok(BTreeMap::from([
            ("key_ms".to_owned(), ms(key)),
            ("document_ms".to_owned(), ms(began.elapsed())),
        ]))
    }

    fn version(&self, at: usize) -> Option<u64> {
        let shared = self.cell.as_ref()?.daemon(at)?.shared();
        shared.with_engine(|b, _| b.cell.document().map(|(stamp, _)| stamp.version))
    }

    /// Stops a local cell.
    pub(crate) async fn stop(self) {
        if let Some(cell) = self.cell {
            cell.stop().await;
        }
    }
}
