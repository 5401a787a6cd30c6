//! Read-only routes: workers, VMs and the dump for operators, and health, metrics and the console.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::Json;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::http::header::CONTENT_SECURITY_POLICY;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::response::Response;
use serde_json::Value;
use serde_json::json;
use zinnia_raft::Node;
use zinnia_replica::clock;
use zinnia_types::Code;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::worker::TaskState;

use super::auth;
use crate::api_error::ApiError;
use crate::engine::Engine;
use crate::shared::Shared;
use crate::telemetry;

/// `GET /healthz`: ready once the VM is listed in the cell and accepts keys, until it drains.
pub(super) async fn healthz(State(shared): State<Arc<Shared>>) -> Response {
    // A VM that refuses all keys would refuse every request that the load balancer sends to it.
    let ready = shared.with_engine(|engine, now| {
        let listed = engine.cell.vm(engine.identity.vm.id).is_some();
        listed && !engine.draining && engine.authority.accepts_keys(now, &engine.identity.leases)
    });
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    (
        status,
        Json(json!({"vm": shared.settings.name, "ready": ready})),
    )
        .into_response()
}

/// `GET /metrics`.
pub(super) async fn metrics(State(shared): State<Arc<Shared>>) -> Response {
    shared.with_engine(|engine, now| update_gauges(engine, now));
    let vm = shared.settings.name.to_string();
    let count_bytes = |direction: &'static str, count: u64| {
        let labels = [("vm", vm.clone()), ("direction", direction.to_owned())];
        metrics::counter!("zinnia_http_bytes_total", &labels).absolute(count);
    };
    let traffic = &shared.traffic;
    count_bytes("received", traffic.received.load(Ordering::Relaxed));
    count_bytes("sent", traffic.sent.load(Ordering::Relaxed));
    for (peer, counters) in shared.links.counters() {
        let labels = [("vm", vm.clone()), ("peer", peer)];
        metrics::counter!("zinnia_peer_bytes_sent_total", &labels).absolute(counters.sent_bytes);
        metrics::counter!("zinnia_peer_bytes_received_total", &labels)
            .absolute(counters.received_bytes);
    }
    let text = telemetry::recorder().render();
    ([(CONTENT_TYPE, "text/plain; version=0.0.4")], text).into_response()
}

fn update_gauges(engine: &Engine, now: Time) {
    let vm = engine.identity.vm.name.to_string();
    let set = |name: &'static str, value: f64| {
        metrics::gauge!(name, "vm" => vm.clone()).set(value);
    };
    set("zinnia_workers_owned", engine.owned_workers.len() as f64);
    set("zinnia_jobs_live", engine.cell.live_jobs().count() as f64);
    set("zinnia_domains_acting", engine.schedulers.len() as f64);
    let queued: usize = engine.schedulers.values().map(|s| s.inner.queued()).sum();
    set("zinnia_jobs_queued", queued as f64);
    let may_act = u8::from(engine.authority_mode(now) != crate::authority::AuthorityMode::Inactive);
    set("zinnia_may_act", f64::from(may_act));
    set(
        "zinnia_keys_withdrawn",
        engine.cell.withdrawn_keys().len() as f64,
    );
}

/// `GET /v1/workers`.
pub(super) async fn workers(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
) -> Result<Json<Value>, ApiError> {
    auth::require_operator(&shared, &headers).await?;
    let peers = shared.with_engine(|engine, _| {
        let own_id = engine.identity.vm.id;
        let others = engine.cell.vms().filter(|v| v.id != own_id);
        others.map(|v| v.peer.clone()).collect::<Vec<_>>()
    });
    let mut rows = shared.with_engine(|engine, _| engine.worker_rows());
    let calls = peers
        .iter()
        .map(|addr| shared.links.call::<_, Vec<Value>>(addr, "routes", &()));
    for answer in futures_util::future::join_all(calls).await {
        rows.extend(answer.unwrap_or_default());
    }
    let owned_names: std::collections::BTreeSet<String> = rows
        .iter()
        .filter_map(|r| r["worker"].as_str().map(str::to_owned))
        .collect();
    let unowned = shared.with_engine(|engine, _| engine.unowned_worker_rows(&owned_names));
    rows.extend(unowned);
    rows.sort_by_key(|r| r["worker"].as_str().unwrap_or_default().to_owned());
    Ok(Json(json!({ "workers": rows })))
}

impl Engine {
    /// Rows of the workers that this VM owns, for `GET /v1/workers`.
    pub fn worker_rows(&self) -> Vec<Value> {
        let now = clock::now();
        let rows = self.owned_workers.values().map(|owned| {
            let running = owned.tasks.iter().filter_map(|(attempt, state)| match state {
                TaskState::Running { task, usage } => Some((attempt, task, usage)),
                _ => None,
            });
            let running: Vec<_> = running.collect();
            let used = running
                .iter()
                .fold(Resources::ZERO, |sum, (_, task, _)| sum + task.need);
            let tasks: Vec<Value> = running
                .iter()
                .map(|(attempt, task, _)| {
                    let name = match self.cell.job(attempt.job) {
                        Some(zinnia_cell::JobState::Live(live)) => live.job.name.clone(),
                        _ => attempt.job.to_string(),
                    };
                    json!({"job": name, "task": attempt.task, "team": task.team, "class": task.class})
                })
                .collect();
            let quarantined = self
                .schedulers
                .get(&owned.profile.domain)
                .and_then(|s| s.quarantined.get(&owned.profile.worker))
                .is_some_and(|until| *until > now);
            let state = if owned.lease_expired || owned.unresponsive {
                "lost"
            } else if owned.leaving {
                "leaving"
            } else if quarantined {
                "quarantined"
            } else {
                "ready"
            };
            json!({
                "worker": owned.profile.worker,
                "domain": owned.profile.domain,
                "rack": owned.profile.rack,
                "addr": owned.profile.addr,
                "owner": self.identity.vm.name,
                "epoch": owned.epoch,
                "state": state,
                "capacity": owned.profile.capacity,
                "used": used,
                "tasks": running.len(),
                "placed": tasks,
                "heard_ms": now.since(owned.renewed),
            })
        });
        rows.collect()
    }

    /// Rows of the registered workers that are not among `owned_names`.
    fn unowned_worker_rows(&self, owned_names: &std::collections::BTreeSet<String>) -> Vec<Value> {
        let domains: std::collections::BTreeSet<_> =
            self.cell.owners().map(|(domain, _)| domain).collect();
        let workers = domains.into_iter().flat_map(|d| self.cell.workers(d));
        workers
            .filter(|p| !owned_names.contains(p.worker.as_str()))
            .map(|p| {
                json!({
                    "worker": p.worker,
                    "domain": p.domain,
                    "rack": p.rack,
                    "addr": p.addr,
                    "owner": Value::Null,
                    "epoch": Value::Null,
                    "state": "lost",
                    "capacity": p.capacity,
                    "used": Resources::ZERO,
                    "tasks": 0,
                    "heard_ms": Value::Null,
                })
            })
            .collect()
    }
}

/// `GET /v1/vms`.
pub(super) async fn vms(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
) -> Result<Json<Value>, ApiError> {
    auth::require_operator(&shared, &headers).await?;
    let Some(replica) = shared.replica() else {
        return Err(ApiError::new(
            Code::Unavailable,
            "vms",
            "the replicated log is not open yet",
        ));
    };
    let (members, leader, term) =
        replica.read(|n: &Node| (n.members().clone(), n.leader(), n.term()));
    let disk_error = replica.disk_error();
    let rows: Vec<Value> = shared.with_engine(|engine, now| {
        let version = engine.cell.document().map_or(0, |(s, _)| s.version);
        let row = |vm: &zinnia_cell::Vm| {
            let is_self = vm.id == engine.identity.vm.id;
            let role = if Some(vm.id) == leader {
                "leader"
            } else if members.is_voter(vm.id) {
                "voter"
            } else {
                "learner"
            };
            let acting_domains: Vec<_> = engine
                .cell
                .owners()
                .filter(|(_, o)| o.vm == vm.id)
                .map(|(d, _)| d)
                .collect();
            let ping_age = engine
                .peer_statuses
                .get(&vm.id)
                .map(|status| now.since(status.last_ping));
            let disk = match (vm.disk, is_self && disk_error.is_some()) {
                (false, _) => "none",
                (true, true) => "failed",
                (true, false) => "ok",
            };
            json!({
                "vm": vm.name,
                "id": vm.id,
                "addr": vm.http,
                "peer": vm.peer,
                "domain": vm.domain,
                "role": role,
                "acting": acting_domains.contains(&vm.domain),
                "acts_for": acting_domains,
                "disk": disk,
                "version": if is_self { Some(version) } else { None },
                "withdrawn": if is_self { Some(engine.cell.withdrawn_keys().len()) } else { None },
                "heard_ms": if is_self { Some(0) } else { ping_age },
            })
        };
        engine.cell.vms().map(row).collect()
    });
    Ok(Json(json!({"vms": rows, "leader": leader, "term": term})))
}

/// `GET /v1/dump`.
pub(super) async fn dump(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
) -> Result<Json<Value>, ApiError> {
    auth::require_operator(&shared, &headers).await?;
    let mut value = shared.with_engine(|engine, now| engine.dump(now));
    value["log"] = shared
        .replica()
        .map(crate::shared::Replica::dump)
        .unwrap_or_default();
    let links = shared.links.counters();
    value["links"] = serde_json::to_value(links).unwrap_or_default();
    value["routing"] = shared.routing.dump();
    value["settings"] = serde_json::to_value(&shared.settings).unwrap_or_default();
    Ok(Json(value))
}

/// `GET /console`: the operators' console. Its headers keep other pages from embedding it in a
/// frame.
pub(super) async fn console() -> Response {
    let page = include_str!("../../assets/console.html");
    let headers = [
        (CONTENT_TYPE, "text/html; charset=utf-8"),
        (
            CONTENT_SECURITY_POLICY,
            "default-src 'self'; style-src 'self' 'unsafe-inline'; frame-ancestors 'none'",
        ),
    ];
    (headers, page).into_response()
}

/// `GET /console.js`.
pub(super) async fn console_script() -> Response {
    let script = include_str!("../../assets/console.js");
    ([(CONTENT_TYPE, "text/javascript; charset=utf-8")], script).into_response()
}
