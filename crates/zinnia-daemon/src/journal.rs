//! Jobs that an isolated failure domain accepts without the quorum, in a journal on disk.
//!
//! Only jobs pinned to the domain are accepted in isolation, and only by the domain's acting owner.
//! Two sides of a network partition therefore cannot accept different jobs under the same name.

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
use zinnia_store::Store;
use zinnia_store::StoreError;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;
use zinnia_types::Job;
use zinnia_types::JobId;

use crate::authority::AuthorityMode;
use crate::shared::Shared;

/// Most jobs accepted in isolation that one VM holds.
const MAX_ISOLATED_JOBS: usize = 10_000;

/// A job accepted in isolation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IsolatedJob {
    /// The job.
    pub job: Job,
    /// Digest of the caller's request, by which a resend is recognised.
    pub request: Digest,
}

impl IsolatedJob {
    /// The job in the form in which the cell lists it.
    pub fn to_live(&self) -> LiveJob {
        LiveJob {
            job: self.job.clone(),
            cancelled: false,
            dispatched: BTreeMap::new(),
            ends: BTreeMap::new(),
        }
    }
}

/// The journal file of the jobs accepted in isolation; a VM without a disk has none.
#[derive(Default)]
pub struct Journal {
    file: Mutex<Option<RecordFile>>,
}

impl Journal {
    /// Name of the file in the store.
    pub const FILE_NAME: &str = "jobs";

    /// Opens the file again after a disk failure. Its jobs stay in memory.
    ///
    /// # Errors
    ///
    /// Fails when the file is corrupt or cannot be read.
    pub fn reopen(&self, store: &Store) -> Result<(), StoreError> {
        let mut file = self.lock();
        *file = Some(store.open_records(Self::FILE_NAME)?.0);
        Ok(())
    }

    /// Reads the jobs from the records of the journal file.
    ///
    /// # Errors
    ///
    /// Fails when a record cannot be read as a job.
    pub fn open(
        file: RecordFile,
        records: &[String],
    ) -> Result<(Self, BTreeMap<JobId, IsolatedJob>)> {
        let mut jobs = BTreeMap::new();
        for record in records {
            let isolated: IsolatedJob =
                serde_json::from_str(record).context("read a job accepted in isolation")?;
            jobs.insert(isolated.job.id, isolated);
        }
        let file = Mutex::new(Some(file));
        Ok((Self { file }, jobs))
    }

    fn lock(&self) -> MutexGuard<'_, Option<RecordFile>> {
        self.file.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, isolated: &IsolatedJob) -> Result<(), ErrorBody> {
        let refuse = |code, text: String| Err(ErrorBody::new(code, "journal", text));
        let text = match serde_json::to_string(isolated) {
            Ok(text) => text,
            Err(e) => return refuse(Code::Internal, e.to_string()),
        };
        let mut file = self.lock();
        let Some(file) = file.as_mut() else {
            let text = "the domain is isolated and its acting owner has no disk";
            return refuse(Code::Unavailable, text.to_owned());
        };
        // After a failed sync the record may or may not be on disk.
        file.append(&[text]).map_err(|e| {
            ErrorBody::new(Code::Internal, "journal", e.to_string()).ran(ExecutionStatus::Unknown)
        })
    }

    fn replace<'a>(&self, jobs: impl Iterator<Item = &'a IsolatedJob>) -> Result<()> {
        let records: Vec<String> = jobs
            .map(serde_json::to_string)
            .collect::<serde_json::Result<_>>()?;
        if let Some(file) = self.lock().as_mut() {
            file.replace(&records)?;
        }
        Ok(())
    }
}

/// Accepts a pinned job in isolation: records it in the journal, then schedules it.
///
/// # Errors
///
/// Refuses when this VM is not the isolated acting owner of the job's domain, when the name is in
/// use by another job, when too many jobs wait for the quorum, or when the disk fails.
pub fn accept_job(shared: &Arc<Shared>, job: Job, request: Digest) -> Result<(), ErrorBody> {
    let refuse = |code, text: &str| ErrorBody::new(code, "journal", text);
    let id = job.id;
    let isolated = IsolatedJob { job, request };
    let known_request = shared.with_engine(|engine, now| {
        if engine.authority_mode(now) != AuthorityMode::Isolated
            || !engine.schedulers.contains_key(&isolated.job.domain)
        {
            let text = "no quorum, and this VM is not the isolated acting owner of the domain";
            return Err(refuse(Code::Unavailable, text));
        }
        if engine.cell.job(id).is_some() {
            let text = "the name is in use; without a quorum the jobs cannot be compared";
            return Err(refuse(Code::Unavailable, text));
        }
        if engine.isolated_jobs.len() >= MAX_ISOLATED_JOBS {
            return Err(refuse(
                Code::Overloaded,
                "too many jobs accepted in isolation wait for the quorum",
            ));
        }
        Ok(engine.isolated_jobs.get(&id).map(|job| job.request))
    })?;
    match known_request {
        Some(known_request) if known_request == request => return Ok(()),
        Some(_) => {
            return Err(refuse(Code::Conflict, "the name is in use by another job"));
        }
        None => {}
    }
    shared.journal.add(&isolated)?;
    metrics::counter!("zinnia_jobs_accepted_isolated_total").increment(1);
    shared.with_engine(|engine, now| {
        let live = isolated.to_live();
        engine.isolated_jobs.insert(id, isolated);
        if let Some(scheduler) = engine.schedulers.get_mut(&live.job.domain) {
            scheduler.submit(&live, false, now, &mut engine.worker_commands);
        }
    });
    Ok(())
}

/// Proposes the jobs accepted in isolation to the log once this VM has quorum contact again.
pub async fn merge_jobs(shared: &Arc<Shared>) {
    let jobs = shared.with_engine(|engine, now| {
        if engine.authority_mode(now) != AuthorityMode::Quorum {
            return Vec::new();
        }
        engine.isolated_jobs.values().cloned().collect()
    });
    if jobs.is_empty() {
        return;
    }
    for isolated in jobs {
        let id = isolated.job.id;
        let command = Command::AcceptJob {
            job: Box::new(isolated.job),
            request: isolated.request,
            // The key was checked when the job was accepted. It may have been withdrawn since,
            // which does not revoke the job.
            key: None,
        };
        match shared.propose(&command).await {
            Ok(Reply::Accepted { .. }) => {}
            Ok(reply) => {
                metrics::counter!("zinnia_jobs_lost_in_merge_total").increment(1);
                tracing::error!(step = "merge", job = %id, ?reply, "the log refused a job accepted in isolation");
            }
            // The job stays in the journal and is proposed again in the next round.
            Err(_) => continue,
        }
        shared.with_engine(|engine, _| engine.isolated_jobs.remove(&id));
    }
    let remaining = shared.with_engine(|engine, _| engine.isolated_jobs.clone());
    if let Err(error) = shared.journal.replace(remaining.values()) {
        tracing::error!(step = "merge", %error, "settled jobs could not be removed from the journal of isolated jobs");
    }
}
