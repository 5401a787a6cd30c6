//! The cell configuration that operators publish: queues, worker pools and teams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::JobSpec;
use crate::Resources;

/// One version of the cell configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Version number. A document replaces the current one only if its version is higher.
    pub version: u64,
    /// Queues to which jobs are submitted.
    pub queues: Vec<Queue>,
    /// Worker pools.
    pub pools: Vec<Pool>,
    /// Teams that own jobs and share the capacity of the cell.
    pub teams: Vec<Team>,
    /// Half-life of the past use of a team in milliseconds; 0 if past use does not count, `None` to leave it to the
    /// settings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub past_use_ms: Option<u64>,
}

/// A queue of jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Unique name of the queue.
    pub name: String,
    /// Host name of requests to the queue.
    pub host: String,
    /// Path prefix of requests to the queue.
    pub prefix: String,
    /// Longest time that a request to the queue may take.
    pub timeout_ms: u64,
    /// Time that a job may take in addition to its slowed-down run time.
    #[serde(rename = "objective_ms")]
    pub allowance_ms: u64,
    /// Scheduling priority; 0 is the highest.
    pub priority: u32,
    /// Name of the pool whose workers run the jobs of the queue.
    pub pool: String,
    /// Number of failed runs after which a task, and with it its job, fails.
    pub max_attempts: u32,
    /// Longest time that a job may take, as a multiple of the run time of its tasks.
    #[serde(rename = "stretch")]
    pub max_slowdown: f64,
    /// Settings of the external placement policy, which decides on the workers that may run a step.
    pub policy: Option<Policy>,
    /// Whether requests are accepted without an API key.
    pub public: bool,
    /// Regions in which the tasks of the queue may run; empty for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<String>,
}

/// Host and path prefix of a queue. They identify it in each document, while its name may change.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Route {
    /// Host name of requests to the queue.
    pub host: String,
    /// Path prefix of requests to the queue.
    pub prefix: String,
}

impl Queue {
    /// Host and path prefix of the queue.
    pub fn route(&self) -> Route {
        Route {
            host: self.host.clone(),
            prefix: self.prefix.clone(),
        }
    }

    /// Whether the queue has this host and path prefix.
    pub fn is_at(&self, route: &Route) -> bool {
        self.host == route.host && self.prefix == route.prefix
    }

    /// Whether the tasks of the queue may run in some regions only.
    pub fn is_bound(&self) -> bool {
        !self.regions.is_empty()
    }

    /// Whether the tasks of the queue may run in this region.
    pub fn allows(&self, region: &str) -> bool {
        !self.is_bound() || self.regions.iter().any(|r| r == region)
    }

    /// Multiple of its objective after which the end of a job is of no use to its caller.
    const EXPIRY_FACTOR: u64 = 3;

    /// Time from its acceptance in which a job is to end.
    pub fn objective_ms(&self, spec: &JobSpec) -> u64 {
        // Per mille, since the run time is an integer.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the slowdown is a small positive factor"
        )]
        let slowdown = (self.max_slowdown.max(1.0) * 1e3) as u64;
        let run_ms = spec.estimate_ms().saturating_mul(slowdown) / 1_000;
        run_ms.saturating_add(self.allowance_ms)
    }

    /// Time from its acceptance after which the end of a job is of no use to its caller. Jobs that
    /// run repeatedly or until they are cancelled never expire.
    pub fn expiry_ms(&self, spec: &JobSpec) -> u64 {
        let expires = spec.repeat.is_none() && !spec.steps.iter().any(|s| s.long_running);
        match expires {
            true => self.objective_ms(spec).saturating_mul(Self::EXPIRY_FACTOR),
            false => u64::MAX,
        }
    }
}

/// Cost of a query to the external placement policy, and validity of its tickets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Fixed time that a query takes.
    pub base_ms: f64,
    /// Additional time for each worker in the query.
    #[serde(rename = "each_ms")]
    pub worker_ms: f64,
    /// How long a ticket is valid.
    pub valid_ms: u64,
}

/// A pool of workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Unique name of the pool.
    pub name: String,
    /// Whether the workers of the pool reject tasks that exceed their capacity.
    #[serde(rename = "guards")]
    pub enforces_capacity: bool,
    /// Longest time, in milliseconds, for which a worker of the pool is slow after its start; 0 if not known.
    #[serde(default)]
    pub cold_ms: u64,
}

/// A team that submits jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Unique name of the team.
    pub name: String,
    /// API keys that identify the team.
    pub keys: Vec<String>,
    /// Share of the team when the cell is full, relative to the other teams.
    pub weight: u64,
    /// Upper limit of the resources that its running tasks may use; a value of 0 means no limit.
    pub cap: Resources,
}

/// Reason why a document is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentError {
    /// A queue refers to a pool that the document does not define.
    UnknownPool(String),
    /// Two queues have the same host and prefix.
    DuplicateRoute(String),
    /// A queue has a request timeout of 0.
    ZeroTimeout(String),
    /// Two teams have the same API key. The error does not reveal the key.
    SharedKey(String),
}

impl std::fmt::Display for DocumentError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::UnknownPool(q) => write!(f, "queue {q} names an unknown pool"),
            Self::DuplicateRoute(q) => {
                write!(f, "queue {q} has the same host and prefix as another queue")
            }
            Self::ZeroTimeout(q) => write!(f, "queue {q} has a timeout of 0 ms"),
            Self::SharedKey(t) => write!(f, "team {t} has the same API key as another team"),
        }
    }
}

impl Document {
    /// Returns the first error in the document, if any.
    pub fn find_error(&self) -> Option<DocumentError> {
        let pools: BTreeSet<&str> = self.pools.iter().map(|p| p.name.as_str()).collect();
        let mut routes = BTreeSet::new();
        for queue in &self.queues {
            if !pools.contains(queue.pool.as_str()) {
                return Some(DocumentError::UnknownPool(queue.name.clone()));
            }
            if queue.timeout_ms == 0 {
                return Some(DocumentError::ZeroTimeout(queue.name.clone()));
            }
            if !routes.insert((queue.host.as_str(), queue.prefix.as_str())) {
                return Some(DocumentError::DuplicateRoute(queue.name.clone()));
            }
        }
        let mut owners = BTreeMap::new();
        for team in &self.teams {
            for key in &team.keys {
                let owner = owners.insert(key.as_str(), team.name.as_str());
                if owner.is_some_and(|o| o != team.name) {
                    return Some(DocumentError::SharedKey(team.name.clone()));
                }
            }
        }
        None
    }

    /// Returns the queue that serves a request: the host must match, and the longest prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let is_match = |q: &&Queue| q.host == host && path.starts_with(&q.prefix);
        self.queues
            .iter()
            .filter(is_match)
            .max_by_key(|q| q.prefix.len())
    }

    /// Returns the queue with this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| q.name == name)
    }

    /// Returns the queue with this host and path prefix.
    pub fn queue_at(&self, route: &Route) -> Option<&Queue> {
        self.queues.iter().find(|q| q.is_at(route))
    }

    /// Returns the team that this API key identifies.
    pub fn team_of(&self, key: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.keys.iter().any(|k| k == key))
    }

    /// Returns the team with this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }
}
