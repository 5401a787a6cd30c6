//! Settings of a local cell.

use zinnia_daemon::settings::BoundSettings;
use zinnia_types::LeaseSettings;
use zinnia_types::Name;

/// Topology and timing of a local cell.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the cell.
    pub cell_name: Name,
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Number of VMs in each failure domain.
    pub domain_vms: usize,
    /// Number of VMs with a disk in each failure domain. The first VM of each domain is a voter.
    pub domain_disks: usize,
    /// Leases and timeouts of daemons and workers.
    pub lease: LeaseSettings,
    /// Interval between heartbeats of the leader of the replicated log, in milliseconds.
    pub heartbeat_ms: u64,
    /// Minimum election timeout in milliseconds.
    pub election_ms: u64,
    /// Limits on the requests and jobs of callers.
    pub bounds: BoundSettings,
    /// Number of log entries after which the log is compacted.
    pub compact_entries: u64,
}

impl Settings {
    /// Returns leases about ten times shorter than in production, for the demo and tests.
    pub fn short_leases() -> LeaseSettings {
        LeaseSettings {
            heartbeat_ms: 300,
            owner_ms: 1_200,
            task_ms: 4_000,
            margin_ms: 300,
            ping_ms: 150,
            vm_ms: 900,
            isolation_ms: 8_000,
            replace_ms: 6_000,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cell_name: match Name::new("local") {
                Ok(name) => name,
                Err(_) => unreachable!("the name is valid"),
            },
            domains: ["east", "north", "west"].map(str::to_owned).to_vec(),
            domain_vms: 1,
            domain_disks: 1,
            lease: Self::short_leases(),
            heartbeat_ms: 50,
            election_ms: 300,
            bounds: BoundSettings::default(),
            compact_entries: 2_000,
        }
    }
}
