//! Brings what the domain schedulers decided into the log: claims, task ends, dispatches, moves of jobs and
//! parts of team limits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use zinnia_cell::Command;
use zinnia_cell::Reply;
use zinnia_cell::TaskEnd;
use zinnia_cell::escrow;
use zinnia_cell::escrow::OtherDomain;
use zinnia_cell::escrow::PolicyInput;
use zinnia_cell::escrow::Transfer;
use zinnia_replica::clock;
use zinnia_sched::Event;
use zinnia_types::DomainId;
use zinnia_types::JobId;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::Time;

use crate::acting::FinalEnd;
use crate::acting::PendingGive;
use crate::authority::Right;
use crate::engine::Engine;
use crate::engine::Room;
use crate::shared::Shared;
use crate::ticker::Ticker;

/// Interval at which queued ends and records are proposed, so that they share log entries.
const EVERY: Duration = Duration::from_millis(50);
/// Interval between two rounds of rebalancing limits.
const REBALANCE: Duration = Duration::from_millis(500);
/// Time in milliseconds for which a job waits in its domain before it moves to one with room; a move
/// costs a log entry, and most jobs that wait start sooner.
const YIELD_AFTER: u64 = 3_000;
/// Most jobs that move at a time: the room of the other domain is known only from its last ping.
const MOST_YIELDS: usize = 4;
/// Most task ends in one entry.
const BATCH: usize = 1_000;

/// Proposes what the domain schedulers have queued until the daemon stops.
pub(crate) async fn flush_loop(shared: Arc<Shared>) {
    let mut ticker = Ticker::new(&shared, EVERY);
    while ticker.next().await {
        hand_back(&shared).await;
        claim(&shared).await;
        crate::journal::merge(&shared).await;
        let acting = shared.with_engine(|b, _| {
            let queued = |d: &&crate::acting::Acting| d.has_queued();
            let acting = b.acting.values().filter(queued);
            acting.map(|d| (d.domain, d.term)).collect::<Vec<_>>()
        });
        for (domain, term) in acting {
            record(&shared, domain, term).await;
            end_tasks(&shared, domain).await;
            end_jobs(&shared, domain).await;
            release(&shared, domain, term).await;
        }
    }
}

/// Makes this process acting owner of the domains that the log gives to this VM.
async fn claim(shared: &Arc<Shared>) {
    let open = shared.with_engine(|b, now| {
        if b.right(now) == Right::Quorum && !b.draining {
            b.unclaimed()
        } else {
            Vec::new()
        }
    });
    for (domain, from_term) in open {
        let vm = shared.id();
        let command = Command::SetOwner {
            domain,
            vm,
            from_term,
        };
        if let Ok(Reply::Owner(owner)) = shared.propose(&command).await
            && owner.vm == vm
            && owner.term > from_term
        {
            shared.with_engine(|b, now| b.begin_acting(domain, owner.term, now));
        }
    }
}

/// Gives a domain that was taken over as a whole back to a VM of its own, once one is present.
async fn hand_back(shared: &Arc<Shared>) {
    let commands = shared.with_engine(|b, now| {
        if b.right(now) != Right::Quorum || b.draining {
            return Vec::new();
        }
        let commands = zinnia_cell::hand_back_domains(&b.cell, b.me.vm.id, &b.present(now));
        for command in &commands {
            // The next owner may act as soon as the log says so, so this one stops before.
            if let Command::SetOwner { domain, .. } = command {
                b.stop_acting(*domain, now);
            }
        }
        commands
    });
    for command in commands {
        let done = shared.propose(&command).await.is_ok();
        tracing::info!(?command, done, "domain is handed back");
    }
}

/// Records dispatches of tasks that must not be repeated, then lets them start.
async fn record(shared: &Arc<Shared>, domain: DomainId, term: u64) {
    let records = shared.with_engine(|b, _| {
        let acting = b.acting.get_mut(&domain).filter(|d| d.term == term);
        acting
            .map(|d| std::mem::take(&mut d.records))
            .unwrap_or_default()
    });
    for (job, tasks) in records {
        let command = Command::Dispatch {
            job,
            tasks: tasks.iter().copied().collect(),
            domain,
            term,
        };
        let reply = shared.propose(&command).await;
        shared.with_engine(|b, now| {
            let Some(acting) = b.acting.get_mut(&domain).filter(|d| d.term == term) else {
                return;
            };
            match reply {
                Ok(Reply::Dispatched { mut fresh, known }) => {
                    // Known under the own term means that an earlier proposal without an answer was
                    // applied after all; such tasks were not started yet.
                    let own = known.into_iter().filter(|&(_, t)| t == term);
                    fresh.extend(own.map(|(task, _)| task));
                    let event = Event::DispatchRecorded { job, tasks: fresh };
                    acting.step(event, now, &mut b.pushes);
                }
                Ok(reply) => tracing::warn!(%job, ?reply, "dispatch is not recorded"),
                Err(_) => {
                    acting.records.entry(job).or_default().extend(tasks);
                }
            }
        });
    }
}

async fn end_tasks(shared: &Arc<Shared>, domain: DomainId) {
    let batch: Vec<FinalEnd> = shared.with_engine(|b, _| {
        // The log refuses ends of jobs that it does not hold yet.
        let held = |e: &&FinalEnd| !b.local.contains_key(&e.end.job);
        let ends = b.acting.get(&domain).map(|d| d.ends.iter());
        let ends = ends.into_iter().flatten().filter(held);
        ends.take(BATCH).copied().collect()
    });
    if batch.is_empty() {
        return;
    }
    let ends: Vec<TaskEnd> = batch.iter().map(|e| e.end).collect();
    if !matches!(
        shared.propose(&Command::EndTasks { ends }).await,
        Ok(Reply::Ends { .. })
    ) {
        return;
    }
    metrics::counter!("zinnia_task_ends_total").increment(batch.len() as u64);
    shared.with_engine(|b, _| {
        if let Some(acting) = b.acting.get_mut(&domain) {
            let recorded = |e: &FinalEnd| batch.iter().any(|r| r.attempt == e.attempt);
            acting.ends.retain(|e| !recorded(e));
        }
        for end in &batch {
            if let Some(owned) = b.owned.get_mut(&end.worker) {
                owned.forget.insert(end.attempt);
            }
        }
    });
}

async fn end_jobs(shared: &Arc<Shared>, domain: DomainId) {
    let outcomes = shared.with_engine(|b, _| {
        let acting = b.acting.get(&domain);
        // The ends of a job's tasks must be in the log before its outcome.
        let waits = |job: JobId| acting.is_some_and(|d| d.ends.iter().any(|e| e.end.job == job));
        let outcomes = acting.into_iter().flat_map(|d| d.outcomes.iter());
        let ready = outcomes.filter(|(job, _)| !waits(**job) && !b.local.contains_key(job));
        ready
            .map(|(&job, outcome)| (job, outcome.clone()))
            .collect::<Vec<_>>()
    });
    for (job, outcome) in outcomes {
        let command = Command::EndJob {
            job,
            outcome,
            at_ms: clock::wall_ms(),
        };
        if shared.propose(&command).await.is_ok() {
            metrics::counter!("zinnia_job_ends_total").increment(1);
            shared.with_engine(|b, _| {
                if let Some(acting) = b.acting.get_mut(&domain) {
                    acting.outcomes.remove(&job);
                }
            });
        }
    }
}

/// Moves jobs that fit nowhere here to a domain that has a fitting worker.
async fn release(shared: &Arc<Shared>, domain: DomainId, term: u64) {
    let releases = shared.with_engine(|b, _| {
        let acting = b.acting.get_mut(&domain).filter(|d| d.term == term);
        acting
            .map(|d| std::mem::take(&mut d.releases))
            .unwrap_or_default()
    });
    for (job, why) in releases {
        let to = shared.with_engine(|b, _| match b.cell.job(job) {
            Some(zinnia_cell::JobState::Live(live)) => {
                let need = live.job.need;
                let tasks = u64::from(live.job.tasks);
                let gang = live.job.class == zinnia_types::Class::Gang;
                b.fitting_domain(&need, if gang { tasks } else { 1 }, Some(domain))
            }
            _ => None,
        });
        let moved = match to {
            Some(to) => {
                let command = Command::Rehome {
                    job,
                    from: domain,
                    to,
                    term,
                };
                matches!(shared.propose(&command).await, Ok(Reply::Done))
            }
            None => false,
        };
        tracing::info!(%job, %domain, ?to, moved, why, "job is released");
        if !moved {
            // The scheduler forgot the job; it gets it back until another domain can take it.
            shared.with_engine(|b, now| b.resubmit(job, domain, now));
        }
    }
}

/// Moves parts of team limits between the domains according to demand.
pub(crate) async fn rebalance_loop(shared: Arc<Shared>) {
    let policy = escrow::demand_policy(escrow::PolicySettings::default());
    let mut ticker = Ticker::new(&shared, REBALANCE);
    while ticker.next().await {
        let commands = shared.with_engine(|b, now| {
            b.yield_jobs(now);
            b.rebalance(&policy, now)
        });
        for command in commands {
            let _ = shared.propose(&command).await;
        }
    }
}

impl Engine {
    /// A domain with an acting owner whose workers can hold `tasks` tasks of this need when empty.
    ///
    /// Domains with room at present come first, among them the own one and then the one with most
    /// processors free; without room anywhere the own domain comes first. `except` is left out.
    pub fn fitting_domain(
        &self,
        need: &Resources,
        tasks: u64,
        except: Option<DomainId>,
    ) -> Option<DomainId> {
        let home = self.me.vm.domain;
        let fits = |domain: DomainId| {
            let workers = self.cell.workers(domain);
            workers.map(|p| p.capacity.count(need)).sum::<u64>() >= tasks.max(1)
        };
        let domains = self.cell.owners().map(|(domain, _)| domain);
        let mut rooms = self.room();
        rooms.extend(
            self.neighbours
                .values()
                .flat_map(|n| n.room.iter().copied()),
        );
        let rank = |domain: DomainId| {
            let mut rooms = rooms.iter();
            let room = rooms.find(|r| r.domain == domain && r.holds(need, tasks.max(1)));
            let free = room.map_or(0, |r| r.total.cpu);
            (
                room.is_none(),
                domain != home,
                std::cmp::Reverse(free),
                domain,
            )
        };
        domains
            .filter(|d| Some(*d) != except && fits(*d))
            .min_by_key(|d| rank(*d))
    }

    /// Lets go of jobs that have waited for a while and would find room in another domain at once.
    fn yield_jobs(&mut self, now: Time) {
        if self.right(now) != Right::Quorum || self.draining {
            return;
        }
        let rooms = self
            .neighbours
            .values()
            .flat_map(|n| n.room.iter().copied());
        let rooms: Vec<Room> = rooms.collect();
        for acting in self.acting.values_mut() {
            let others = rooms.iter().filter(|r| r.domain != acting.domain);
            let others: Vec<&Room> = others.collect();
            if acting.sched.queued() == 0 || others.is_empty() {
                acting.waiting.clear();
                continue;
            }
            let started: BTreeSet<JobId> = acting.sched.running().map(|(a, _, _)| a.job).collect();
            let mut waiting = BTreeMap::new();
            let mut moves = Vec::new();
            for live in self.cell.live_jobs_in(acting.domain) {
                let job = &live.job;
                let fresh = live.ends.is_empty() && live.dispatched.is_empty();
                if job.pinned || live.cancelled || !fresh || started.contains(&job.id) {
                    continue;
                }
                let since = acting.waiting.get(&job.id).copied().unwrap_or(now);
                waiting.insert(job.id, since);
                let tasks = u64::from(job.tasks);
                let has_room = others.iter().any(|r| r.holds(&job.need, tasks));
                if has_room && now.since(since) >= YIELD_AFTER && moves.len() < MOST_YIELDS {
                    moves.push(job.id);
                }
            }
            acting.waiting = waiting;
            for job in moves {
                acting.waiting.remove(&job);
                acting.step(Event::RequestRelease { job }, now, &mut self.pushes);
            }
        }
    }

    /// Submits a job again that this VM's scheduler has forgotten.
    pub fn resubmit(&mut self, job: JobId, domain: DomainId, now: Time) {
        if let Some(zinnia_cell::JobState::Live(live)) = self.cell.job(job)
            && live.job.domain == domain
            && let Some(acting) = self.acting.get_mut(&domain)
        {
            acting.submit(&live, false, now, &mut self.pushes);
        }
    }

    /// How much more each domain needs of the teams' limits; told to the other acting owners.
    pub fn shortages(&self) -> Vec<(DomainId, TeamId, Resources)> {
        let mut list = Vec::new();
        for acting in self.acting.values() {
            for (&team, want) in &acting.wants {
                let held = self.cell.allotment(acting.domain, team).amount;
                let short = want.saturating_sub(&held);
                if short != Resources::ZERO {
                    list.push((acting.domain, team, short));
                }
            }
        }
        list
    }

    /// What this VM proposes, as acting owner, to take or give at present.
    fn rebalance(&mut self, policy: &escrow::Policy, now: Time) -> Vec<Command> {
        if self.right(now) != Right::Quorum || self.draining {
            return Vec::new();
        }
        let mut short: BTreeMap<(DomainId, TeamId), Resources> = BTreeMap::new();
        for n in self.neighbours.values() {
            for &(domain, team, amount) in &n.short {
                short.insert((domain, team), amount);
            }
        }
        for (domain, team, amount) in self.shortages() {
            short.insert((domain, team), amount);
        }
        let teams: Vec<TeamId> = self
            .cell
            .document()
            .map(|(_, d)| d.teams.iter().map(|t| t.name).collect())
            .unwrap_or_default();
        let domains: Vec<DomainId> = self.cell.owners().map(|(d, _)| d).collect();
        let mut commands = Vec::new();
        for acting in self.acting.values_mut() {
            for &team in &teams {
                let others: Vec<OtherDomain> = domains
                    .iter()
                    .filter(|d| **d != acting.domain)
                    .map(|&domain| OtherDomain {
                        domain,
                        allotment: self.cell.allotment(domain, team).amount,
                        shortage: short.get(&(domain, team)).copied().unwrap_or_default(),
                    })
                    .collect();
                let used = acting.sched.team_use(team);
                let want = acting.wants.get(&team).copied().unwrap_or_default();
                let held = self.cell.allotment(acting.domain, team);
                let situation = PolicyInput {
                    domain: acting.domain,
                    limit: self.cell.limit(team),
                    allotment: held.amount,
                    used,
                    queued: want.saturating_sub(&used),
                    peak_demand: acting
                        .peaks
                        .entry(team)
                        .or_default()
                        .observe(Resources::max(&used, &want)),
                    others: &others,
                };
                // A busy domain would fill each freed place itself and never come to give anything.
                let usable = escrow::usable_amount(&situation, &escrow::PolicySettings::default());
                if acting.usable.insert(team, usable) != Some(usable) {
                    acting.allot(&self.cell, team, now, &mut self.pushes);
                }
                let (domain, term, from) = (acting.domain, acting.term, held.log_index);
                // A give on its way is proposed again until the log has decided on it.
                let pending = acting.giving.get(&team).filter(|g| g.from == from);
                let decision = match pending {
                    Some(give) => Some(Transfer::Give(give.amount)),
                    None => policy(&situation),
                };
                match decision {
                    Some(Transfer::Take(amount)) => commands.push(Command::Take {
                        domain,
                        team,
                        amount,
                        term,
                        from,
                    }),
                    Some(Transfer::Give(amount)) => {
                        // The scheduler stops using the part before the log hands it to others.
                        acting.giving.insert(team, PendingGive { amount, from });
                        acting.allot(&self.cell, team, now, &mut self.pushes);
                        let rest = held.amount.saturating_sub(&amount);
                        if !acting.sched.team_use(team).fits(&rest) {
                            acting.giving.remove(&team);
                            acting.allot(&self.cell, team, now, &mut self.pushes);
                            continue;
                        }
                        commands.push(Command::Give {
                            domain,
                            team,
                            amount,
                            term,
                            from,
                        });
                    }
                    None => {}
                }
            }
        }
        commands
    }
}
