//! Jobs that an isolated failure domain has accepted on its own disk.
//!
//! Only jobs pinned to the domain are accepted like this, and only by its acting owner, so that the
//! same name cannot be accepted on both sides of a partition with different content.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use anyhow::Context;
use anyhow::Result;
use serde::Deserialize;
use serde::Serialize;
use zinnia_cell::Command;
use zinnia_cell::Digest;
use zinnia_cell::LiveJob;
use zinnia_cell::Reply;
use zinnia_store::RecordFile;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Ran;

use crate::authority::Right;
use crate::shared::Shared;

/// Most jobs that wait for the quorum on one VM.
const MAX_JOBS: usize = 10_000;

/// A job accepted without the quorum.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// The job.
    pub job: Job,
    /// Digest of the request as the caller sent it.
    pub request: Digest,
}

impl Accepted {
    /// The job as the cell would list it.
    pub fn live(&self) -> LiveJob {
        LiveJob {
            job: self.job.clone(),
            cancelled: false,
            dispatched: BTreeMap::new(),
            ends: BTreeMap::new(),
        }
    }
}

/// The file of such jobs; absent on a VM without a disk.
#[derive(Default)]
pub struct Journal {
    file: Mutex<Option<RecordFile>>,
}

impl Journal {
    /// Opens the journal from what the store found.
    ///
    /// # Errors
    ///
    /// Fails when a record is not a job.
    pub fn open(file: RecordFile, texts: &[String]) -> Result<(Self, BTreeMap<JobId, Accepted>)> {
        let mut jobs = BTreeMap::new();
        for text in texts {
            let accepted: Accepted =
                serde_json::from_str(text).context("read a job accepted in isolation")?;
            jobs.insert(accepted.job.id, accepted);
        }
        let file = Mutex::new(Some(file));
        Ok((Self { file }, jobs))
    }

    fn lock(&self) -> MutexGuard<'_, Option<RecordFile>> {
        self.file.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, accepted: &Accepted) -> Result<(), ErrorBody> {
        let refuse = |code, text: String| Err(ErrorBody::new(code, "journal", text));
        let text = match serde_json::to_string(accepted) {
            Ok(text) => text,
            Err(e) => return refuse(Code::Internal, e.to_string()),
        };
        let mut file = self.lock();
        let Some(file) = file.as_mut() else {
            let text = "the domain is isolated and its acting owner has no disk";
            return refuse(Code::Unavailable, text.to_owned());
        };
        // After a failed sync the record may or may not be on disk.
        file.append(&[text])
            .map_err(|e| ErrorBody::new(Code::Internal, "journal", e.to_string()).ran(Ran::Unknown))
    }

    fn replace<'a>(&self, jobs: impl Iterator<Item = &'a Accepted>) -> Result<()> {
        let texts: Vec<String> = jobs
            .map(serde_json::to_string)
            .collect::<serde_json::Result<_>>()?;
        if let Some(file) = self.lock().as_mut() {
            file.replace(&texts)?;
        }
        Ok(())
    }
}

/// Accepts a pinned job on the disk of this VM, which is the isolated acting owner of its domain.
///
/// # Errors
///
/// Refuses when the VM has no right to do so, the name stands for another job, or the disk fails.
pub fn accept(shared: &Arc<Shared>, job: Job, request: Digest) -> Result<(), ErrorBody> {
    let refuse = |code, text: &str| ErrorBody::new(code, "journal", text);
    let id = job.id;
    let accepted = Accepted { job, request };
    let known = shared.with_engine(|b, now| {
        if b.right(now) != Right::Isolated || !b.acting.contains_key(&accepted.job.domain) {
            let text = "no quorum, and this VM does not act alone";
            return Err(refuse(Code::Unavailable, text));
        }
        if b.cell.job(id).is_some() {
            let text = "the name is in use; what it stands for cannot be compared without a quorum";
            return Err(refuse(Code::Unavailable, text));
        }
        if b.local.len() >= MAX_JOBS {
            return Err(refuse(
                Code::Overloaded,
                "too many jobs wait for the quorum",
            ));
        }
        Ok(b.local.get(&id).map(|known| known.request))
    })?;
    match known {
        Some(known) if known == request => return Ok(()),
        Some(_) => {
            return Err(refuse(Code::Conflict, "the name stands for another job"));
        }
        None => {}
    }
    shared.journal.add(&accepted)?;
    metrics::counter!("zinnia_jobs_accepted_isolated_total").increment(1);
    shared.with_engine(|b, now| {
        let live = accepted.live();
        b.local.insert(id, accepted);
        if let Some(acting) = b.acting.get_mut(&live.job.domain) {
            acting.submit(&live, false, now, &mut b.pushes);
        }
    });
    Ok(())
}

/// Brings jobs accepted in isolation into the log once the quorum is in reach.
pub async fn merge(shared: &Arc<Shared>) {
    let jobs = shared.with_engine(|b, now| {
        if b.right(now) != Right::Quorum {
            return Vec::new();
        }
        b.local.values().cloned().collect()
    });
    if jobs.is_empty() {
        return;
    }
    for accepted in jobs {
        let id = accepted.job.id;
        let command = Command::AcceptJob {
            job: Box::new(accepted.job),
            request: accepted.request,
            // The key was checked when the job was accepted; it may have been withdrawn since.
            key: None,
        };
        match shared.propose(&command).await {
            Ok(Reply::Accepted { .. }) => {}
            Ok(reply) => {
                metrics::counter!("zinnia_jobs_lost_in_merge_total").increment(1);
                tracing::error!(step = "merge", job = %id, ?reply, "job accepted in isolation is refused");
            }
            // Tried again with the next round.
            Err(_) => continue,
        }
        shared.with_engine(|b, _| b.local.remove(&id));
    }
    let rest = shared.with_engine(|b, _| b.local.clone());
    if let Err(error) = shared.journal.replace(rest.values()) {
        tracing::error!(step = "merge", %error, "journal of isolated jobs is not shortened");
    }
}
