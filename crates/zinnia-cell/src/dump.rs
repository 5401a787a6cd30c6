//! State dump for operators.

use std::collections::BTreeMap;

use serde_json::Value;
use serde_json::json;

use crate::Cell;

impl Cell {
    /// Summary of the state as JSON, without secrets, key hashes, job payloads and response bodies.
    pub fn dump(&self) -> Value {
        let state = &self.state;
        let keys: BTreeMap<_, _> = self
            .keys()
            .map(|(grant, withdrawn)| {
                let entry = json!({"role": grant.role, "withdrawn": withdrawn});
                (grant.id.to_string(), entry)
            })
            .collect();
        let owners: BTreeMap<_, _> = self
            .owners()
            .map(|(domain, owner)| (domain.to_string(), owner))
            .collect();
        let mut limits: BTreeMap<String, BTreeMap<String, _>> = BTreeMap::new();
        for (team, domain, allotment) in state.limits.iter() {
            let allotments = limits.entry(team.to_string()).or_default();
            allotments.insert(domain.to_string(), allotment);
        }
        let live_jobs: BTreeMap<_, _> = self
            .live_job_counts()
            .into_iter()
            .map(|(domain, count)| (domain.to_string(), count))
            .collect();
        json!({
            "index": state.index,
            "clock_ms": state.clock_ms,
            "retention": state.retention,
            "document": state.documents.stamp(),
            "keys": keys,
            "withdrawn": self.withdrawn.len(),
            "unlogged": self.unlogged_withdrawals().count(),
            "vms": self.vms().collect::<Vec<_>>(),
            "workers": state.members.workers.len(),
            "owners": owners,
            "limits": limits,
            "live_jobs": live_jobs,
            "ended_jobs": state.jobs.ended_count(),
            "calls": state.calls.team_counts(),
            "call_bytes": state.calls.body_bytes(),
        })
    }
}
