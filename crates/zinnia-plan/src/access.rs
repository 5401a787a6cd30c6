//! Which callers may read or cancel a job.

use crate::Job;
use crate::Queue;
use crate::State;

impl State {
    /// Whether a caller of `team` may read or cancel a job through a queue; the team is empty for a caller without a
    /// key, which only a public queue accepts.
    ///
    /// It may through the queue of the job, as the team that submitted it. A later document may have renamed or
    /// removed the queue or the team. Then the other one of the two decides, so that callers still find their jobs.
    pub fn may_access(&self, job: &Job, queue: &Queue, team: &str) -> bool {
        let same_queue = job.is_of(queue);
        let same_team = job.team == team;
        let queue_gone = match &job.route {
            Some(route) => self.document.queue_at(route).is_none(),
            None => self.document.queue(&job.queue).is_none(),
        };
        let team_gone = !job.team.is_empty() && self.document.team(&job.team).is_none();
        match (same_queue, same_team) {
            (true, true) => true,
            (true, false) => queue.public || team_gone,
            (false, true) => queue_gone,
            (false, false) => false,
        }
    }
}
