//! Proposals to the log on behalf of the domain schedulers: acting ownership, dispatches, task and
//! job ends, moves of jobs between domains, and transfers of team allotments.

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

use crate::authority::AuthorityMode;
use crate::domain_scheduler::PendingGive;
use crate::domain_scheduler::UnrecordedEnd;
use crate::engine::Engine;
use crate::engine::FreeCapacity;
use crate::shared::Shared;
use crate::ticker::Ticker;

/// Interval at which queued results are proposed, so that many of them share a log entry.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which team allotments and waiting jobs are rebalanced between domains.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time in milliseconds for which a job waits before it moves to a domain with free capacity. A
/// move costs a log entry, and most waiting jobs start earlier in their own domain.
const RELEASE_AFTER_MS: u64 = 3_000;
/// Most jobs whose release a domain requests in one round, since the free capacity of the other
/// domains is known only from their last pings.
const MAX_RELEASES: usize = 4;
/// Most task ends in one log entry.
const MAX_TASK_ENDS: usize = 1_000;

/// Proposes the queued results of the domain schedulers until the daemon shuts down.
pub(crate) async fn proposal_loop(shared: Arc<Shared>) {
    let mut ticker = Ticker::new(&shared, PROPOSAL_INTERVAL);
    while ticker.tick().await {
        hand_back_domains(&shared).await;
        claim_domains(&shared).await;
        crate::silence::propose_lease_changes(&shared).await;
        crate::journal::merge_jobs(&shared).await;
        let pending = shared.with_engine(|engine, _| {
            let has_pending = |s: &&crate::domain_scheduler::DomainScheduler| s.has_pending();
            let schedulers = engine.schedulers.values().filter(has_pending);
            schedulers.map(|s| (s.domain, s.term)).collect::<Vec<_>>()
        });
        for (domain, term) in pending {
            record_dispatches(&shared, domain, term).await;
            record_task_ends(&shared, domain).await;
            record_job_ends(&shared, domain).await;
            rehome_jobs(&shared, domain, term).await;
        }
    }
}

/// Makes this process acting owner of the domains that the log assigns to this VM.
async fn claim_domains(shared: &Arc<Shared>) {
    let unclaimed = shared.with_engine(|engine, now| {
        if engine.authority_mode(now) == AuthorityMode::Quorum && !engine.draining {
            engine.unclaimed_domains()
        } else {
            Vec::new()
        }
    });
    for (domain, from_term) in unclaimed {
        let vm = shared.id();
        let (silent, snapshots) = shared.with_engine(|engine, _| {
            let silent = engine.cell.silent_workers(domain);
            (silent, engine.snapshots)
        });
        let command = Command::SetOwner {
            domain,
            vm,
            from_term,
            silent: Some(silent),
        };
        if let Ok(Reply::Owner(owner)) = shared.propose(&command).await
            && owner.vm == vm
            && owner.term > from_term
        {
            // After a snapshot this VM may know fewer silent workers than it has listed. It then
            // proposes itself again, since it acts only with the list that the others keep.
            shared.with_engine(|engine, now| {
                if engine.snapshots == snapshots {
                    engine.begin_acting(domain, owner.term, now);
                }
            });
        }
    }
}

/// Hands a domain that was taken over from all its VMs back to one of them, once it is stable.
async fn hand_back_domains(shared: &Arc<Shared>) {
    let commands = shared.with_engine(|engine, now| {
        if engine.authority_mode(now) != AuthorityMode::Quorum || engine.draining {
            return Vec::new();
        }
        let commands = zinnia_cell::hand_back_domains(
            &engine.cell,
            engine.identity.vm.id,
            &engine.stable_vms(now),
        );
        for command in &commands {
            // The next owner may act as soon as the command is applied, so this one stops first.
            if let Command::SetOwner { domain, .. } = command {
                engine.stop_acting(*domain, now);
            }
        }
        commands
    });
    for command in commands {
        let done = shared.propose(&command).await.is_ok();
        tracing::info!(
            ?command,
            done,
            "handing the domain back to one of its own VMs"
        );
    }
}

/// Records the dispatches of tasks that must not be repeated, then lets the scheduler start them.
async fn record_dispatches(shared: &Arc<Shared>, domain: DomainId, term: u64) {
    let records = shared.with_engine(|engine, _| {
        let scheduler = engine
            .schedulers
            .get_mut(&domain)
            .filter(|s| s.term == term);
        scheduler
            .map(|s| std::mem::take(&mut s.dispatch_records))
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
        shared.with_engine(|engine, now| {
            let Some(scheduler) = engine
                .schedulers
                .get_mut(&domain)
                .filter(|s| s.term == term)
            else {
                return;
            };
            match reply {
                Ok(Reply::Dispatched { mut fresh, known }) => {
                    // A dispatch that is already recorded under this term comes from an earlier
                    // proposal whose answer was lost. Its task has not been started.
                    let own_term = known.into_iter().filter(|&(_, t)| t == term);
                    fresh.extend(own_term.map(|(task, _)| task));
                    let event = Event::DispatchRecorded { job, tasks: fresh };
                    scheduler.step(event, now, &mut engine.worker_commands);
                }
                Ok(reply) => tracing::warn!(%job, ?reply, "log refused to record dispatches"),
                Err(_) => {
                    scheduler
                        .dispatch_records
                        .entry(job)
                        .or_default()
                        .extend(tasks);
                }
            }
        });
    }
}

async fn record_task_ends(shared: &Arc<Shared>, domain: DomainId) {
    let batch: Vec<UnrecordedEnd> = shared.with_engine(|engine, _| {
        // The log refuses task ends of jobs that it does not contain yet.
        let in_log = |e: &&UnrecordedEnd| !engine.isolated_jobs.contains_key(&e.end.job);
        let ends = engine.schedulers.get(&domain).map(|s| s.task_ends.iter());
        let ends = ends.into_iter().flatten().filter(in_log);
        ends.take(MAX_TASK_ENDS).copied().collect()
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
    shared.with_engine(|engine, _| {
        if let Some(scheduler) = engine.schedulers.get_mut(&domain) {
            let recorded = |e: &UnrecordedEnd| batch.iter().any(|r| r.attempt == e.attempt);
            scheduler.task_ends.retain(|e| !recorded(e));
        }
        for end in &batch {
            if let Some(owned) = engine.owned_workers.get_mut(&end.worker) {
                owned.acked_ends.insert(end.attempt);
            }
        }
    });
}

async fn record_job_ends(shared: &Arc<Shared>, domain: DomainId) {
    let outcomes = shared.with_engine(|engine, _| {
        let scheduler = engine.schedulers.get(&domain);
        // The outcome of a job may be recorded only after the ends of its tasks.
        let has_task_ends =
            |job: JobId| scheduler.is_some_and(|s| s.task_ends.iter().any(|e| e.end.job == job));
        let outcomes = scheduler.into_iter().flat_map(|s| s.job_outcomes.iter());
        let ready = outcomes
            .filter(|(job, _)| !has_task_ends(**job) && !engine.isolated_jobs.contains_key(job));
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
            shared.with_engine(|engine, _| {
                if let Some(scheduler) = engine.schedulers.get_mut(&domain) {
                    scheduler.job_outcomes.remove(&job);
                }
            });
        }
    }
}

/// Moves jobs that the scheduler released to a domain whose workers can hold them.
async fn rehome_jobs(shared: &Arc<Shared>, domain: DomainId, term: u64) {
    let releases = shared.with_engine(|engine, _| {
        let scheduler = engine
            .schedulers
            .get_mut(&domain)
            .filter(|s| s.term == term);
        scheduler
            .map(|s| std::mem::take(&mut s.releases))
            .unwrap_or_default()
    });
    for (job, why) in releases {
        let to = shared.with_engine(|engine, _| match engine.cell.job(job) {
            Some(zinnia_cell::JobState::Live(live)) => {
                let need = live.job.need;
                let tasks = u64::from(live.job.tasks);
                let gang = live.job.class == zinnia_types::Class::Gang;
                engine.fitting_domain(&need, if gang { tasks } else { 1 }, Some(domain))
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
        tracing::info!(%job, %domain, ?to, moved, why, "scheduler released the job");
        if !moved {
            // The scheduler has dropped the job, so it is submitted again and stays here until
            // another domain can take it.
            shared.with_engine(|engine, now| engine.resubmit(job, domain, now));
        }
    }
}

/// Rebalances team allotments and waiting jobs between the domains until the daemon shuts down.
pub(crate) async fn rebalance_loop(shared: Arc<Shared>) {
    let policy = escrow::demand_policy(escrow::PolicySettings::default());
    let mut ticker = Ticker::new(&shared, REBALANCE_INTERVAL);
    while ticker.tick().await {
        let commands = shared.with_engine(|engine, now| {
            engine.request_releases(now);
            engine.rebalance(&policy, now)
        });
        for command in commands {
            let _ = shared.propose(&command).await;
        }
    }
}

impl Engine {
    /// Chooses a domain whose idle workers could hold `tasks` tasks of this need at once.
    ///
    /// Domains with enough free capacity at present come first, among them this VM's domain, then
    /// the one with the most free processors. Without such a domain, this VM's domain comes first.
    /// The domain `except` is left out.
    pub fn fitting_domain(
        &self,
        need: &Resources,
        tasks: u64,
        except: Option<DomainId>,
    ) -> Option<DomainId> {
        let own_domain = self.identity.vm.domain;
        let fits = |domain: DomainId| {
            let workers = self.cell.workers(domain);
            workers.map(|p| p.capacity.count_fitting(need)).sum::<u64>() >= tasks.max(1)
        };
        let domains = self.cell.owners().map(|(domain, _)| domain);
        let mut capacities = self.free_capacity();
        capacities.extend(
            self.peer_statuses
                .values()
                .flat_map(|peer| peer.free_capacity.iter().copied()),
        );
        let rank = |domain: DomainId| {
            let mut capacities = capacities.iter();
            let free =
                capacities.find(|free| free.domain == domain && free.fits(need, tasks.max(1)));
            let free_cpu = free.map_or(0, |free| free.total.cpu);
            (
                free.is_none(),
                domain != own_domain,
                std::cmp::Reverse(free_cpu),
                domain,
            )
        };
        domains
            .filter(|d| Some(*d) != except && fits(*d))
            .min_by_key(|d| rank(*d))
    }

    /// Asks the schedulers to release jobs that have waited for a while and fit into the free
    /// capacity of another domain.
    fn request_releases(&mut self, now: Time) {
        if self.authority_mode(now) != AuthorityMode::Quorum || self.draining {
            return;
        }
        let capacities = self
            .peer_statuses
            .values()
            .flat_map(|peer| peer.free_capacity.iter().copied());
        let capacities: Vec<FreeCapacity> = capacities.collect();
        for scheduler in self.schedulers.values_mut() {
            let others = capacities
                .iter()
                .filter(|free| free.domain != scheduler.domain);
            let others: Vec<&FreeCapacity> = others.collect();
            if scheduler.inner.queued() == 0 || others.is_empty() {
                scheduler.waiting_since.clear();
                continue;
            }
            let started: BTreeSet<JobId> =
                scheduler.inner.running().map(|(a, _, _)| a.job).collect();
            let mut waiting_since = BTreeMap::new();
            let mut to_release = Vec::new();
            for live in self.cell.live_jobs_in(scheduler.domain) {
                let job = &live.job;
                let not_started = live.ends.is_empty() && live.dispatched.is_empty();
                if job.pinned || live.cancelled || !not_started || started.contains(&job.id) {
                    continue;
                }
                let since = scheduler.waiting_since.get(&job.id).copied().unwrap_or(now);
                waiting_since.insert(job.id, since);
                let tasks = u64::from(job.tasks);
                let fits_elsewhere = others.iter().any(|free| free.fits(&job.need, tasks));
                if fits_elsewhere
                    && now.since(since) >= RELEASE_AFTER_MS
                    && to_release.len() < MAX_RELEASES
                {
                    to_release.push(job.id);
                }
            }
            scheduler.waiting_since = waiting_since;
            for job in to_release {
                scheduler.waiting_since.remove(&job);
                scheduler.step(
                    Event::RequestRelease { job },
                    now,
                    &mut self.worker_commands,
                );
            }
        }
    }

    /// Submits a live job again that the scheduler of its domain has dropped.
    pub fn resubmit(&mut self, job: JobId, domain: DomainId, now: Time) {
        if let Some(zinnia_cell::JobState::Live(live)) = self.cell.job(job)
            && live.job.domain == domain
            && let Some(scheduler) = self.schedulers.get_mut(&domain)
        {
            scheduler.submit(&live, false, now, &mut self.worker_commands);
        }
    }

    /// By how much the teams' demand in this VM's domains exceeds their allotments. Pings carry it
    /// to the other acting owners.
    pub fn shortages(&self) -> Vec<(DomainId, TeamId, Resources)> {
        let mut shortages = Vec::new();
        for scheduler in self.schedulers.values() {
            for (&team, demand) in &scheduler.demand {
                let allotment = self.cell.allotment(scheduler.domain, team).amount;
                let shortage = demand.saturating_sub(&allotment);
                if shortage != Resources::ZERO {
                    shortages.push((scheduler.domain, team, shortage));
                }
            }
        }
        shortages
    }

    /// Decides which allotments this VM's domains take or give, and returns the commands.
    fn rebalance(&mut self, policy: &escrow::Policy, now: Time) -> Vec<Command> {
        if self.authority_mode(now) != AuthorityMode::Quorum || self.draining {
            return Vec::new();
        }
        let mut shortages: BTreeMap<(DomainId, TeamId), Resources> = BTreeMap::new();
        for peer in self.peer_statuses.values() {
            for &(domain, team, amount) in &peer.shortages {
                shortages.insert((domain, team), amount);
            }
        }
        for (domain, team, amount) in self.shortages() {
            shortages.insert((domain, team), amount);
        }
        let teams: Vec<TeamId> = self
            .cell
            .document()
            .map(|(_, d)| d.teams.iter().map(|t| t.name).collect())
            .unwrap_or_default();
        let domains: Vec<DomainId> = self.cell.owners().map(|(d, _)| d).collect();
        let mut commands = Vec::new();
        for scheduler in self.schedulers.values_mut() {
            for &team in &teams {
                let others: Vec<OtherDomain> = domains
                    .iter()
                    .filter(|d| **d != scheduler.domain)
                    .map(|&domain| OtherDomain {
                        domain,
                        allotment: self.cell.allotment(domain, team).amount,
                        shortage: shortages.get(&(domain, team)).copied().unwrap_or_default(),
                    })
                    .collect();
                let used = scheduler.inner.team_use(team);
                let demand = scheduler.demand.get(&team).copied().unwrap_or_default();
                let allotment = self.cell.allotment(scheduler.domain, team);
                let input = PolicyInput {
                    domain: scheduler.domain,
                    limit: self.cell.limit(team),
                    allotment: allotment.amount,
                    used,
                    queued: demand.saturating_sub(&used),
                    peak_demand: scheduler
                        .peak_demand
                        .entry(team)
                        .or_default()
                        .observe(Resources::elementwise_max(&used, &demand)),
                    others: &others,
                };
                // Without this limit a busy domain would reuse all capacity that its tasks free,
                // and would never have any to give.
                let usable = escrow::usable_amount(&input, &escrow::PolicySettings::default());
                if scheduler.usable_amounts.insert(team, usable) != Some(usable) {
                    scheduler.update_allotment(&self.cell, team, now, &mut self.worker_commands);
                }
                let (domain, term, from) = (scheduler.domain, scheduler.term, allotment.log_index);
                // A pending give is proposed again until the log has decided on it.
                let pending = scheduler
                    .pending_gives
                    .get(&team)
                    .filter(|g| g.from == from);
                let decision = match pending {
                    Some(give) => Some(Transfer::Give(give.amount)),
                    None => policy(&input),
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
                        // The scheduler must stop using the amount before the log makes it
                        // available to other domains.
                        scheduler
                            .pending_gives
                            .insert(team, PendingGive { amount, from });
                        scheduler.update_allotment(
                            &self.cell,
                            team,
                            now,
                            &mut self.worker_commands,
                        );
                        let remaining = allotment.amount.saturating_sub(&amount);
                        if !scheduler.inner.team_use(team).fits(&remaining) {
                            scheduler.pending_gives.remove(&team);
                            scheduler.update_allotment(
                                &self.cell,
                                team,
                                now,
                                &mut self.worker_commands,
                            );
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
