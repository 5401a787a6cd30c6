//! Formation of a cell by the voters in the settings, and admission of further VMs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use zinnia_cell::Command;
use zinnia_cell::Vm;
use zinnia_raft::Member;
use zinnia_raft::Members;
use zinnia_raft::MembershipChange;
use zinnia_raft::Role;
use zinnia_types::Code;
use zinnia_types::ErrorBody;

use crate::peers::Probe;
use crate::shared::Shared;

/// Interval between two searches for the cell while this VM is not a member.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two checks of the membership once this VM is a member.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Forms or joins the cell, and joins it again whenever the cell no longer lists this VM.
pub(crate) async fn join_loop(shared: Arc<Shared>) {
    loop {
        let listed = is_listed(&shared);
        // A VM that was removed while it was partitioned still lists itself in its own state, since
        // it no longer receives the log. Without a VM lease it therefore requests admission again.
        if !listed || !has_vm_lease(&shared) {
            find_cell(&shared).await;
        }
        let pause = if listed {
            CHECK_INTERVAL
        } else {
            SEARCH_INTERVAL
        };
        tokio::select! {
            () = shared.shutdown.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Whether this VM is a member of the log, and the cell lists it with its present addresses.
fn is_listed(shared: &Arc<Shared>) -> bool {
    let own_id = shared.with_engine(|engine, _| {
        (engine.cell.vm(engine.identity.vm.id) == Some(&engine.identity.vm))
            .then_some(engine.identity.vm.id)
    });
    let Some(own_id) = own_id else {
        return false;
    };
    shared
        .replica()
        .is_some_and(|r| r.read(|n| n.members().get(own_id).is_some()))
}

fn has_vm_lease(shared: &Arc<Shared>) -> bool {
    shared.with_engine(|engine, now| engine.authority.has_quorum(now, &engine.identity.leases))
}

/// Probes the VMs in the settings, then joins the cell that they report or tries to form it.
async fn find_cell(shared: &Arc<Shared>) {
    let mut probes = Vec::new();
    let settings = &shared.settings;
    let own_addr = settings.peer.to_string();
    let mut addrs: Vec<String> = settings.voters.iter().map(ToString::to_string).collect();
    addrs.extend(settings.seeds.iter().map(ToString::to_string));
    addrs.sort();
    addrs.dedup();
    for addr in addrs.iter().filter(|a| **a != own_addr) {
        let answer = shared.links.call::<_, Probe>(addr, "probe", &()).await;
        if let Ok(probe) = answer {
            if probe.cell != settings.cell.as_str() {
                tracing::error!(step = "probe", peer = %addr, cell = probe.cell, "peer belongs to another cell");
                continue;
            }
            shared.record_address(probe.vm.id, &probe.vm.peer);
            probes.push((addr.clone(), probe));
        }
    }
    let members = shared
        .replica()
        .map(|r| r.read(|n| n.members().clone()))
        .unwrap_or_default();
    let formed = probes.iter().find(|(_, p)| !p.members.is_empty());
    if let Some((_, probe)) = formed {
        let is_named = probe.members.is_voter(shared.id());
        if members.is_empty() && is_named {
            // Another voter has formed the cell with this VM as a voter. This VM has no log yet and
            // has not voted, so it can start with the same members.
            bootstrap(shared, probe.members.clone()).await;
        }
        request_admission(shared, &probes).await;
    } else if !members.is_empty() {
        request_admission(shared, &probes).await;
    } else {
        form_cell(shared, &probes).await;
    }
}

/// Forms the cell if this VM has the lowest address of the voters in the settings, and all the
/// others answer and belong to no cell yet.
async fn form_cell(shared: &Arc<Shared>, probes: &[(String, Probe)]) {
    let settings = &shared.settings;
    let lowest = settings.voters.iter().min();
    if lowest != Some(&settings.peer) {
        return;
    }
    let mut voters = vec![raft_member(
        &shared.with_engine(|engine, _| engine.identity.vm.clone()),
        true,
    )];
    for voter in settings.voters.iter().filter(|v| **v != settings.peer) {
        let addr = voter.to_string();
        let Some((_, probe)) = probes.iter().find(|(a, _)| *a == addr) else {
            return;
        };
        voters.push(raft_member(&probe.vm, true));
    }
    let members = Members::from(voters);
    for (addr, _) in probes {
        if settings.voters.iter().any(|v| v.to_string() == *addr) {
            let answer = shared.links.call::<_, bool>(addr, "form", &members).await;
            if !matches!(answer, Ok(true)) {
                // The next search finds the cell if another VM has formed it meanwhile.
                return;
            }
        }
    }
    bootstrap(shared, members).await;
}

async fn bootstrap(shared: &Arc<Shared>, members: Members) {
    if let Some(replica) = shared.replica() {
        let formed = replica.bootstrap(members).await;
        tracing::info!(step = "form", formed, "bootstrap of the log");
    }
}

fn raft_member(vm: &Vm, voter: bool) -> Member {
    Member {
        id: vm.id,
        peer: vm.peer.clone(),
        http: vm.http.clone(),
        voter,
    }
}

/// Requests admission of this VM: locally in case it is the leader, else from the VMs that answered
/// the search and the voters that they listed.
async fn request_admission(shared: &Arc<Shared>, probes: &[(String, Probe)]) {
    let vm = shared.with_engine(|engine, _| engine.identity.vm.clone());
    if admit(shared, vm.clone()).await.is_ok() {
        return;
    }
    // The leader may be a voter that replaced a seed and is not in the settings.
    let seeds = probes.iter().map(|(addr, _)| addr.as_str());
    let members = probes.iter().flat_map(|(_, p)| p.members.iter());
    let voters = members.filter(|m| m.voter).map(|m| m.peer.as_str());
    let addrs: BTreeSet<&str> = seeds.chain(voters).filter(|a| *a != vm.peer).collect();
    for addr in addrs {
        let limit = Duration::from_millis(2 * shared.settings.replication.propose_ms);
        let answer = shared
            .links
            .call_with_timeout::<_, bool>(addr, "join", &vm, limit)
            .await;
        if matches!(answer, Ok(true)) {
            return;
        }
    }
}

/// Admits a VM if this VM is the leader: lists it in the cell, then adds it to the log as a
/// learner.
///
/// # Errors
///
/// Refuses with `unavailable` when this VM is not the leader.
pub(crate) async fn admit(shared: &Arc<Shared>, vm: Vm) -> Result<bool, ErrorBody> {
    let leading = shared
        .replica()
        .filter(|r| r.read(|n| n.role() == Role::Leader));
    let Some(replica) = leading else {
        let text = "this VM does not lead the log";
        return Err(ErrorBody::new(Code::Unavailable, "join", text));
    };
    let id = vm.id;
    let learner = raft_member(&vm, false);
    let listed = shared.with_engine(|engine, _| engine.cell.vm(id) == Some(&vm));
    if !listed {
        shared.propose(&Command::JoinVm { vm }).await?;
    }
    let is_member = replica.read(|n| {
        let member = n.members().get(id);
        member.is_some_and(|m| m.peer == learner.peer && m.http == learner.http)
    });
    if is_member {
        return Ok(true);
    }
    Ok(crate::leader::change_members(shared, replica, MembershipChange::Add(learner)).await)
}
