//! Settings of a worker process.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::DomainId;
use zinnia_types::RackId;
use zinnia_types::Resources;
use zinnia_types::WorkerId;

use crate::FaultInjection;

/// Settings of one worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Unique name of the worker.
    pub worker: WorkerId,
    /// Failure domain.
    pub domain: DomainId,
    /// Rack.
    pub rack: RackId,
    /// Resources of the worker.
    pub capacity: Resources,
    /// Address to listen on. Port 0 selects a free port. The IP address is announced unchanged, so
    /// it must be one that VMs can reach.
    #[serde(default = "default_listen")]
    pub listen: SocketAddr,
    /// Leases, search for an owner, and reports. `epoch_floor` and `seed` are overwritten at the
    /// start.
    #[serde(default)]
    pub agent: zinnia_agent::Settings,
    /// Limits on calls to services.
    #[serde(default)]
    pub service: ServiceSettings,
    /// Interval in milliseconds between two samples of a task's resource usage.
    #[serde(rename = "lag_ms", default = "default_sample_interval")]
    pub sample_interval_ms: u64,
    /// Longest time in milliseconds that tasks and calls may take to finish after `SIGTERM`.
    #[serde(default = "default_drain")]
    pub drain_ms: u64,
    /// Injected faults.
    #[serde(rename = "behaviour", default)]
    pub faults: FaultInjection,
}

fn default_listen() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn default_sample_interval() -> u64 {
    2_000
}

fn default_drain() -> u64 {
    30_000
}

impl Settings {
    /// Creates settings with defaults for the remaining fields.
    ///
    /// `vms` are the addresses of VMs as `ip:port`, those of the worker's failure domain first.
    pub fn new(
        worker: WorkerId,
        domain: DomainId,
        rack: RackId,
        capacity: Resources,
        vms: Vec<String>,
    ) -> Self {
        let mut agent = zinnia_agent::Settings::default();
        agent.search.vms = vms;
        Self {
            worker,
            domain,
            rack,
            capacity,
            listen: default_listen(),
            agent,
            service: ServiceSettings::default(),
            sample_interval_ms: default_sample_interval(),
            drain_ms: default_drain(),
            faults: FaultInjection::default(),
        }
    }
}

/// Limits on the calls to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Largest number of calls that run at the same time.
    pub slots: usize,
    /// Largest number of calls that run or wait for a slot. Further calls are refused without
    /// running.
    #[serde(rename = "connections")]
    pub max_calls: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            max_calls: 64,
            body_bytes: 1024 * 1024,
        }
    }
}
