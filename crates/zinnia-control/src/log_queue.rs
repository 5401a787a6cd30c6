//! Queue in front of the log, which combines the records that wait into one entry.
//!
//! An entry costs the leader an encoding, a message to each follower and a decoding, however few records it has.
//! While entries are on their way, the records that arrive wait and share the next one. What keeps the cell going
//! (ends of runs, starts, heartbeats, cancellations, leases) goes before new jobs.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use zinnia_plan::LeaseChanges;
use zinnia_plan::Record;
use zinnia_plan::Reply;
use zinnia_raft::RejectReason;
use zinnia_replica::ProposalOutcome;

use crate::LeaderTime;
use crate::context::MemberContext;
use crate::leader::PROPOSE_TIMEOUT;
use crate::leader::propose_entry;

/// Number of entries that may be on their way. A second one lets the followers sync one while the next arrives.
const MAX_OPEN_ENTRIES: usize = 2;
/// Number of records in one entry before new jobs are added.
const MAX_RECORDS: usize = 256;
/// Number of new jobs in one entry, so that a burst of them does not delay what arrives behind it.
const MAX_NEW_JOBS: usize = 64;
/// Largest estimated size of an entry. A larger item is sent alone.
const MAX_ENTRY_BYTES: usize = 256 << 10;
/// Estimated size of a record without its texts.
const RECORD_BYTES: usize = 200;
/// Time after which an entry without an outcome does not hold up the next ones any more. A leader that has lost
/// its quorum learns the outcome only from the next leader.
const MAX_HOLD: Duration = Duration::from_millis(500);

/// Outcome of a proposal; `None` if it is unknown.
pub(crate) type Verdict = Option<ProposalOutcome<Vec<Reply>>>;

/// Records that share one outcome.
struct Item {
    records: Vec<Record>,
    lease_changes: LeaseChanges,
    /// When the records must not be proposed any more.
    deadline: Option<LeaderTime>,
    /// Set by whichever comes first: the queue, when it takes the item, or the proposer, when it gives up.
    taken: Arc<AtomicBool>,
    reply: oneshot::Sender<Verdict>,
    queued_at: Instant,
}

impl Item {
    /// Whether the item may be proposed at `now`, which is `None` if this process does not lead.
    fn may_start(&self, now: Option<LeaderTime>) -> bool {
        self.deadline
            .is_none_or(|deadline| now.is_some_and(|now| deadline.allows(now)))
    }

    fn is_new_job(&self) -> bool {
        matches!(self.records.first(), Some(Record::Submit { .. }))
    }

    fn size(&self) -> usize {
        let texts = |record: &Record| match record {
            Record::Document { raw, .. } => raw.len().saturating_mul(2),
            Record::Submit { spec, .. } => {
                let steps = spec.steps.len().saturating_mul(RECORD_BYTES);
                spec.text.len().saturating_add(steps)
            }
            Record::Ends { list, .. } => list.len().saturating_mul(RECORD_BYTES),
            Record::Start(list) => list.len().saturating_mul(RECORD_BYTES),
            _ => 0,
        };
        let sizes = self
            .records
            .iter()
            .map(|r| texts(r).saturating_add(RECORD_BYTES));
        sizes.fold(0, usize::saturating_add)
    }
}

/// Items that wait, first come, first served in each class.
#[derive(Default)]
struct Waiting {
    /// What keeps the cell going.
    upkeep: VecDeque<Item>,
    new_jobs: VecDeque<Item>,
}

/// Size of an entry while it is filled.
#[derive(Default)]
struct EntrySize {
    records: usize,
    bytes: usize,
}

impl Waiting {
    /// Takes the items of the next entry.
    fn take_entry(&mut self, now: Option<LeaderTime>) -> Vec<Item> {
        let mut size = EntrySize::default();
        let mut items = take_items(&mut self.upkeep, MAX_RECORDS, now, &mut size);
        let most = size.records.saturating_add(MAX_NEW_JOBS);
        items.extend(take_items(&mut self.new_jobs, most, now, &mut size));
        items
    }
}

/// Takes items until the entry has `max_records` records or is large enough. Skips those that were given up, and
/// rejects those that come too late.
fn take_items(
    queue: &mut VecDeque<Item>,
    max_records: usize,
    now: Option<LeaderTime>,
    size: &mut EntrySize,
) -> Vec<Item> {
    let mut items = Vec::new();
    while let Some(item) = queue.front() {
        let bytes = size.bytes.saturating_add(item.size());
        let is_full = size.records >= max_records || bytes > MAX_ENTRY_BYTES;
        if is_full && size.records > 0 {
            break;
        }
        let Some(item) = queue.pop_front() else {
            break;
        };
        if item.taken.swap(true, Ordering::AcqRel) {
            continue;
        }
        if !item.may_start(now) {
            let _ = item.reply.send(Some(REJECTED));
            continue;
        }
        size.records += item.records.len().max(1);
        size.bytes = bytes;
        items.push(item);
    }
    items
}

/// Outcome of records that are certainly not in the log and will not be added.
const REJECTED: ProposalOutcome<Vec<Reply>> = ProposalOutcome::Rejected {
    leader: None,
    reason: RejectReason::Busy,
};

/// Queue in front of the log.
#[derive(Default)]
pub(crate) struct LogQueue {
    waiting: Mutex<Waiting>,
    wakeup: Notify,
}

impl LogQueue {
    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Proposes records with the others that wait, unless their deadline has passed then. After `limit`, records
    /// that are still in the queue are certainly rejected; for others the outcome is unknown.
    pub(crate) async fn propose(
        &self,
        records: Vec<Record>,
        lease_changes: LeaseChanges,
        deadline: Option<LeaderTime>,
        limit: Duration,
    ) -> Verdict {
        let (reply, outcome) = oneshot::channel();
        let taken = Arc::new(AtomicBool::new(false));
        let item = Item {
            records,
            lease_changes,
            deadline,
            taken: Arc::clone(&taken),
            reply,
            queued_at: Instant::now(),
        };
        {
            let mut waiting = self.waiting();
            match item.is_new_job() {
                true => waiting.new_jobs.push_back(item),
                false => waiting.upkeep.push_back(item),
            }
        }
        self.wakeup.notify_one();
        match tokio::time::timeout(limit, outcome).await {
            Ok(verdict) => verdict.ok()?,
            Err(_) if !taken.swap(true, Ordering::AcqRel) => Some(REJECTED),
            Err(_) => None,
        }
    }
}

/// Proposes what waits in the queue until the process ends.
pub(crate) async fn run(context: Arc<MemberContext>) {
    let open_entries = Arc::new(Semaphore::new(MAX_OPEN_ENTRIES));
    loop {
        let Ok(permit) = Arc::clone(&open_entries).acquire_owned().await else {
            return;
        };
        let items = loop {
            let items = context
                .log_queue
                .waiting()
                .take_entry(context.leader_time());
            if !items.is_empty() {
                break items;
            }
            context.log_queue.wakeup.notified().await;
        };
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            let proposal = propose_items(&context, items);
            tokio::pin!(proposal);
            let is_done = tokio::time::timeout(MAX_HOLD, &mut proposal).await.is_ok();
            drop(permit);
            if !is_done {
                proposal.await;
            }
        });
    }
}

/// Proposes items as one entry and tells each its part of the outcome.
async fn propose_items(context: &MemberContext, items: Vec<Item>) {
    let mut records = Vec::new();
    let mut changes = LeaseChanges::default();
    let mut replies = Vec::new();
    for item in items {
        let waited = item.queued_at.elapsed();
        metrics::histogram!("zinnia_log_queue_ms").record(waited.as_secs_f64() * 1e3);
        replies.push((item.records.len(), item.reply));
        records.extend(item.records);
        merge(&mut changes, item.lease_changes);
    }
    metrics::counter!("zinnia_log_entries_total").increment(1);
    metrics::counter!("zinnia_log_records_total").increment(records.len() as u64);
    let verdict = propose_entry(context, records, changes, PROPOSE_TIMEOUT).await;
    let Some(outcome) = verdict else {
        // Without a sender the outcome is unknown.
        return;
    };
    match outcome {
        ProposalOutcome::Applied { index, reply } => {
            let mut all = reply.map(Vec::into_iter);
            for (count, sender) in replies {
                let reply = all.as_mut().map(|r| r.by_ref().take(count).collect());
                let _ = sender.send(Some(ProposalOutcome::Applied { index, reply }));
            }
        }
        ProposalOutcome::Rejected { leader, reason } => {
            for (_, sender) in replies {
                let _ = sender.send(Some(ProposalOutcome::Rejected { leader, reason }));
            }
        }
    }
}

/// Adds the changes of one item to those of an entry. Of `stopped`, only the list of the latest term is kept, since
/// an entry of another term would void it; the other lists hold in any term.
fn merge(all: &mut LeaseChanges, changes: LeaseChanges) {
    if changes.term < all.term {
        all.resumed.extend(changes.resumed);
        all.received.extend(changes.received);
        all.unanswered.extend(changes.unanswered);
        return;
    }
    if changes.term > all.term {
        all.term = changes.term;
        all.stopped.clear();
    }
    all.stopped.extend(changes.stopped);
    all.resumed.extend(changes.resumed);
    all.received.extend(changes.received);
    all.unanswered.extend(changes.unanswered);
}
