//! Duties of the VM that leads the log: VM leases, acting owners, members and voters.

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

/// Commit index with which this VM renews VM leases, if it leads with quorum contact and has
/// applied an entry of its own term, so that it knows all that was committed before.
fn lease_index(replica: &Replica) -> Option<u64> {
    if replica.disk_error().is_some() {
        return None;
    }
    let now = clock::now();
    replica.read(|n| {
        let leads = n.role() == Role::Leader && n.has_quorum_contact(now) && n.is_ready();
        leads.then(|| n.commit_index())
    })
}

/// Commit index of the leader, for VMs that want to catch up; `None` when this VM does not lead.
pub(crate) fn commit(shared: &Shared) -> Option<u64> {
    lease_index(shared.replica()?)
}

/// Answer to a ping of `from`, if this VM leads and the VM is not being deposed.
pub(crate) fn answer_ping(shared: &Arc<Shared>, from: VmId) -> Option<u64> {
    let commit = lease_index(shared.replica()?)?;
    shared.with_engine(|engine, now| {
        if engine.deposing.contains(&from) {
            return None;
        }
        let leases = engine.me.leases;
        engine.liveness.as_mut()?.record_contact(from, now, &leases);
        Some(commit)
    })
}

/// Renews the leader's own VM lease.
pub(crate) fn renew_own(shared: &Arc<Shared>) {
    let Some(replica) = shared.replica() else {
        return;
    };
    let sent = clock::now();
    let me = shared.id();
    if let Some(commit) = answer_ping(shared, me) {
        let applied = replica.applied_index();
        shared.with_engine(|engine, _| engine.authority.answered(sent, commit, applied));
    }
}

/// Proposes what the plan says at each interval while this VM leads.
pub(crate) async fn lead_loop(shared: Arc<Shared>) {
    let every = Duration::from_millis(shared.settings.lease.ping_ms.min(1_000));
    let mut ticker = Ticker::new(&shared, every);
    while ticker.next().await {
        round(&shared).await;
    }
}

async fn round(shared: &Arc<Shared>) {
    let Some(replica) = shared.replica() else {
        return;
    };
    if lease_index(replica).is_none() {
        if !replica.read(|n| n.role() == Role::Leader) {
            shared.with_engine(|engine, _| engine.liveness = None);
        }
        return;
    }
    let (voters, ready) = replica.read(read_members);
    let planned = shared.with_engine(|engine, now| {
        let me = engine.me.vm.id;
        let liveness = engine
            .liveness
            .get_or_insert_with(|| Liveness::new(me, now, voters.clone()));
        liveness.voters = voters;
        liveness.ready_learners = ready;
        let planned = plan(&engine.cell, liveness, now, &engine.me.leases);
        for command in &planned.commands {
            if let Command::SetOwner { domain, .. } = command
                && let Some(owner) = engine.cell.owner(*domain)
            {
                engine.deposing.insert(owner.vm);
            }
        }
        planned
    });
    for command in &planned.commands {
        propose(shared, replica, command).await;
    }
    if let Some(replacement) = planned.voter_replacement {
        replace(shared, replica, replacement).await;
        return;
    }
    tidy_members(shared, replica).await;
}

fn read_members(node: &Node) -> (BTreeSet<VmId>, BTreeSet<VmId>) {
    let voters = node.members().voters().collect();
    let caught = node.peers().into_iter().filter(|p| p.caught_up && !p.voter);
    (voters, caught.map(|p| p.id).collect())
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
    // Without a verdict the command may still be applied later, so the deposed VM must not get its
    // lease back from this leader; a new leader waits a whole lease anyway.
    if verdict.is_some()
        && let Command::SetOwner { .. } = command
    {
        shared.with_engine(|engine, _| engine.deposing.clear());
    }
}

/// Removes the lost voter first, then promotes the caught-up VM, one change at a time: the other way
/// round the quorum would grow by the lost voter for a while, and a second loss could stop the log.
async fn replace(shared: &Arc<Shared>, replica: &Replica, r: VoterReplacement) {
    let removed = change(shared, replica, MembershipChange::Remove(r.lost)).await;
    tracing::warn!(lost = %r.lost, with = %r.replacement, removed, "voter is replaced");
    if removed {
        metrics::counter!("zinnia_voters_replaced_total").increment(1);
        change(shared, replica, MembershipChange::Promote(r.replacement)).await;
    }
}

/// Removes learners that the cell no longer lists, and completes a replacement that was cut short:
/// an even number of voters stands for one promotion too few.
async fn tidy_members(shared: &Arc<Shared>, replica: &Replica) {
    let (members, ready) = replica.read(|n| (n.members().clone(), read_members(n).1));
    let me = shared.id();
    let (known, disks): (BTreeSet<VmId>, BTreeSet<VmId>) = shared.with_engine(|b, _| {
        let disks = b.cell.vms().filter(|v| v.disk).map(|v| v.id);
        (b.cell.vms().map(|v| v.id).collect(), disks.collect())
    });
    let stray = members
        .iter()
        .find(|m| !m.voter && !known.contains(&m.id) && m.id != me);
    if let Some(member) = stray {
        change(shared, replica, MembershipChange::Remove(member.id)).await;
        return;
    }
    let spare = ready.intersection(&disks).next();
    if members.voters().count().is_multiple_of(2)
        && let Some(&vm) = spare
    {
        change(shared, replica, MembershipChange::Promote(vm)).await;
    }
}

/// Makes one change of the members; true when it is committed.
pub(crate) async fn change(
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
        "change of members"
    );
    done
}

/// Gives the domains of a draining VM to another VM of the same domain, if one is in reach, and the
/// workers with them.
pub(crate) async fn hand_over(shared: &Arc<Shared>) {
    let moves = shared.with_engine(|b, now| {
        let me = b.me.vm.id;
        let next = |domain| {
            let others = b.cell.vms().filter(|v| v.id != me && v.domain == domain);
            let mut live = others.filter(|v| b.authority.is_reachable(v.id, now, &b.me.leases));
            live.next().map(|v| v.id)
        };
        let mine = b.acting.values();
        mine.filter_map(|d| Some((d.domain, d.term, next(d.domain)?)))
            .collect::<Vec<_>>()
    });
    for (domain, from_term, vm) in moves {
        let command = Command::SetOwner {
            domain,
            vm,
            from_term,
        };
        let moved = shared.propose(&command).await.is_ok();
        tracing::info!(%domain, %vm, moved, "acting ownership is handed over");
    }
}
