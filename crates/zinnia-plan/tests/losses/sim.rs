//! The simulation: a cell, its workers, the calls between them, and the losses of a schedule.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use zinnia_plan::ConfirmedStart;
use zinnia_plan::EndReason;
use zinnia_plan::Leader;
use zinnia_plan::LeaseChanges;
use zinnia_plan::Plan;
use zinnia_plan::Poll;
use zinnia_plan::Record;
use zinnia_plan::RunOrder;
use zinnia_plan::StartOrder;
use zinnia_plan::StartOutcome;
use zinnia_plan::Status;
use zinnia_plan::TaskId;
use zinnia_types::JobId;

use crate::cell::Cell;
use crate::cell::Member;
use crate::check::Checks;
use crate::check::Kind;
use crate::check::Outcome;
use crate::departure::Departure;
use crate::departure::OpenRequest;
use crate::network;
use crate::network::Answer;
use crate::network::Call;
use crate::network::Event;
use crate::network::Message;
use crate::network::Path;
use crate::schedule::Schedule;
use crate::worker::Incarnation;
use crate::worker::StartAnswer;
use crate::worker::Work;
use crate::workload::LASTING_CPU;
use crate::workload::lasting_jobs;
use crate::workload::task_of;

pub(crate) const WORKERS: usize = 8;
/// Workers that must have room for a task that is to last before its absence counts.
const SPARE_WORKERS: usize = 2;
/// Interval between two checks of the tasks that are to last.
const CHECK_INTERVAL_MS: u64 = 10;
/// How long after a loss more calls than usual get no answer.
const TROUBLE_MS: u64 = 1_000;

/// A worker's machine.
pub(crate) struct Machine {
    pub(crate) name: String,
    /// The incarnation that is up.
    pub(crate) life: Option<Incarnation>,
    pub(crate) next_beat: u64,
    pub(crate) back: Option<u64>,
    /// Until when the paths to and from the leader are cut.
    pub(crate) cut_to: u64,
    pub(crate) cut_from: u64,
    pub(crate) relayed: bool,
    pub(crate) last_trouble: u64,
    /// How the incarnation leaves, if it is about to.
    pub(crate) departure: Option<Departure>,
}

/// A simulation in progress.
pub(crate) struct Sim {
    pub(crate) schedule: Schedule,
    pub(crate) rng: SmallRng,
    pub(crate) now: u64,
    pub(crate) cell: Cell,
    pub(crate) machines: Vec<Machine>,
    pub(crate) events: BTreeMap<(u64, u64), Event>,
    pub(crate) open_calls: BTreeSet<u64>,
    pub(crate) counter: u64,
    pub(crate) restarts: Vec<(u64, usize)>,
    pub(crate) joins: Vec<(u64, usize)>,
    /// Deregistrations that a leader has received and not answered.
    pub(crate) deregistrations: Vec<OpenRequest>,
    pub(crate) last_victim: usize,
    pub(crate) next_submit: u64,
    pub(crate) works: BTreeMap<JobId, Work>,
    /// A member that is frozen, and until when.
    pub(crate) frozen: Option<(usize, u64)>,
    /// When members last started again.
    pub(crate) restarted: BTreeMap<usize, u64>,
    pub(crate) leading: Option<usize>,
    pub(crate) checks: Checks,
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
            departure: None,
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
            deregistrations: Vec::new(),
            last_victim: 0,
            works: BTreeMap::new(),
            frozen: None,
            restarted: BTreeMap::new(),
            leading: None,
            checks: Checks::default(),
        }
    }

    fn step(&mut self) {
        self.inflict_faults();
        self.recover();
        self.advance_cell();
        self.advance_workers();
        self.advance_departures();
        self.deliver();
        self.submit();
        if let Some((member, plan)) = self.cell.plan(self.now) {
            self.execute(member, plan);
        }
        if self.now.is_multiple_of(CHECK_INTERVAL_MS) {
            self.check_lasting();
        }
    }

    pub(crate) fn push(&mut self, at: u64, event: Event) {
        self.counter += 1;
        self.events
            .insert((at.max(self.now + 1), self.counter), event);
    }

    fn advance_cell(&mut self) {
        let applied = self.cell.advance(self.now);
        for id in applied.cancelled {
            self.checks.cancelled(id, self.now);
        }
        for (member, order) in applied.orders {
            let at = self.now + self.rng.random_range(0..20);
            self.push(at, Event::Order { member, order });
        }
        if self.leading != self.cell.leading {
            self.leading = self.cell.leading;
            let text = match self.leading {
                Some(member) => format!("member {member} leads"),
                None => "no member leads".to_owned(),
            };
            self.checks.note(self.now, text);
            // The start of a process is a disruption by the users' rules. It matters if the process
            // leads, since it learns of silent workers anew.
            let restarted = self.leading.and_then(|m| self.restarted.get(&m).copied());
            if let Some(at) = restarted {
                let text = format!("the leader had started again at {at} ms");
                self.checks.loss(self.now, at, text);
            }
        }
    }

    /// The loop of a leader takes an order whose start was committed.
    fn send_start(&mut self, member: usize, order: StartOrder) {
        if let Some(thaw) = self.frozen_until(member) {
            self.push(thaw, Event::Order { member, order });
            return;
        }
        let may_act = self.cell.may_act(member, self.now);
        let m = &mut self.cell.members[member];
        let clock = m.clock(self.now);
        let Some(leader) = m.leader.as_mut() else {
            return;
        };
        let confirmed = leader.confirm_start(&m.state, order, may_act, clock);
        if let ConfirmedStart::Send(order) = confirmed {
            self.call(member, Message::Start(order));
        }
    }

    fn call(&mut self, member: usize, message: Message) {
        self.counter += 1;
        let leader = self.cell.members[member].leader.as_ref();
        let call = Call {
            id: self.counter,
            member,
            term: leader.map_or(0, Leader::term),
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
        let unanswered_share = self.schedule.unanswered_share;
        let i = self.machines.iter().position(|m| m.name == worker);
        let i = i.expect("the worker exists");
        let machine = &self.machines[i];
        Path {
            open: machine.life.is_some() && now >= machine.cut_to,
            troubled: self.is_troubled(i),
            delays,
            unanswered_share,
        }
    }

    pub(crate) fn is_troubled(&self, i: usize) -> bool {
        let at = self.machines[i].last_trouble;
        at > 0 && self.now < at + TROUBLE_MS
    }

    /// Until when a member does nothing, if it is frozen.
    fn frozen_until(&self, member: usize) -> Option<u64> {
        let (frozen, until) = self.frozen?;
        (frozen == member && self.now < until).then_some(until)
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Event::Arrive { call, answered } => self.arrive(call, answered),
                Event::Answer { call, answer } => self.answered(call, answer),
                Event::Order { member, order } => self.send_start(member, order),
                Event::Beat(heartbeat) => {
                    self.receive_beat(&heartbeat);
                }
                Event::Submission(record) => self.receive_submission(record),
                Event::Cancellation(id) => self.receive_cancellation(id),
                Event::Deregister { machine, born } => self.receive_deregistration(machine, born),
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

    fn start(&mut self, order: &StartOrder, answered: bool) -> StartOutcome {
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
                    if answered {
                        self.checks.check_cancelled(task, now);
                    }
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
        // The tasks of a completed job are no longer in the state.
        let state = self.cell.newest_state();
        let job = state.jobs.get(&task.job);
        let is_complete = job.is_some_and(|j| j.status == Status::Completed);
        if is_complete || state.task(task).is_some_and(|t| t.done) {
            let text = format!("run {run} starts after the recorded end");
            self.checks.fail(Kind::AfterDone, now, task, &text);
        }
    }

    /// The outcome of a call arrives at the member that made it.
    fn answered(&mut self, call: Call, answer: Answer) {
        if let Some(thaw) = self.frozen_until(call.member) {
            self.push(thaw, Event::Answer { call, answer });
            return;
        }
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
                .note(now, format!("renewal resumed, {worker:?}"));
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

    fn answer_poll(&mut self, id: u64, poll: Poll, answer: Answer) {
        let acting = |m: &Member| m.leader.as_ref().map(Leader::term);
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
