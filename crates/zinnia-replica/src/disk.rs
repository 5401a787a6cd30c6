//! The log thread's view of its disk: writes that were submitted and what waits for them.

use std::collections::VecDeque;
use std::sync::mpsc;

use zinnia_raft::Action;
use zinnia_raft::Message;
use zinnia_raft::Snapshot;
use zinnia_store::Store;
use zinnia_store::StoreError;
use zinnia_types::Time;
use zinnia_types::VmId;

use crate::disk_thread::Command;
use crate::disk_thread::DiskThread;
use crate::disk_thread::Job;
use crate::disk_thread::Report;

/// What is done once the writes before it are synced.
pub(crate) enum Step {
    /// Perform an action.
    Perform(Action),
    /// Report to the node that its entries up to this index are synced.
    ReportSync(u64),
}

/// A step that waits for the job with this number.
struct Waiting {
    job: u64,
    /// Whether later actions must wait for the step, even those that may precede a sync.
    blocks: bool,
    step: Step,
}

/// Submitted writes and the steps that wait for them.
pub(crate) struct Disk {
    /// `None` for a log without a store, on which every job is done at once.
    commands: Option<mpsc::Sender<Command>>,
    /// Number of the last submitted job.
    submitted: u64,
    /// Number of the last job that is synced.
    synced: u64,
    /// Number of the last job that writes a new term or vote.
    vote_job: u64,
    /// When the oldest job that is not synced was submitted, or a job before it was synced.
    waiting_since: Time,
    queue: VecDeque<Waiting>,
    /// Number of steps in the queue with `blocks`.
    blocking: usize,
    /// Leader and send time of the last message to which a contact reply was sent.
    last_contact: Option<(VmId, u64)>,
}

impl Disk {
    /// Starts the thread of a store. `report` passes its reports to the log thread.
    pub(crate) fn start(
        store: Option<Store>,
        report: Box<dyn Fn(Report) + Send>,
    ) -> std::io::Result<Self> {
        let mut commands = None;
        if store.is_some() {
            let (tx, rx) = mpsc::channel();
            let thread = DiskThread {
                store,
                commands: rx,
                report,
            };
            std::thread::Builder::new()
                .name("disk".to_owned())
                .spawn(move || thread.run())?;
            commands = Some(tx);
        }
        Ok(Self {
            commands,
            submitted: 0,
            synced: 0,
            vote_job: 0,
            waiting_since: Time::default(),
            queue: VecDeque::new(),
            blocking: 0,
            last_contact: None,
        })
    }

    /// Submits a write.
    pub(crate) fn submit(&mut self, job: Job, now: Time) {
        if self.synced == self.submitted {
            self.waiting_since = now;
        }
        self.submitted += 1;
        match &self.commands {
            Some(commands) => {
                let _ = commands.send(Command::Perform(self.submitted, job));
            }
            None => self.synced = self.submitted,
        }
    }

    /// Records that the last submitted job writes a new term or vote.
    pub(crate) fn mark_vote(&mut self) {
        self.vote_job = self.submitted;
    }

    /// Saves a snapshot and waits for it. Returns `false` if the store is closed.
    pub(crate) fn save_now(&self, snapshot: &Snapshot) -> Result<bool, StoreError> {
        let Some(commands) = &self.commands else {
            return Ok(true);
        };
        let (tx, rx) = mpsc::channel();
        let _ = commands.send(Command::SaveNow(snapshot.clone(), tx));
        // The disk thread always replies while it runs.
        rx.recv().unwrap_or(Ok(false))
    }

    /// Closes the store and waits until its folder is released.
    pub(crate) fn close(&self) {
        if let Some(commands) = &self.commands {
            let (tx, rx) = mpsc::channel();
            let _ = commands.send(Command::Close(tx));
            let _ = rx.recv();
        }
    }

    /// Records that all jobs up to this number are synced.
    pub(crate) fn record_synced(&mut self, job: u64, now: Time) {
        self.synced = self.synced.max(job);
        self.waiting_since = now;
    }

    /// Forgets all jobs and waiting steps, after a failed write.
    pub(crate) fn reset(&mut self) {
        self.synced = self.submitted;
        self.queue.clear();
        self.blocking = 0;
    }

    /// Adds a step that is due once all jobs submitted so far are synced.
    pub(crate) fn defer(&mut self, step: Step, blocks: bool) {
        self.blocking += usize::from(blocks);
        self.queue.push_back(Waiting {
            job: self.submitted,
            blocks,
            step,
        });
    }

    /// Adds a step that need not wait for a write itself, behind the steps that block it. Until it is
    /// due, it blocks as well: entries must be applied in order.
    pub(crate) fn defer_blocked(&mut self, step: Step) {
        let blocker = self.queue.iter().rev().find(|w| w.blocks);
        let job = blocker.map_or(self.synced, |w| w.job);
        self.blocking += 1;
        self.queue.push_back(Waiting {
            job,
            blocks: true,
            step,
        });
    }

    /// Whether a step blocks actions that may otherwise precede a sync.
    pub(crate) fn is_blocked(&self) -> bool {
        self.blocking > 0
    }

    /// Removes the next step that is due. A step that waits for an earlier write than those before it
    /// is due earlier.
    pub(crate) fn next_due(&mut self) -> Option<Step> {
        let index = self.queue.iter().position(|w| w.job <= self.synced)?;
        let waiting = self.queue.remove(index)?;
        self.blocking -= usize::from(waiting.blocks);
        Some(waiting.step)
    }

    /// Returns a reply that only shows the leader that this node is alive, if one is needed: a reply
    /// to the leader waits for a write that has taken `limit_ms` or longer.
    ///
    /// Without it, a leader whose followers have slow disks would lose contact to them.
    pub(crate) fn contact_reply(&mut self, limit_ms: u64, now: Time) -> Option<(VmId, Message)> {
        let is_slow = self.synced < self.submitted && now.since(self.waiting_since) >= limit_ms;
        // A message in a new term must not be sent before the term is stored. Other writes need no
        // wait, since the reply claims nothing about the log or the commit index.
        if !is_slow || self.synced < self.vote_job {
            return None;
        }
        let (to, term, sent) = self.queue.iter().rev().find_map(|w| match &w.step {
            Step::Perform(Action::Send {
                to,
                message: Message::AppendReply { term, sent, .. },
            }) => Some((*to, *term, *sent)),
            _ => None,
        })?;
        if self.last_contact == Some((to, sent)) {
            return None;
        }
        self.last_contact = Some((to, sent));
        Some((to, Message::contact(term, sent)))
    }
}
