//! The simulation: a cell, its workers, the calls between them, and the losses of a schedule.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::mem;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use zinnia_plan::Document;
use zinnia_plan::EndReason;
use zinnia_plan::Heartbeat;
use zinnia_plan::JobSpec;
use zinnia_plan::LeaseChanges;
use zinnia_plan::Plan;
use zinnia_plan::Pool;
use zinnia_plan::Queue;
use zinnia_plan::Record;
use zinnia_plan::Resources;
use zinnia_plan::RunOrder;
use zinnia_plan::StartOutcome;
use zinnia_plan::Status;
use zinnia_plan::Step;
use zinnia_plan::TaskId;
use zinnia_plan::Team;
use zinnia_types::JobId;

use crate::cell::Cell;
use crate::cell::wall_ms;
use crate::check::Checks;
use crate::check::Kind;
use crate::check::Outcome;
use crate::network;
use crate::network::Answer;
use crate::network::Call;
use crate::network::Event;
use crate::network::Message;
use crate::network::Path;
use crate::schedule::Fault;
use crate::schedule::Schedule;
use crate::schedule::Victim;
use crate::worker::Clock;
use crate::worker::Incarnation;
use crate::worker::StartAnswer;
use crate::worker::WORKER_CPU;
use crate::worker::Work;

const WORKERS: usize = 8;
const LASTING_CPU: u64 = 2_000;
const SHORT_CPU: u64 = 400;
/// Workers that must have room for a task that is to last before its absence counts.
const SPARE_WORKERS: usize = 2;
/// Interval between two checks of the tasks that are to last.
const CHECK_INTERVAL_MS: u64 = 10;
/// How long after a loss more calls than usual get no answer.
const TROUBLE_MS: u64 = 1_000;
/// When no more short tasks are submitted, before the end.
const LAST_SUBMIT_MS: u64 = 3_000;

/// A worker's machine.
struct Machine {
    name: String,
    /// The incarnation that is up.
    life: Option<Incarnation>,
    next_beat: u64,
    back: Option<u64>,
    /// Until when the paths to and from the leader are cut.
    cut_to: u64,
    cut_from: u64,
    relayed: bool,
    last_trouble: u64,
}

/// A simulation in progress.
struct Sim {
    schedule: Schedule,
    rng: SmallRng,
    now: u64,
    cell: Cell,
    machines: Vec<Machine>,
    events: BTreeMap<(u64, u64), Event>,
    open_calls: BTreeSet<u64>,
    counter: u64,
    restarts: Vec<(u64, usize)>,
    joins: Vec<(u64, usize)>,
    last_victim: usize,
    next_submit: u64,
    works: BTreeMap<JobId, Work>,
    leading: Option<usize>,
    checks: Checks,
}

/// Runs a schedule to its end.
pub(crate) fn simulate(schedule: Schedule) -> Outcome {
    let mut sim = Sim::new(schedule);
    while sim.now < sim.schedule.end {
        sim.now += 1;
        sim.step();
    }
    Outcome {
        schedule: sim.schedule,
        checks: sim.checks,
    }
}

fn task_of(job: JobId) -> TaskId {
    TaskId {
        job,
        round: 0,
        step: 0,
        index: 0,
    }
}

fn lasting_jobs() -> impl Iterator<Item = JobId> {
    (1..=4).map(JobId)
}

fn document() -> Document {
    let queue = Queue {
        name: "quick".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/q/".to_owned(),
        timeout_ms: 3_000,
        allowance_ms: 250,
        pool: "desk".to_owned(),
        max_attempts: 1_000,
        max_slowdown: 1.5,
        policy: None,
        ..Queue::default()
    };
    Document {
        version: 1,
        queues: vec![queue],
        pools: vec![Pool {
            name: "desk".to_owned(),
            enforces_capacity: true,
        }],
        teams: vec![Team {
            name: "kibo".to_owned(),
            keys: vec!["key".to_owned()],
            weight: 1,
            cap: Resources::default(),
        }],
    }
}

impl Sim {
    fn new(schedule: Schedule) -> Self {
        let mut rng = SmallRng::seed_from_u64(schedule.seed ^ 0x5eed);
        let cell = Cell::new(SmallRng::seed_from_u64(schedule.seed ^ 0xce11));
        let machine = |n: usize| Machine {
            name: format!("w{n}"),
            life: None,
            next_beat: 0,
            back: Some(1 + n as u64),
            cut_to: 0,
            cut_from: 0,
            relayed: false,
            last_trouble: 0,
        };
        Self {
            next_submit: rng.random_range(1_500..2_500),
            schedule,
            rng,
            now: 0,
            cell,
            machines: (0..WORKERS).map(machine).collect(),
            events: BTreeMap::new(),
            open_calls: BTreeSet::new(),
            counter: 0,
            restarts: Vec::new(),
            joins: Vec::new(),
            last_victim: 0,
            works: BTreeMap::new(),
            leading: None,
            checks: Checks::default(),
        }
    }

    fn step(&mut self) {
        self.inflict_faults();
        self.recover();
        self.advance_cell();
        self.advance_workers();
        self.deliver();
        self.submit();
        if let Some((member, plan)) = self.cell.plan(self.now) {
            self.execute(member, plan);
        }
        if self.now.is_multiple_of(CHECK_INTERVAL_MS) {
            self.check_lasting();
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.counter += 1;
        self.events
            .insert((at.max(self.now + 1), self.counter), event);
    }

    fn advance_cell(&mut self) {
        let applied = self.cell.advance(self.now);
        for order in applied.orders {
            self.send_start(order);
        }
        if self.leading != self.cell.leading {
            self.leading = self.cell.leading;
            let text = match self.leading {
                Some(member) => format!("member {member} leads"),
                None => "no member leads".to_owned(),
            };
            self.checks.note(self.now, text);
        }
    }

    fn send_start(&mut self, order: zinnia_plan::StartOrder) {
        let Some(member) = self.leading else {
            return;
        };
        let may_act = self.cell.may_act(member, self.now);
        let m = &mut self.cell.members[member];
        let clock = m.clock(self.now);
        let Some(leader) = m.leader.as_mut() else {
            return;
        };
        if let Some(order) = leader.confirm_start(order, may_act, clock) {
            self.call(member, Message::Start(order));
        }
    }

    fn call(&mut self, member: usize, message: Message) {
        self.counter += 1;
        let leader = self.cell.members[member].leader.as_ref();
        let call = Call {
            id: self.counter,
            member,
            term: leader.map_or(0, |l| l.term()),
            message,
        };
        self.open_calls.insert(call.id);
        let path = self.path(call.message.worker());
        for (at, event) in network::send(&mut self.rng, &call, path, self.now) {
            self.push(at, event);
        }
    }

    fn machine(&mut self, name: &str) -> &mut Machine {
        let found = self.machines.iter_mut().find(|m| m.name == name);
        found.expect("the worker exists")
    }

    fn path(&mut self, worker: &str) -> Path {
        let (now, delays) = (self.now, self.schedule.delays);
        let machine = self.machine(worker);
        Path {
            open: machine.life.is_some() && now >= machine.cut_to,
            troubled: now < machine.last_trouble + TROUBLE_MS && machine.last_trouble > 0,
            delays,
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Event::Arrive { call, answered } => self.arrive(call, answered),
                Event::Answer { call, answer } => self.answered(&call, answer),
            }
        }
    }

    /// A call arrives at a worker.
    fn arrive(&mut self, call: Call, answered: bool) {
        let path = self.path(call.message.worker());
        if !path.open {
            // It was lost on its way; the timeout tells its leader.
            return;
        }
        let now = self.now;
        let answer = match &call.message {
            Message::Start(order) => Some(Answer::Start(self.start(order, answered))),
            Message::Stop(order) => {
                if let Some(life) = &mut self.machine(&order.worker).life {
                    life.stop(order, now);
                }
                None
            }
            Message::Poll(poll) => {
                let id = if answered { call.id } else { 0 };
                let life = &mut self.machine(&poll.worker).life;
                let acked = life.as_mut().and_then(|l| l.poll(id, poll, now));
                for end in acked.into_iter().flatten() {
                    self.checks.done_acked(end.task, end.at, now);
                }
                None
            }
        };
        if let Some(answer) = answer.filter(|_| answered) {
            self.send_answer(call, answer);
        }
    }

    fn send_answer(&mut self, call: Call, answer: Answer) {
        let now = self.now;
        let is_cut = now < self.machine(call.message.worker()).cut_from;
        let troubled = self.path(call.message.worker()).troubled;
        let lost_share = if troubled { 0.05 } else { 0.002 };
        if is_cut || self.rng.random_bool(lost_share) {
            return;
        }
        let at = now + network::latency_ms(&mut self.rng);
        self.push(at, Event::Answer { call, answer });
    }

    fn start(&mut self, order: &zinnia_plan::StartOrder, answered: bool) -> StartOutcome {
        let now = self.now;
        let (task, run) = (order.common.task, order.common.run);
        let work = self.works[&task.job];
        let name = order.common.worker.clone();
        let runs_there = |m: &&Machine| m.life.as_ref().is_some_and(|l| l.runs.contains_key(&task));
        let others = self.machines.iter().filter(runs_there);
        let others: Vec<String> = others.map(|m| m.name.clone()).collect();
        let Some(life) = &mut self.machine(&name).life else {
            return StartOutcome::Unknown;
        };
        match life.start(order, work, now) {
            StartAnswer::Active { new, clock_ms } => {
                if new {
                    let late = if answered { "" } else { " (late)" };
                    let on = format!("{name}{late}");
                    self.checks.started(task, run, &on, &others, now);
                    self.check_recorded(task, run, now);
                }
                StartOutcome::Accepted { clock_ms }
            }
            StartAnswer::Refused => {
                self.checks
                    .note(now, format!("{task} run {run} refused by {name}"));
                StartOutcome::Refused {
                    busy: false,
                    ticket: false,
                }
            }
        }
    }

    /// No run may start after the end of its task was recorded.
    fn check_recorded(&mut self, task: TaskId, run: u32, now: u64) {
        let recorded = self.cell.newest_state().task(task);
        if recorded.is_some_and(|t| t.done) {
            let text = format!("run {run} starts after the recorded end");
            self.checks.fail(Kind::AfterDone, now, task, &text);
        }
    }

    /// The outcome of a call arrives at the member that made it.
    fn answered(&mut self, call: &Call, answer: Answer) {
        if !self.open_calls.remove(&call.id) {
            return;
        }
        let now = self.now;
        let m = &mut self.cell.members[call.member];
        let clock = m.clock(now);
        let Some(leader) = m.leader.as_mut().filter(|l| l.term() == call.term) else {
            return;
        };
        let records = match (&call.message, answer) {
            (Message::Start(order), answer) => {
                let outcome = match answer {
                    Answer::Start(outcome) => outcome,
                    Answer::NotSent => StartOutcome::Refused {
                        busy: true,
                        ticket: false,
                    },
                    Answer::Poll(_) | Answer::Nothing => StartOutcome::Unknown,
                };
                let record = leader.start_answered(&order.common, &outcome, clock);
                record.into_iter().collect()
            }
            (Message::Poll(poll), Answer::Poll(report)) => {
                leader.poll_answered(&m.state, poll, Some(&report), clock)
            }
            (Message::Poll(poll), _) => leader.poll_answered(&m.state, poll, None, clock),
            (Message::Stop(_), _) => Vec::new(),
        };
        self.note_releases(&records, "released after an answer");
        if !records.is_empty() {
            let changes = LeaseChanges::default();
            self.cell.propose(call.member, records, changes, now);
        }
        self.cell.wake(call.member, now);
    }

    fn note_releases(&mut self, records: &[Record], how: &str) {
        for record in records {
            if let Record::Release(list) = record {
                for (task, run, _) in list {
                    let text = format!("{task} run {run} {how}");
                    self.checks.note(self.now, text);
                }
            }
        }
    }

    fn execute(&mut self, member: usize, plan: Plan) {
        let now = self.now;
        self.note_releases(&plan.records, "released");
        for silent in &plan.silent {
            let text = format!("{} silent, wait {} ms", silent.worker, silent.wait_ms);
            self.checks.note(now, text);
        }
        let changes = &plan.lease_changes;
        for stopped in &changes.stopped {
            let text = format!("renewal stopped, {stopped:?}");
            self.checks.note(now, text);
        }
        for worker in &changes.resumed {
            self.checks
                .note(now, format!("renewal of {worker} resumed"));
        }
        if !plan.records.is_empty() || !changes.is_empty() {
            self.cell
                .propose(member, plan.records, plan.lease_changes, now);
        }
        if !plan.starts.is_empty() {
            let records = vec![Record::Start(plan.starts)];
            self.cell
                .propose(member, records, LeaseChanges::default(), now);
        }
        for poll in plan.polls {
            self.call(member, Message::Poll(poll));
        }
        for order in plan.stops {
            let RunOrder { task, run, .. } = order;
            self.checks
                .note(now, format!("{task} run {run} to be stopped"));
            self.call(member, Message::Stop(order));
        }
    }

    fn advance_workers(&mut self) {
        let now = self.now;
        for i in 0..self.machines.len() {
            let machine = &mut self.machines[i];
            let Some(life) = &mut machine.life else {
                continue;
            };
            let ended = life.advance(now);
            let answers = life.answered_polls(now);
            for (task, run, reason) in ended {
                if reason != EndReason::Done {
                    let text = format!("{task} run {run} ends on {} as {reason:?}", machine.name);
                    self.checks.note(now, text);
                }
            }
            for (id, poll, report) in answers {
                // The transport drops the answer of another incarnation.
                let answer = match report.born == Some(poll.born) {
                    true => Answer::Poll(report),
                    false => Answer::Nothing,
                };
                self.answer_poll(id, poll, answer);
            }
            if now >= self.machines[i].next_beat {
                self.beat(i);
            }
        }
    }

    fn answer_poll(&mut self, id: u64, poll: zinnia_plan::Poll, answer: Answer) {
        let acting = |m: &crate::cell::Member| m.leader.as_ref().map(|l| l.term());
        // The member and its term do not change while a call is open, or the call is ignored.
        let term = poll.fence >> 20;
        let member = self
            .cell
            .members
            .iter()
            .position(|m| acting(m) == Some(term));
        let (Some(member), true) = (member, self.open_calls.contains(&id)) else {
            return;
        };
        let call = Call {
            id,
            member,
            term,
            message: Message::Poll(poll),
        };
        self.send_answer(call, answer);
    }

    /// A worker sends a heartbeat.
    fn beat(&mut self, i: usize) {
        let now = self.now;
        let pause_ms = self.rng.random_range(350..550);
        let machine = &mut self.machines[i];
        machine.next_beat = now + pause_ms;
        let Some(life) = &mut machine.life else {
            return;
        };
        life.sequence += 1;
        let heartbeat = Heartbeat {
            incarnation: zinnia_plan::Incarnation {
                worker: machine.name.clone(),
                born: life.born,
                addr: format!("10.0.0.{i}:80"),
                pool: "desk".to_owned(),
                domain: format!("z{}", i % 3),
                resources: Resources {
                    cpu: WORKER_CPU,
                    mem: 100_000,
                    gpu: 0,
                },
                labels: vec!["a".to_owned(), format!("r{i}")],
            },
            sequence: life.sequence,
            clock_ms: life.clock_ms(now),
            draining: false,
            remaining_ms: None,
        };
        if now < machine.cut_from && !machine.relayed {
            return;
        }
        let Some(member) = self.cell.acting(now) else {
            machine.next_beat = now + pause_ms.min(150);
            return;
        };
        let m = &mut self.cell.members[member];
        let clock = m.clock(now);
        let Some(leader) = m.leader.as_mut() else {
            return;
        };
        let records = leader.heartbeat(&m.state, &heartbeat, clock);
        if !records.is_empty() {
            self.cell
                .propose(member, records, LeaseChanges::default(), now);
        }
    }

    fn submit(&mut self) {
        let now = self.now;
        if now < self.next_submit {
            return;
        }
        let Some(member) = self.cell.acting(now) else {
            return;
        };
        let mut records = Vec::new();
        if self.works.is_empty() {
            records.push(Record::Document {
                raw: "raw".to_owned(),
                document: document(),
            });
            for id in lasting_jobs() {
                let work = Work {
                    cpu: LASTING_CPU,
                    work_ms: None,
                };
                records.push(self.new_job(id, work));
            }
        } else {
            let id = JobId(100 + self.works.len() as u64);
            let work = Work {
                cpu: SHORT_CPU,
                work_ms: Some(self.rng.random_range(100..6_000)),
            };
            records.push(self.new_job(id, work));
        }
        self.cell
            .propose(member, records, LeaseChanges::default(), now);
        let goes_on = now + LAST_SUBMIT_MS < self.schedule.end;
        self.next_submit = match goes_on {
            true => now + self.schedule.submit_ms,
            false => u64::MAX,
        };
    }

    fn new_job(&mut self, id: JobId, work: Work) -> Record {
        self.works.insert(id, work);
        let step = Step {
            count: 1,
            resources: Resources {
                cpu: work.cpu,
                mem: 10,
                gpu: 0,
            },
            estimate_ms: work.work_ms.unwrap_or(60_000),
            long_running: work.work_ms.is_none(),
            ..Step::default()
        };
        Record::Submit {
            id,
            queue: "quick".to_owned(),
            team: "kibo".to_owned(),
            spec: JobSpec {
                text: "work".to_owned(),
                steps: vec![step],
                repeat: None,
            },
        }
    }

    fn inflict_faults(&mut self) {
        let now = self.now;
        let due = self.schedule.faults.iter().filter(|(at, _)| *at == now);
        for (_, fault) in due.copied().collect::<Vec<_>>() {
            self.inflict(fault);
        }
    }

    fn inflict(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::WorkerLost {
                victim,
                back_ms,
                reset,
            } => {
                let i = self.victim(victim);
                self.lose_worker(i, reset);
                self.machines[i].back = back_ms.map(|ms| now + ms);
            }
            Fault::LeaderLost { back_ms } => {
                if let Some(member) = self.cell.lose_leader(now) {
                    self.restarts.push((now + back_ms, member));
                    self.checks.loss(now, now, format!("leader {member} lost"));
                }
            }
            Fault::StepDown => {
                self.checks.note(now, "leader steps down");
                self.cell.step_down(now);
            }
            Fault::WorkerCut {
                victim,
                to_worker,
                from_worker,
                relayed,
                ms,
            } => {
                let i = self.victim(victim);
                let machine = &mut self.machines[i];
                machine.cut_to = if to_worker { now + ms } else { 0 };
                machine.cut_from = if from_worker { now + ms } else { 0 };
                machine.relayed = relayed;
                machine.last_trouble = now + ms;
                let text = format!("{} cut off for {ms} ms", machine.name);
                self.checks.loss(now, now + ms, text);
            }
            Fault::LeaderCut { ms } => {
                if let Some(member) = self.cell.cut_leader(now) {
                    self.joins.push((now + ms, member));
                    self.checks.loss(
                        now,
                        now + ms,
                        format!("leader {member} cut off for {ms} ms"),
                    );
                }
            }
        }
    }

    fn victim(&mut self, victim: Victim) -> usize {
        if let Victim::Holder(index) = victim {
            let job = lasting_jobs().nth(index).expect("the job exists");
            let holds = |m: &Machine| {
                let runs = m.life.as_ref().map(|l| &l.runs);
                runs.is_some_and(|r| r.contains_key(&task_of(job)))
            };
            let holder = self.machines.iter().position(holds);
            self.last_victim = holder.unwrap_or_else(|| self.rng.random_range(0..WORKERS));
        }
        self.last_victim
    }

    fn lose_worker(&mut self, i: usize, reset: bool) {
        let now = self.now;
        let machine = &mut self.machines[i];
        machine.last_trouble = now;
        let Some(life) = machine.life.take() else {
            return;
        };
        let tasks: Vec<String> = life.runs.keys().map(|t| t.to_string()).collect();
        let text = format!("{} lost with {tasks:?}", machine.name);
        self.checks.loss(now, now, text);
        if reset {
            let calls: Vec<u64> = life.held_calls().collect();
            self.reset_calls(&calls);
        }
    }

    /// Open calls fail at once, since their connections are reset.
    fn reset_calls(&mut self, calls: &[u64]) {
        let now = self.now;
        for event in mem::take(&mut self.events) {
            let ((at, counter), event) = event;
            let is_reset = |call: &Call| calls.contains(&call.id);
            let at = match &event {
                Event::Answer { call, .. } if is_reset(call) => now + 2,
                _ => at,
            };
            self.events.insert((at, counter), event);
        }
    }

    fn recover(&mut self) {
        let now = self.now;
        for i in 0..self.machines.len() {
            if self.machines[i].back == Some(now) {
                self.boot(i);
            }
        }
        let due = self.restarts.iter().filter(|(at, _)| *at == now);
        for (_, member) in due.copied().collect::<Vec<_>>() {
            self.cell.restart(member);
            self.checks.note(now, format!("member {member} back"));
        }
        let due = self.joins.iter().filter(|(at, _)| *at == now);
        for (_, member) in due.copied().collect::<Vec<_>>() {
            self.cell.join_member(member);
            self.checks.note(now, format!("member {member} joined"));
        }
    }

    /// A new incarnation starts.
    fn boot(&mut self, i: usize) {
        let now = self.now;
        let origin = match self.rng.random_bool(0.5) {
            true => self.rng.random_range(1..5_000),
            false => self.rng.random_range(1..10_000_000),
        };
        let clock = Clock {
            origin,
            started: now,
            lag: self.rng.random_range(0..=20),
        };
        let first_beat = now + self.rng.random_range(1..300);
        let machine = &mut self.machines[i];
        machine.back = None;
        machine.life = Some(Incarnation::new(wall_ms(now), clock));
        machine.next_beat = first_beat;
        self.checks
            .note(now, format!("{} up", self.machines[i].name));
    }

    fn check_lasting(&mut self) {
        let now = self.now;
        for id in lasting_jobs() {
            match self.cell.newest_state().jobs.get(&id).map(|j| j.status) {
                Some(Status::Open) => self.checks.accepted(task_of(id), now),
                Some(_) => self.checks.given_up(task_of(id), now),
                None => {}
            }
        }
        let has_room = |m: &&Machine| {
            let free = m.life.as_ref().map_or(0, Incarnation::free_cpu);
            free >= LASTING_CPU && now >= m.cut_to && now >= m.cut_from
        };
        let spare = self.machines.iter().filter(has_room).count();
        let machines = &self.machines;
        let is_running = |task: TaskId| {
            let runs = machines.iter().filter_map(|m| m.life.as_ref());
            runs.into_iter().any(|l| l.runs.contains_key(&task))
        };
        self.checks
            .check_lasting(is_running, spare >= SPARE_WORKERS, now);
    }
}
