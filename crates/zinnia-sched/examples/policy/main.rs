//! Compares the default policy with first-fit placement, FIFO queues and an equal split on the same
//! arrivals, which resemble those of the two deployments. Simulates the cell in virtual time;
//! workers carry out each action at once.
//!
//! `cargo run --release -p zinnia-sched --example policy [SEED]`

mod arrivals;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinnia_sched::Action;
use zinnia_sched::Counters;
use zinnia_sched::Event;
use zinnia_sched::Policy;
use zinnia_sched::Scheduler;
use zinnia_sched::Settings;
use zinnia_types::AttemptId;
use zinnia_types::Class;
use zinnia_types::Document;
use zinnia_types::DomainId;
use zinnia_types::Epoch;
use zinnia_types::JobId;
use zinnia_types::NameError;
use zinnia_types::RackId;
use zinnia_types::Resources;
use zinnia_types::Team;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::Urgency;
use zinnia_types::WorkerId;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::AttemptReport;
use zinnia_types::worker::Task;
use zinnia_types::worker::TaskState;
use zinnia_types::worker::WorkerProfile;

use arrivals::Arrival;
use arrivals::Deployment;
use arrivals::GPU_WORKER;
use arrivals::MINUTE;
use arrivals::SHARES;
use arrivals::SHIFT_MS;
use arrivals::generate_arrivals;

const STEP_MS: u64 = 100;
/// Delay between the start of a task and the report of its usage.
const USAGE_DELAY_MS: u64 = 3_000;
const MAX_SIM_MS: u64 = 600 * MINUTE;
/// The share error is measured from this long after the set of waiting teams last changed.
const SETTLE_MS: u64 = 30_000;
/// A team counts as waiting if its queued tasks need more than this fraction of the cell.
const MIN_QUEUED_FRACTION: f64 = 0.02;

#[derive(Default)]
struct Metrics {
    wait_times: Vec<u64>,
    due: usize,
    on_time: usize,
    /// Fractions of CPU and accelerators in use when the first job had to wait.
    packing: Option<(f64, f64)>,
    /// Share errors, one for each waiting team and second.
    share_errors: Vec<f64>,
    /// Bit set of the teams that wait, and how long it has not changed.
    waiting: u32,
    stable_ms: u64,
    last_end: u64,
    jobs: usize,
    unfinished: usize,
    counters: Counters,
    urgent_waits: Vec<u64>,
}

fn main() -> Result<(), NameError> {
    let seed = std::env::args().nth(1).and_then(|s| s.parse().ok());
    let seed = seed.unwrap_or(1);
    println!("seed {seed}");
    for deployment in &arrivals::DEPLOYMENTS {
        let arrivals = generate_arrivals(deployment, seed)?;
        let tasks: usize = arrivals.iter().map(|a| a.run_ms.len()).sum();
        let due = arrivals.iter().filter(|a| a.job.due_ms.is_some());
        let is_possible = |a: &&Arrival| a.run_ms.iter().all(|run| a.at + run <= SHIFT_MS);
        let in_time = due.clone().filter(is_possible).count() as f64;
        println!(
            "{}: {} jobs, {tasks} tasks; {:.1}% of the due jobs could meet their due time without waiting",
            deployment.name,
            arrivals.len(),
            100.0 * in_time / due.count().max(1) as f64
        );
        println!(
            "  {:9} {:>8} {:>8} {:>9} {:>9} {:>8} {:>9} {:>8} {:>8} {:>9} {:>10}",
            "policy",
            "wait_s",
            "p99_s",
            "urg_p99_s",
            "on_time",
            "pack_cpu",
            "pack_gpu",
            "dist_max",
            "dist_p50",
            "end_min",
            "unfinished"
        );
        for (name, policy) in policies() {
            print_metrics(name, run(deployment, &arrivals, policy, seed)?);
        }
    }
    Ok(())
}

/// The default policy, the full baseline, and the default with one baseline policy each.
fn policies() -> [(&'static str, Policy); 5] {
    let default = Policy::default;
    let base = Policy::baseline;
    [
        ("default", default()),
        ("baseline", base()),
        (
            "first-fit",
            Policy {
                place: base().place,
                ..default()
            },
        ),
        (
            "fifo",
            Policy {
                order: base().order,
                ..default()
            },
        ),
        (
            "equal",
            Policy {
                split: base().split,
                ..default()
            },
        ),
    ]
}

fn print_metrics(name: &str, mut metrics: Metrics) {
    metrics.wait_times.sort_unstable();
    metrics.urgent_waits.sort_unstable();
    metrics.share_errors.sort_by(f64::total_cmp);
    let median = metrics
        .share_errors
        .get(metrics.share_errors.len() / 2)
        .copied()
        .unwrap_or(0.0);
    let p99 = |v: &[u64]| v.get(v.len() * 99 / 100).copied().unwrap_or(0) as f64 / 1e3;
    let mean = metrics.wait_times.iter().sum::<u64>() as f64
        / 1e3
        / metrics.wait_times.len().max(1) as f64;
    let (cpu, gpu) = metrics.packing.unwrap_or_default();
    println!(
        "  {name:9} {mean:8.1} {:8.1} {:9.2} {:8.1}% {:7.1}% {:8.1}% {:7.2}% {:7.2}% {:9.1} {:10}",
        p99(&metrics.wait_times),
        p99(&metrics.urgent_waits),
        100.0 * metrics.on_time as f64 / metrics.due.max(1) as f64,
        100.0 * cpu,
        100.0 * gpu,
        100.0 * metrics.share_errors.last().copied().unwrap_or(0.0),
        100.0 * median,
        metrics.last_end as f64 / MINUTE as f64,
        metrics.unfinished,
    );
    let c = metrics.counters;
    println!(
        "            checkpoints for urgent tasks: {}, for shares: {}, throttles: {}",
        c.preempted, c.reclaimed, c.throttled
    );
}

/// A running attempt in the simulation.
struct Running {
    worker: WorkerId,
    task: Box<Task>,
    since: u64,
    end: u64,
}

struct Simulation<'a> {
    scheduler: Scheduler,
    now: u64,
    arrivals: &'a [Arrival],
    job_index: BTreeMap<JobId, usize>,
    running: BTreeMap<AttemptId, Running>,
    /// Attempts by end time, and by the time at which their usage is reported.
    ends: BTreeSet<(u64, AttemptId)>,
    usage_reports: BTreeSet<(u64, AttemptId)>,
    /// Remaining run time of checkpointed tasks.
    remaining: BTreeMap<(JobId, u32), u64>,
    started: BTreeSet<(JobId, u32)>,
    total: Resources,
    metrics: Metrics,
}

fn run(
    deployment: &Deployment,
    arrivals: &[Arrival],
    policy: Policy,
    seed: u64,
) -> Result<Metrics, NameError> {
    let settings = Settings {
        seed,
        ..Settings::default()
    };
    let mut sim = Simulation {
        scheduler: Scheduler::new(settings, policy),
        now: 0,
        arrivals,
        job_index: arrivals
            .iter()
            .enumerate()
            .map(|(n, a)| (a.job.id, n))
            .collect(),
        running: BTreeMap::new(),
        ends: BTreeSet::new(),
        usage_reports: BTreeSet::new(),
        remaining: BTreeMap::new(),
        started: BTreeSet::new(),
        total: Resources::ZERO,
        metrics: Metrics::default(),
    };
    sim.register_cell(deployment)?;
    sim.run_to_end();
    Ok(sim.metrics)
}

impl Simulation<'_> {
    fn register_cell(&mut self, deployment: &Deployment) -> Result<(), NameError> {
        for n in 0..48 {
            // 35 CPU workers, five to a rack, and 13 accelerator workers, three to a rack.
            let (capacity, rack) = if n < 35 {
                (deployment.cpu, n / 5)
            } else {
                (GPU_WORKER, 7 + (n - 35) / 3)
            };
            self.total += capacity;
            self.step(Event::OwnershipGranted {
                profile: WorkerProfile {
                    worker: WorkerId::new(&format!("w{n}"))?,
                    boot: 1,
                    addr: String::new(),
                    domain: DomainId::new("d")?,
                    rack: RackId::new(&format!("r{rack}"))?,
                    capacity,
                },
                epoch: Epoch(1),
                leaving: false,
                reports: Vec::new(),
            });
        }
        let mut document = Document::default();
        for (n, share) in SHARES.iter().enumerate() {
            document.teams.push(Team {
                name: TeamId::new(&format!("team{n}"))?,
                share: *share,
                limit: self.total,
                calls: 1,
            });
        }
        let teams = document.teams.clone();
        self.step(Event::Document {
            document: Box::new(document),
        });
        for team in teams {
            self.step(Event::Allotment {
                team: team.name,
                amount: team.limit,
            });
        }
        self.step(Event::Clock { offset_ms: 0 });
        self.step(Event::Active { active: true });
        Ok(())
    }

    fn run_to_end(&mut self) {
        let mut next = 0;
        while self.now < MAX_SIM_MS {
            self.now += STEP_MS;
            while let Some((at, id)) = self.ends.first().copied()
                && at <= self.now
            {
                self.end(id);
            }
            while let Some((at, id)) = self.usage_reports.first().copied()
                && at <= self.now
            {
                self.usage_reports.pop_first();
                self.report_usage(id);
            }
            while let Some(arrival) = self.arrivals.get(next)
                && arrival.at <= self.now
            {
                next += 1;
                self.step(Event::Submit {
                    job: Box::new(arrival.job.clone()),
                    done: Vec::new(),
                    dispatched: Vec::new(),
                    recovered: false,
                });
            }
            if self.now.is_multiple_of(500) {
                self.step(Event::Tick);
            }
            if self.now.is_multiple_of(1_000) {
                self.sample();
            }
            let ends = self
                .running
                .values()
                .filter(|r| r.task.class != Class::Service);
            if next == self.arrivals.len() && ends.count() == 0 && self.scheduler.queued() == 0 {
                break;
            }
        }
        self.metrics.counters = self.scheduler.counters();
        let ends = |a: &&Arrival| a.job.class != Class::Service;
        let jobs = self.arrivals.iter().filter(ends).count();
        self.metrics.unfinished = jobs - self.metrics.jobs;
    }

    fn step(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.scheduler.step(event, Time(self.now)) {
                events.extend(self.perform(action));
            }
        }
    }

    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Start {
                worker,
                attempt,
                task,
                ..
            } => {
                self.start(worker, attempt, task);
                Some(Event::Started { attempt })
            }
            Action::Stop {
                attempt,
                checkpoint,
                ..
            } => {
                let run = self.running.remove(&attempt)?;
                self.ends.remove(&(run.end, attempt));
                let remaining = run.end.saturating_sub(self.now);
                self.remaining
                    .insert((attempt.job, attempt.task), remaining);
                let end = Some(AttemptEnd::Stopped { checkpoint });
                Some(Event::Stopped { attempt, end })
            }
            Action::Throttle { attempt, cpu, .. } => Some(Event::Throttled { attempt, cpu }),
            Action::RecordDispatch { job, tasks } => Some(Event::DispatchRecorded { job, tasks }),
            Action::JobEnded { job, .. } => {
                let arrival = &self.arrivals[*self.job_index.get(&job)?];
                self.metrics.jobs += 1;
                if arrival.job.due_ms.is_some() {
                    self.metrics.due += 1;
                    self.metrics.on_time += usize::from(self.now <= SHIFT_MS);
                }
                self.metrics.last_end = self.now;
                None
            }
            _ => None,
        }
    }

    fn start(&mut self, worker: WorkerId, attempt: AttemptId, task: Box<Task>) {
        let key = (attempt.job, attempt.task);
        let Some(arrival) = self.job_index.get(&attempt.job).map(|&n| &self.arrivals[n]) else {
            return;
        };
        let full = arrival.run_ms[attempt.task as usize];
        let run = self.remaining.get(&key).copied().unwrap_or(full);
        if self.started.insert(key) && task.class != Class::Service {
            let wait = self.now.saturating_sub(arrival.at);
            self.metrics.wait_times.push(wait);
            if arrival.job.urgency == Urgency::Urgent {
                self.metrics.urgent_waits.push(wait);
            }
        }
        let end = self.now.saturating_add(run.max(1));
        self.ends.insert((end, attempt));
        self.usage_reports
            .insert((self.now + USAGE_DELAY_MS, attempt));
        let since = self.now;
        self.running.insert(
            attempt,
            Running {
                worker,
                task,
                since,
                end,
            },
        );
    }

    fn end(&mut self, id: AttemptId) {
        self.ends.pop_first();
        if let Some(run) = self.running.remove(&id) {
            let end = AttemptEnd::Done {
                run_ms: self.now - run.since,
            };
            self.report(run.worker, id, TaskState::Ended { end });
        }
    }

    fn report_usage(&mut self, id: AttemptId) {
        let (Some(run), Some(&n)) = (self.running.get(&id), self.job_index.get(&id.job)) else {
            return;
        };
        let state = TaskState::Running {
            task: run.task.clone(),
            usage: self.arrivals[n].usage,
        };
        self.report(run.worker, id, state);
    }

    fn report(&mut self, worker: WorkerId, attempt: AttemptId, state: TaskState) {
        self.step(Event::Heartbeat {
            worker,
            boot: 1,
            reports: vec![AttemptReport { attempt, state }],
        });
    }

    /// Samples the packing when the first job has to wait, and the share error on a full cell.
    fn sample(&mut self) {
        let mut used = Resources::ZERO;
        let mut teams: BTreeMap<TeamId, Resources> = BTreeMap::new();
        for run in self.running.values() {
            used += run.task.need;
            *teams.entry(run.task.team).or_default() += run.task.need;
        }
        if self.scheduler.queued() > 0 && self.metrics.packing.is_none() {
            let part = |used: u64, all: u64| used as f64 / all as f64;
            let cpu = part(used.cpu, self.total.cpu);
            let gpu = part(used.gpu, self.total.gpu);
            self.metrics.packing = Some((cpu, gpu));
        }
        self.measure_shares(&teams);
    }

    /// Samples the difference between the capacity that each waiting team uses and its entitlement
    /// by weighted max-min fairness: no team is entitled to more than it runs and has queued, and
    /// the rest is split by share.
    fn measure_shares(&mut self, teams: &BTreeMap<TeamId, Resources>) {
        let dump = self.scheduler.dump();
        let list = dump["teams"].as_array().cloned().unwrap_or_default();
        let mut waiting = 0_u32;
        // Demand relative to share, share, fraction used, demand and index of each team.
        let mut team_states = Vec::new();
        for ((n, team), share) in list.iter().enumerate().zip(SHARES) {
            let queued = &team["queued_need"];
            let queued = Resources {
                cpu: queued["cpu"].as_u64().unwrap_or(0),
                mem: queued["mem"].as_u64().unwrap_or(0),
                gpu: queued["gpu"].as_u64().unwrap_or(0),
            };
            // A shorter queue may consist of single tasks that do not fit at the moment.
            if queued.dominant_share(&self.total) > MIN_QUEUED_FRACTION {
                waiting |= 1 << n;
            }
            let name = team["team"].as_str().and_then(|t| TeamId::new(t).ok());
            let used = name.and_then(|n| teams.get(&n)).copied();
            let used = used.unwrap_or_default();
            let demand = (used + queued).dominant_share(&self.total);
            let share = f64::from(share);
            team_states.push((
                demand / share,
                share,
                used.dominant_share(&self.total),
                demand,
                n,
            ));
        }
        if waiting != self.metrics.waiting {
            self.metrics.waiting = waiting;
            self.metrics.stable_ms = 0;
        }
        self.metrics.stable_ms += 1_000;
        if waiting.count_ones() < 2 || self.metrics.stable_ms <= SETTLE_MS {
            return;
        }
        team_states.sort_by(|a, b| a.0.total_cmp(&b.0));
        let total_used: f64 = team_states.iter().map(|p| p.2).sum();
        let mut remaining = total_used;
        let mut shares: f64 = team_states.iter().map(|p| p.1).sum();
        for (_, share, used, demand, n) in team_states {
            let entitled = demand.min(remaining * share / shares);
            remaining -= entitled;
            shares -= share;
            if waiting & (1 << n) != 0 {
                let share_error = (used - entitled).abs() / total_used.max(f64::MIN_POSITIVE);
                self.metrics.share_errors.push(share_error);
            }
        }
    }
}
