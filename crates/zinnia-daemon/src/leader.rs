//! Duties of the leader of the log: VM leases, acting owners, members and voters.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use zinnia_cell::Command;
use zinnia_cell::Liveness;
use zinnia_cell::VoterReplacement;
use zinnia_cell::plan;
use zinnia_raft::MembershipChange;
use zinnia_raft::Node;
use zinnia_raft::Role;
use zinnia_replica::ProposalOutcome;
use zinnia_replica::clock;
use zinnia_types::VmId;

use crate::shared::Replica;
use crate::shared::Shared;
use crate::ticker::Ticker;

/// Commit index that this VM sends when it renews VM leases.
///
/// `None` unless it is the leader, has contact with the quorum, and has applied an entry of its own
/// term. Only then does it know every entry that was committed under earlier leaders.
fn lease_commit_index(replica: &Replica) -> Option<u64> {
    if replica.disk_error().is_some() {
        return None;
    }
    let now = clock::now();
    replica.read(|n| {
        let leads = n.role() == Role::Leader && n.has_quorum_contact(now) && n.is_ready();
        leads.then(|| n.commit_index())
    })
}

/// Commit index for VMs that catch up with the leader; `None` when this VM is not the leader.
pub(crate) fn leader_commit_index(shared: &Shared) -> Option<u64> {
    lease_commit_index(shared.replica()?)
}

/// Renews the VM lease of `from`, which has pinged, and returns the commit index for the ping
/// answer.
///
/// `None` when this VM is not the leader or when `from` is about to be replaced as acting owner.
pub(crate) fn renew_vm_lease(shared: &Arc<Shared>, from: VmId) -> Option<u64> {
    let commit = lease_commit_index(shared.replica()?)?;
    shared.with_engine(|engine, now| {
        if engine.outgoing_owners.contains(&from) {
            return None;
        }
        let leases = engine.identity.leases;
        engine.liveness.as_mut()?.record_contact(from, now, &leases);
        Some(commit)
    })
}

/// Renews this VM's own lease if it is the leader.
pub(crate) fn renew_own_lease(shared: &Arc<Shared>) {
    let Some(replica) = shared.replica() else {
        return;
    };
    let sent_at = clock::now();
    let own_id = shared.id();
    if let Some(commit) = renew_vm_lease(shared, own_id) {
        let applied = replica.applied_index();
        shared.with_engine(|engine, _| {
            engine
                .authority
                .record_lease_answer(sent_at, commit, applied);
        });
    }
}

/// Performs the leader's duties at each interval while this VM is the leader.
pub(crate) async fn leader_loop(shared: Arc<Shared>) {
    let interval = Duration::from_millis(shared.settings.lease.ping_ms.min(1_000));
    let mut ticker = Ticker::new(&shared, interval);
    while ticker.tick().await {
        run_duties(&shared).await;
    }
}

async fn run_duties(shared: &Arc<Shared>) {
    let Some(replica) = shared.replica() else {
        return;
    };
    if lease_commit_index(replica).is_none() {
        if !replica.read(|n| n.role() == Role::Leader) {
            shared.with_engine(|engine, _| engine.liveness = None);
        }
        return;
    }
    let (voters, ready) = replica.read(voters_and_ready_learners);
    let planned = shared.with_engine(|engine, now| {
        let own_id = engine.identity.vm.id;
        let liveness = engine
            .liveness
            .get_or_insert_with(|| Liveness::new(own_id, now, voters.clone()));
        liveness.voters = voters;
        liveness.ready_learners = ready;
        let planned = plan(&engine.cell, liveness, now, &engine.identity.leases);
        for command in &planned.commands {
            if let Command::SetOwner { domain, .. } = command
                && let Some(owner) = engine.cell.owner(*domain)
            {
                engine.outgoing_owners.insert(owner.vm);
            }
        }
        planned
    });
    for command in &planned.commands {
        propose(shared, replica, command).await;
    }
    if let Some(replacement) = planned.voter_replacement {
        replace_voter(shared, replica, replacement).await;
        return;
    }
    complete_members(shared, replica).await;
}

fn voters_and_ready_learners(node: &Node) -> (BTreeSet<VmId>, BTreeSet<VmId>) {
    let voters = node.members().voters().collect();
    let caught_up = node.peers().into_iter().filter(|p| p.caught_up && !p.voter);
    (voters, caught_up.map(|p| p.id).collect())
}

async fn propose(shared: &Arc<Shared>, replica: &Replica, command: &Command) {
    let Ok(text) = serde_json::to_string(command) else {
        return;
    };
    let limit = Duration::from_millis(shared.settings.replication.propose_ms);
    let verdict = replica.propose(text, limit).await;
    tracing::info!(
        step = "plan",
        ?command,
        applied = verdict.is_some(),
        "proposed"
    );
    // Without an outcome the command may still be applied later, so this leader must not renew the
    // lease of the replaced owner. A new leader waits for a whole lease before it replaces an
    // owner.
    if verdict.is_some()
        && let Command::SetOwner { .. } = command
    {
        shared.with_engine(|engine, _| engine.outgoing_owners.clear());
    }
}

/// Removes the lost voter, then promotes its replacement.
///
/// In the opposite order the lost voter would count towards a larger quorum in between, and the
/// loss of a second voter could stop the log.
async fn replace_voter(shared: &Arc<Shared>, replica: &Replica, replacement: VoterReplacement) {
    let removed = change_members(shared, replica, MembershipChange::Remove(replacement.lost)).await;
    tracing::warn!(lost = %replacement.lost, with = %replacement.replacement, removed, "replacing a lost voter");
    if removed {
        metrics::counter!("zinnia_voters_replaced_total").increment(1);
        change_members(
            shared,
            replica,
            MembershipChange::Promote(replacement.replacement),
        )
        .await;
    }
}

/// Removes learners that the cell no longer lists, and completes an interrupted replacement of a
/// voter: an even number of voters means that a promotion is missing.
async fn complete_members(shared: &Arc<Shared>, replica: &Replica) {
    let (members, ready) = replica.read(|n| (n.members().clone(), voters_and_ready_learners(n).1));
    let own_id = shared.id();
    let (listed, with_disk): (BTreeSet<VmId>, BTreeSet<VmId>) = shared.with_engine(|engine, _| {
        let ids = engine.cell.vms().filter(|v| v.disk).map(|v| v.id);
        (engine.cell.vms().map(|v| v.id).collect(), ids.collect())
    });
    let stray = members
        .iter()
        .find(|m| !m.voter && !listed.contains(&m.id) && m.id != own_id);
    if let Some(member) = stray {
        change_members(shared, replica, MembershipChange::Remove(member.id)).await;
        return;
    }
    let candidate = ready.intersection(&with_disk).next();
    if members.voters().count().is_multiple_of(2)
        && let Some(&vm) = candidate
    {
        change_members(shared, replica, MembershipChange::Promote(vm)).await;
    }
}

/// Proposes a membership change; returns whether it was committed.
pub(crate) async fn change_members(
    shared: &Arc<Shared>,
    replica: &Replica,
    change: MembershipChange,
) -> bool {
    let limit = Duration::from_millis(shared.settings.replication.propose_ms);
    let text = format!("{change:?}");
    let verdict = replica.change(change, limit).await;
    let done = matches!(verdict, Some(ProposalOutcome::Applied { .. }));
    tracing::info!(
        step = "members",
        change = text,
        ?verdict,
        "membership change proposed"
    );
    done
}

/// Hands the domains of a draining VM, and with them their workers, over to another reachable VM of
/// the same domain.
pub(crate) async fn hand_over_domains(shared: &Arc<Shared>) {
    let moves = shared.with_engine(|engine, now| {
        let own_id = engine.identity.vm.id;
        let successor = |domain| {
            let others = engine
                .cell
                .vms()
                .filter(|v| v.id != own_id && v.domain == domain);
            let mut reachable = others.filter(|v| {
                engine
                    .authority
                    .is_reachable(v.id, now, &engine.identity.leases)
            });
            reachable.next().map(|v| v.id)
        };
        let schedulers = engine.schedulers.values();
        schedulers
            .filter_map(|s| {
                let silent = engine.cell.silent_workers(s.domain);
                Some((s.domain, s.term, successor(s.domain)?, silent))
            })
            .collect::<Vec<_>>()
    });
    for (domain, from_term, vm, silent) in moves {
        let command = Command::SetOwner {
            domain,
            vm,
            from_term,
            silent: Some(silent),
        };
        let moved = shared.propose(&command).await.is_ok();
        tracing::info!(%domain, %vm, moved, "handing over acting ownership before the drain ends");
    }
}
