//! Steps that control workers, VMs and links.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use anyhow::ensure;
use zinnia_check::EventKind;

use super::context::ScenarioContext;
use super::step::VmAction;
use super::step::WorkerAction;

/// Maximum wait for a draining worker to finish its tasks and calls.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);

/// Stops, drains or restarts a worker, or pauses its heartbeats.
pub(crate) async fn control_worker(
    context: &mut ScenarioContext,
    name: &str,
    action: WorkerAction,
) -> Result<()> {
    if matches!(action, WorkerAction::Restart) {
        let (domain, rack, capacity) = context
            .worker_specs
            .get(name)
            .cloned()
            .context("no such worker")?;
        let rack = format!("{domain}-r{rack}");
        let cell = &mut context.cell;
        return cell.add_worker(name, &domain, &rack, capacity).await;
    }
    if matches!(action, WorkerAction::Kill) {
        context.cell.kill_worker(name);
        return Ok(());
    }
    let handle = context.cell.worker(name).context("no such worker")?;
    let id = handle.worker();
    match action {
        WorkerAction::Leave => {
            handle.leave();
            context.event_log.add(EventKind::Leaving { worker: id });
        }
        WorkerAction::Drain => {
            handle.leave();
            context.event_log.add(EventKind::Leaving { worker: id });
            let finished = context.cell.drain_worker(name, DRAIN_TIMEOUT).await;
            ensure!(
                finished,
                "worker {name} did not finish its tasks and calls in time"
            );
        }
        WorkerAction::PauseHeartbeats => handle.set_heartbeats_paused(true),
        WorkerAction::ResumeHeartbeats => handle.set_heartbeats_paused(false),
        WorkerAction::Kill | WorkerAction::Restart => {}
    }
    Ok(())
}

/// Stops, drains or starts a VM, or damages its disk.
pub(crate) async fn control_vm(
    context: &mut ScenarioContext,
    vm_index: usize,
    action: VmAction,
) -> Result<()> {
    match action {
        VmAction::Kill => {
            let vm = context.vm_id(vm_index).context("the VM is not running")?;
            context.event_log.add(EventKind::Killed { vm });
            context.monitor.unwatch(vm);
            context.cell.kill_vm(vm_index).await;
            context.update_connectivity();
        }
        VmAction::Drain => {
            let vm = context.vm_id(vm_index).context("the VM is not running")?;
            context.event_log.add(EventKind::Drain { vm });
            let finished = context.cell.drain_vm(vm_index).await;
            // A response may still be in transit from the socket to its caller.
            context.event_log.wait_for_callers(vm).await;
            context.event_log.add(EventKind::Drained { vm });
            context.monitor.unwatch(vm);
            context.update_connectivity();
            ensure!(
                finished,
                "the VM was drained before its requests in flight had finished"
            );
        }
        // A step may start a whole domain, some VMs of which already run.
        VmAction::Start if context.cell.daemon(vm_index).is_some() => {}
        VmAction::Start => {
            context.cell.start_vm(vm_index).await?;
            context.watch_vm(vm_index);
            context.update_connectivity();
        }
        VmAction::ExpectStartFailure => {
            let Err(error) = context.cell.start_vm(vm_index).await else {
                bail!("the VM started with a corrupt journal");
            };
            let text = format!("{error:#}");
            ensure!(
                text.contains("journal-"),
                "the error does not name the journal file: {text}"
            );
        }
        VmAction::WipeDisk => context.cell.wipe_vm(vm_index)?,
        VmAction::AppendPartialRecord => {
            let path = newest_journal(context, vm_index)?;
            let mut bytes = fs::read(&path)?;
            // 7 bytes are fewer than the framing of a record takes, so the record is incomplete.
            let partial_record = bytes.get(..7).map(<[u8]>::to_vec);
            bytes.extend(partial_record.context("the journal is empty")?);
            fs::write(&path, bytes)?;
        }
        VmAction::CorruptJournal => {
            let path = newest_journal(context, vm_index)?;
            let mut bytes = fs::read(&path)?;
            let middle = bytes.len() / 2;
            let byte = bytes.get_mut(middle).context("the journal is empty")?;
            *byte ^= 0x40;
            fs::write(&path, bytes)?;
        }
    }
    Ok(())
}

/// Path of the newest journal file of a stopped VM.
fn newest_journal(context: &ScenarioContext, vm_index: usize) -> Result<PathBuf> {
    ensure!(context.cell.daemon(vm_index).is_none(), "the VM is running");
    let settings = context.cell.vm_settings(vm_index).context("no such VM")?;
    let folder = settings.data.as_ref().context("the VM has no disk")?;
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_name().to_string_lossy().starts_with("journal-") {
            files.push(entry.path());
        }
    }
    files.into_iter().max().context("the VM has no journal")
}

/// Cuts the links of these pairs of sender and receiver, in both directions if `both` is set.
pub(crate) fn cut_links(
    context: &mut ScenarioContext,
    pairs: impl Iterator<Item = (usize, usize)>,
    both: bool,
) {
    for (from, to) in pairs {
        context.cut_links.insert((from, to));
        if both {
            context.cut_links.insert((to, from));
        }
    }
    // Recorded before the links are cut: the invariants for reachable VMs do not apply to a VM from
    // the moment when it is cut off.
    context.update_connectivity();
    for &(from, to) in &context.cut_links {
        context.cell.drop_link(from, to);
    }
}
