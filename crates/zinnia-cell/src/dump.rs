//! State dump for operators.

use std::collections::BTreeMap;

use serde_json::Value;
use serde_json::json;

use crate::Cell;

impl Cell {
    /// The state without secrets, key hashes, payloads and bodies.
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
        for (team, domain, held) in state.limits.iter() {
            let team = limits.entry(team.to_string()).or_default();
            team.insert(domain.to_string(), held);
        }
        let jobs: BTreeMap<_, _> = self
            .live_job_counts()
            .into_iter()
            .map(|(domain, n)| (domain.to_string(), n))
            .collect();
        json!({
            "index": state.index,
            "clock_ms": state.clock,
            "retention": state.retention,
            "document": state.documents.stamp(),
            "keys": keys,
            "withdrawn": self.withdrawn.len(),
            "unlogged": self.unlogged_withdrawals().count(),
            "vms": self.vms().collect::<Vec<_>>(),
            "workers": state.members.workers.len(),
            "owners": owners,
            "limits": limits,
            "live_jobs": jobs,
            "ended_jobs": state.jobs.ended_count(),
            "calls": state.calls.counts(),
            "call_bytes": state.calls.bytes(),
        })
    }
}
