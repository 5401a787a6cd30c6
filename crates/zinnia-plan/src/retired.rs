//! Queues and teams that a document has dropped while they have open jobs.
//!
//! A document does not end a job that an earlier one admitted. The job follows the queue at the host and path
//! prefix to which it was submitted, whatever the name and the other settings of that queue. Once no queue is
//! there, it goes on under the last settings, and within the last limits of its team.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::JobId;

use crate::Document;
use crate::Job;
use crate::Queue;
use crate::Route;
use crate::State;
use crate::Status;
use crate::Team;

/// The last settings of queues and teams that the current document does not have.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Retired {
    queues: Vec<Queue>,
    teams: Vec<Team>,
}

impl Retired {
    pub(crate) fn is_empty(&self) -> bool {
        self.queues.is_empty() && self.teams.is_empty()
    }
}

impl State {
    /// Returns the settings that apply to a job: those of the queue at its host and path prefix, also if that
    /// queue has been removed. `None` if an earlier build accepted the job and its queue is unknown.
    pub fn queue_of(&self, job: &Job) -> Option<&Queue> {
        match &job.route {
            Some(route) => self
                .document
                .queue_at(route)
                .or_else(|| self.retired.queues.iter().find(|q| q.is_at(route))),
            None => self.document.queue(&job.queue),
        }
    }

    /// Returns the team with this name, with its last settings if the document does not have it any more.
    pub fn team(&self, name: &str) -> Option<&Team> {
        let retired = || self.retired.teams.iter().find(|t| t.name == name);
        self.document.team(name).or_else(retired)
    }

    /// Whether the document, or a removed queue that has open jobs, names a pool. Without a document any may be
    /// named yet.
    pub(crate) fn names_pool(&self, name: &str) -> bool {
        let mut pools = self.document.pools.iter().map(|p| p.name.as_str());
        let mut retired = self.retired.queues.iter().map(|q| q.pool.as_str());
        self.document.version == 0 || pools.any(|p| p == name) || retired.any(|p| p == name)
    }

    /// Queues of the document, and removed ones that have open jobs.
    pub(crate) fn queues(&self) -> impl Iterator<Item = &Queue> {
        self.document.queues.iter().chain(&self.retired.queues)
    }

    /// Puts a new document in force.
    pub(crate) fn replace_document(&mut self, raw: &str, document: &Document) {
        for id in self.live.iter().copied().collect::<Vec<_>>() {
            self.bind_job(id);
        }
        self.retired = self.retired_by(document);
        raw.clone_into(&mut self.raw);
        self.document.clone_from(document);
        self.forget_removed_teams();
    }

    /// What open jobs need of the current document and is missing in the next one.
    fn retired_by(&self, next: &Document) -> Retired {
        let jobs = self.live.iter().filter_map(|id| self.jobs.get(id));
        let open: Vec<&Job> = jobs.filter(|j| j.status == Status::Open).collect();
        let routes: BTreeSet<&Route> = open.iter().filter_map(|j| j.route.as_ref()).collect();
        let names: BTreeSet<&str> = open.iter().map(|j| j.team.as_str()).collect();
        let is_lost = |route: &&&Route| next.queue_at(route).is_none();
        let lost = routes.iter().filter(is_lost);
        let queues = lost.filter_map(|route| self.queues().find(|q| q.is_at(route)));
        let gone = names.iter().filter(|name| next.team(name).is_none());
        let teams = gone.filter_map(|name| self.team(name));
        Retired {
            queues: queues.cloned().collect(),
            teams: teams.cloned().collect(),
        }
    }

    /// Finds the queue of a job that an earlier build accepted, by its name.
    pub(crate) fn bind_job(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id)
            && job.route.is_none()
        {
            job.route = self.document.queue(&job.queue).map(Queue::route);
        }
    }
}
