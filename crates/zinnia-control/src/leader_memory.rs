//! Bounds on the memory that callers' jobs take on the leader.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use zinnia_plan::Job;
use zinnia_plan::JobSpec;
use zinnia_plan::State;

/// Jobs up to this size are not summed up; the number of open jobs bounds them.
const SMALL_JOB: usize = 100;
/// Messages up to this length are not counted.
const SMALL_MESSAGE_BYTES: usize = 64 * 1024;

/// Memory of a task or a step, in bytes. What a job keeps beside these counts in parts of this size.
const TASK_BYTES: usize = 512;

/// Number of tasks that take as much memory as the texts and lists of a job.
fn text_size(spec: &JobSpec) -> usize {
    spec.text_bytes() / TASK_BYTES
}

/// Tasks and steps that a submitted job will have over all its rounds, and what its texts and lists count as.
fn submitted_size(spec: &JobSpec) -> usize {
    let tasks = |count: u32| usize::try_from(count).unwrap_or(usize::MAX);
    let sizes = spec.steps.iter().map(|s| tasks(s.count).saturating_add(1));
    let round = sizes.fold(0, usize::saturating_add);
    let rounds = spec.repeat.as_ref().map_or(1, |r| tasks(r.count).max(1));
    round.saturating_mul(rounds).saturating_add(text_size(spec))
}

/// The same for an accepted job.
fn size(job: &Job) -> usize {
    let steps = job.rounds.iter().flatten();
    let tasks: usize = steps.map(|s| s.tasks.len() + 1).sum();
    tasks.saturating_add(text_size(&job.spec))
}

/// Whether a new job is large, and would bring the sizes of all open large jobs above `max`. A job that is
/// above `max` by itself is accepted while no other large job is open.
pub(crate) fn has_no_room(state: &State, spec: &JobSpec, max: usize) -> bool {
    let new = submitted_size(spec);
    if new <= SMALL_JOB {
        return false;
    }
    let open = state.live.iter().filter_map(|id| state.jobs.get(id));
    let open: usize = open.map(size).filter(|size| *size > SMALL_JOB).sum();
    open > 0 && open.saturating_add(new) > max
}

/// Counts the bytes of large messages that are being handled.
#[derive(Debug, Default)]
pub(crate) struct MessageMemory(AtomicUsize);

/// Bytes of a message that is being handled; its drop gives them back.
#[derive(Debug)]
pub(crate) struct MessageHold<'a> {
    memory: &'a MessageMemory,
    bytes: usize,
}

impl MessageMemory {
    /// Reserves the bytes of a message, or returns `None` if large messages hold `max` already. One is handled at
    /// a time, whatever its length.
    pub(crate) fn hold(&self, bytes: usize, max: usize) -> Option<MessageHold<'_>> {
        let bytes = match bytes <= SMALL_MESSAGE_BYTES {
            true => 0,
            false => bytes,
        };
        let fits = |held: usize| held == 0 || bytes == 0 || held.saturating_add(bytes) <= max;
        self.0
            .try_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
                fits(held).then_some(held.saturating_add(bytes))
            })
            .ok()?;
        Some(MessageHold {
            memory: self,
            bytes,
        })
    }
}

impl Drop for MessageHold<'_> {
    fn drop(&mut self) {
        self.memory.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use zinnia_plan::Batch;
    use zinnia_plan::Record;
    use zinnia_plan::Step;
    use zinnia_types::JobId;

    use super::*;

    /// Guards against jobs whose lists take all the memory while their tasks and steps are few.
    #[test]
    fn long_lists_count_as_tasks() {
        let step = Step {
            count: 1,
            depends_on: (0..60_000).collect(),
            ..Step::default()
        };
        let spec = JobSpec {
            text: String::new(),
            steps: vec![step],
            repeat: None,
        };
        let mut state = State::default();
        let job = |n| Record::Submit {
            id: JobId(n),
            queue: "plan".to_owned(),
            route: None,
            team: String::new(),
            spec: spec.clone(),
        };
        let most_jobs = 10;
        let max = most_jobs * 60_000 * size_of::<usize>() / TASK_BYTES;
        let mut accepted = 0;
        while !has_no_room(&state, &spec, max) {
            accepted += 1;
            assert!(accepted <= most_jobs, "{accepted} jobs are accepted");
            state.apply(&Batch {
                records: vec![job(accepted as u64)],
                ..Batch::default()
            });
        }
        assert!(accepted + 2 >= most_jobs, "{accepted} jobs are accepted");
    }

    /// Guards against large messages that are handled at once without a bound, and against one that never is.
    #[test]
    fn large_messages_share_a_bound() {
        let memory = MessageMemory::default();
        let first = memory.hold(10 << 20, 1 << 20);
        assert!(first.is_some());
        assert!(memory.hold(100 << 10, 1 << 20).is_none());
        assert!(memory.hold(1_000, 1 << 20).is_some());
        drop(first);
        assert!(memory.hold(100 << 10, 1 << 20).is_some());
    }
}
