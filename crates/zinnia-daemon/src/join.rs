//! Formation of a cell by the voters that the settings name, and admission of further VMs.

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

/// Pause between two rounds of looking for the cell.
const ROUND: Duration = Duration::from_millis(250);
/// Pause between two checks once this VM is a member.
const CHECK: Duration = Duration::from_secs(2);

/// Forms or joins the cell, and joins again whenever the cell no longer lists this VM.
pub(crate) async fn join_loop(shared: Arc<Shared>) {
    loop {
        let listed = is_listed(&shared);
        // A VM that the cell dropped while it was cut off still finds itself in its own state, since
        // nobody sends it the log any more. Without a VM lease it therefore asks again.
        if !listed || !has_lease(&shared) {
            find_cell(&shared).await;
        }
        let pause = if listed { CHECK } else { ROUND };
        tokio::select! {
            () = shared.stop.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Whether log and cell list this VM with its present addresses.
fn is_listed(shared: &Arc<Shared>) -> bool {
    let me =
        shared.with_engine(|b, _| (b.cell.vm(b.me.vm.id) == Some(&b.me.vm)).then_some(b.me.vm.id));
    let Some(me) = me else {
        return false;
    };
    shared
        .replica()
        .is_some_and(|r| r.read(|n| n.members().get(me).is_some()))
}

fn has_lease(shared: &Arc<Shared>) -> bool {
    shared.with_engine(|b, now| b.authority.has_quorum(now, &b.me.leases))
}

async fn find_cell(shared: &Arc<Shared>) {
    let mut probes = Vec::new();
    let settings = &shared.settings;
    let me = settings.peer.to_string();
    let mut addrs: Vec<String> = settings.voters.iter().map(ToString::to_string).collect();
    addrs.extend(settings.seeds.iter().map(ToString::to_string));
    addrs.sort();
    addrs.dedup();
    for addr in addrs.iter().filter(|a| **a != me) {
        let answer = shared.links.call::<_, Probe>(addr, "probe", &()).await;
        if let Ok(probe) = answer {
            if probe.cell != settings.cell.as_str() {
                tracing::error!(step = "probe", peer = %addr, cell = probe.cell, "peer belongs to another cell");
                continue;
            }
            shared.note_address(probe.vm.id, &probe.vm.peer);
            probes.push((addr.clone(), probe));
        }
    }
    let mine = shared
        .replica()
        .map(|r| r.read(|n| n.members().clone()))
        .unwrap_or_default();
    let formed = probes.iter().find(|(_, p)| !p.members.is_empty());
    if let Some((_, probe)) = formed {
        let listed = probe.members.is_voter(shared.id());
        if mine.is_empty() && listed {
            // Another voter formed the cell with this VM; what it voted for is nothing yet.
            form(shared, probe.members.clone()).await;
        }
        ask(shared, &probes).await;
    } else if !mine.is_empty() {
        ask(shared, &probes).await;
    } else {
        form_first(shared, &probes).await;
    }
}

/// Forms the cell when all named voters are in reach and blank, and this one has the lowest address.
async fn form_first(shared: &Arc<Shared>, probes: &[(String, Probe)]) {
    let settings = &shared.settings;
    let lowest = settings.voters.iter().min();
    if lowest != Some(&settings.peer) {
        return;
    }
    let mut list = vec![member(&shared.with_engine(|b, _| b.me.vm.clone()), true)];
    for voter in settings.voters.iter().filter(|v| **v != settings.peer) {
        let addr = voter.to_string();
        let Some((_, probe)) = probes.iter().find(|(a, _)| *a == addr) else {
            return;
        };
        list.push(member(&probe.vm, true));
    }
    let members = Members::from(list);
    for (addr, _) in probes {
        if settings.voters.iter().any(|v| v.to_string() == *addr) {
            let answer = shared.links.call::<_, bool>(addr, "form", &members).await;
            if !matches!(answer, Ok(true)) {
                // The next round sees who has formed the cell and follows.
                return;
            }
        }
    }
    form(shared, members).await;
}

async fn form(shared: &Arc<Shared>, members: Members) {
    if let Some(replica) = shared.replica() {
        let formed = replica.bootstrap(members).await;
        tracing::info!(step = "form", formed, "cell is formed");
    }
}

fn member(vm: &Vm, voter: bool) -> Member {
    Member {
        id: vm.id,
        peer: vm.peer.clone(),
        http: vm.http.clone(),
        voter,
    }
}

/// Asks to be admitted, first here in case this VM leads.
async fn ask(shared: &Arc<Shared>, probes: &[(String, Probe)]) {
    let vm = shared.with_engine(|b, _| b.me.vm.clone());
    if admit(shared, vm.clone()).await.is_ok() {
        return;
    }
    // The leader may be a voter that took the place of a seed, so the voters are asked as well.
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

/// Admits a VM as the leader: lists it in the cell, then adds it to the log as a learner.
///
/// # Errors
///
/// Refuses with `unavailable` on a VM that does not lead.
pub(crate) async fn admit(shared: &Arc<Shared>, vm: Vm) -> Result<bool, ErrorBody> {
    let leads = shared
        .replica()
        .filter(|r| r.read(|n| n.role() == Role::Leader));
    let Some(replica) = leads else {
        let text = "this VM does not lead the log";
        return Err(ErrorBody::new(Code::Unavailable, "join", text));
    };
    let id = vm.id;
    let wanted = member(&vm, false);
    let listed = shared.with_engine(|b, _| b.cell.vm(id) == Some(&vm));
    if !listed {
        shared.propose(&Command::JoinVm { vm }).await?;
    }
    let known = replica.read(|n| {
        let member = n.members().get(id);
        member.is_some_and(|m| m.peer == wanted.peer && m.http == wanted.http)
    });
    if known {
        return Ok(true);
    }
    Ok(crate::lead::change(shared, replica, MembershipChange::Add(wanted)).await)
}
