//! The data folder of a VM: opening it at the start, and again after a disk failure.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::PoisonError;

use anyhow::Context;
use anyhow::Result;
use zinnia_cell::KeyId;
use zinnia_raft::RecoveredState;
use zinnia_replica::ReopenFn;
use zinnia_store::Identity as FolderIdentity;
use zinnia_store::RecordFile;
use zinnia_store::Store;
use zinnia_store::StoreOptions;
use zinnia_types::JobId;
use zinnia_types::VmId;

use crate::journal::IsolatedJob;
use crate::journal::Journal;
use crate::settings::Settings;
use crate::shared::Shared;

/// The contents of the data folder, or a new identity for a VM without one.
pub(crate) struct RecoveredData {
    pub(crate) id: VmId,
    pub(crate) store: Option<Store>,
    pub(crate) log: RecoveredState,
    pub(crate) withdrawn_file: Option<RecordFile>,
    pub(crate) withdrawn_ids: Vec<KeyId>,
    pub(crate) journal: Journal,
    pub(crate) isolated_jobs: BTreeMap<JobId, IsolatedJob>,
}

impl RecoveredData {
    pub(crate) fn open(settings: &Settings) -> Result<Self> {
        let new_identity =
            FolderIdentity::generate(settings.cell.as_str()).context("generate an identity")?;
        let Some(folder) = settings.data.as_ref() else {
            return Ok(Self {
                id: new_identity.id,
                store: None,
                log: RecoveredState::default(),
                withdrawn_file: None,
                withdrawn_ids: Vec::new(),
                journal: Journal::default(),
                isolated_jobs: BTreeMap::new(),
            });
        };
        let (store, recovered) =
            Store::open_with(folder, &new_identity, store_options(settings))
                .with_context(|| format!("open the data folder {}", folder.display()))?;
        let (file, texts) = store.withdrawn_keys().context("open the withdrawn keys")?;
        let ids = texts
            .iter()
            .map(|t| t.parse().context("read the withdrawn keys"))
            .collect::<Result<_>>()?;
        let (jobs, texts) = store
            .open_records(Journal::FILE_NAME)
            .context("open the journal of isolated jobs")?;
        let (journal, isolated_jobs) = Journal::open(jobs, &texts)?;
        Ok(Self {
            id: store.identity().id,
            store: Some(store),
            log: recovered,
            withdrawn_file: Some(file),
            withdrawn_ids: ids,
            journal,
            isolated_jobs,
        })
    }
}

fn store_options(settings: &Settings) -> StoreOptions {
    StoreOptions {
        disk_hook: settings.disk_hook.as_ref().map(|d| Arc::clone(&d.0)),
        ..StoreOptions::default()
    }
}

/// Returns the callback that opens the data folder again after a disk failure, with its record files,
/// which may have failed as well. `None` without a data folder.
pub(crate) fn reopen_hook(shared: &Arc<Shared>) -> Option<ReopenFn> {
    let folder = shared.settings.data.clone()?;
    let identity = FolderIdentity {
        id: shared.id(),
        cluster: shared.settings.cell.to_string(),
    };
    let options = store_options(&shared.settings);
    let weak = Arc::downgrade(shared);
    Some(Box::new(move || {
        let (store, recovered) = Store::open_with(&folder, &identity, options.clone())?;
        if let Some(shared) = weak.upgrade() {
            // Locked while the file is read, so that no record is appended meanwhile.
            let mut withdrawn_file = shared
                .withdrawn_file
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *withdrawn_file = Some(store.withdrawn_keys()?.0);
            drop(withdrawn_file);
            shared.journal.reopen(&store)?;
        }
        Ok((store, recovered))
    }))
}
