//! The operators' document: queues, pools of workers and teams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::Resources;

/// One version of the document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Version; the highest one is in force.
    pub version: u64,
    /// Queues to which jobs are submitted.
    pub queues: Vec<Queue>,
    /// Pools of workers.
    pub pools: Vec<Pool>,
    /// Teams.
    pub teams: Vec<Team>,
}

/// A queue of jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Host name that callers use.
    pub host: String,
    /// Begin of the path that callers use.
    pub prefix: String,
    /// Longest time that a call may take.
    pub timeout_ms: u64,
    /// Time that a job may take beyond its work.
    pub objective_ms: u64,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Pool whose workers run the jobs.
    pub pool: String,
    /// Failed runs after which a task is given up.
    pub max_attempts: u32,
    /// How many times its work a job may take.
    #[serde(rename = "stretch")]
    pub max_slowdown: f64,
    /// Outside policy that decides which workers may run a step.
    pub policy: Option<Policy>,
    /// Whether callers need no key.
    pub public: bool,
}

/// What a question to the outside policy costs, and how long its answer holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Time for a question.
    pub base_ms: f64,
    /// Time more for each worker that it names.
    #[serde(rename = "each_ms")]
    pub worker_ms: f64,
    /// How long a ticket is valid.
    pub valid_ms: u64,
}

/// A pool of workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name.
    pub name: String,
    /// Whether its workers reject what does not fit.
    #[serde(rename = "guards")]
    pub enforces_capacity: bool,
}

/// A team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Share when the cell is full.
    pub weight: u64,
    /// Most that it may have running; 0 for no limit.
    pub cap: Resources,
}

/// Why a document is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentError {
    /// A queue names a pool that does not exist.
    UnknownPool(String),
    /// Two queues have the same host and prefix.
    DuplicateRoute(String),
    /// A queue gives calls no time.
    ZeroTimeout(String),
    /// Two teams have a key in common; the key is not told.
    SharedKey(String),
}

impl std::fmt::Display for DocumentError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::UnknownPool(q) => write!(f, "queue {q} names an unknown pool"),
            Self::DuplicateRoute(q) => write!(f, "queue {q} has host and prefix of another queue"),
            Self::ZeroTimeout(q) => write!(f, "queue {q} has a timeout of 0"),
            Self::SharedKey(t) => write!(f, "team {t} has a key of another team"),
        }
    }
}

impl Document {
    /// What is wrong with the document, if anything.
    pub fn find_error(&self) -> Option<DocumentError> {
        let pools: BTreeSet<&str> = self.pools.iter().map(|p| p.name.as_str()).collect();
        let mut places = BTreeSet::new();
        for queue in &self.queues {
            if !pools.contains(queue.pool.as_str()) {
                return Some(DocumentError::UnknownPool(queue.name.clone()));
            }
            if queue.timeout_ms == 0 {
                return Some(DocumentError::ZeroTimeout(queue.name.clone()));
            }
            if !places.insert((queue.host.as_str(), queue.prefix.as_str())) {
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

    /// The queue for a call: same host, longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |q: &&Queue| q.host == host && path.starts_with(&q.prefix);
        self.queues
            .iter()
            .filter(fits)
            .max_by_key(|q| q.prefix.len())
    }

    /// The queue called `name`.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| q.name == name)
    }

    /// The team with this key.
    pub fn team_of(&self, key: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.keys.iter().any(|k| k == key))
    }

    /// The team called `name`.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }
}
