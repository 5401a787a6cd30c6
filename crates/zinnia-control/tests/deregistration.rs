//! Workers that deregister while they still run tasks.

#![expect(clippy::expect_used, reason = "a test must stop if its setup fails")]

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use common::Cell;
use common::SharedWorker;
use common::TIMEOUT;
use common::caller_request;
use common::clock_ms;
use common::wait_for_answer;
use common::worker_heartbeat;
use zinnia_control::Answer;
use zinnia_control::CallerAction;
use zinnia_control::Request;
use zinnia_control::Settings;
use zinnia_control::Transport;
use zinnia_plan::ActiveRun;
use zinnia_plan::End;
use zinnia_plan::EndReason;
use zinnia_plan::Heartbeat;
use zinnia_plan::Incarnation;
use zinnia_plan::JobSpec;
use zinnia_plan::PollAnswer;
use zinnia_plan::Report;
use zinnia_plan::Resources;
use zinnia_plan::StartOutcome;
use zinnia_plan::Step;
use zinnia_plan::TaskId;

const WORKERS: [&str; 2] = ["v", "w"];

/// What one worker runs and has run.
#[derive(Default)]
struct Runs {
    running: BTreeSet<(TaskId, u32)>,
    ended: Vec<End>,
    /// Whether the process has ended.
    is_gone: bool,
}

/// The workers, and what went wrong on them.
#[derive(Default)]
struct Fleet {
    workers: BTreeMap<String, Runs>,
    starts: Vec<String>,
    overlaps: Vec<String>,
}

impl Fleet {
    fn start(&mut self, worker: &str, task: TaskId, run: u32) {
        let runs_there =
            |(name, w): &(&String, &Runs)| *name != worker && w.running.iter().any(|r| r.0 == task);
        if let Some((other, _)) = self.workers.iter().find(runs_there) {
            let text = format!("run {run} of {task} starts on {worker} while it runs on {other}");
            self.overlaps.push(text);
        }
        let runs = self.workers.entry(worker.to_owned()).or_default();
        runs.running.insert((task, run));
        self.starts.push(worker.to_owned());
    }

    fn stop(&mut self, worker: &str, task: TaskId, run: u32) {
        let runs = self.workers.entry(worker.to_owned()).or_default();
        if runs.running.remove(&(task, run)) {
            let number = runs.ended.len() as u64 + 1;
            runs.ended.push(End {
                number,
                task,
                run,
                reason: EndReason::Stopped,
                checkpoint: String::new(),
            });
        }
    }
}

fn fleet_transport(fleet: &Arc<Mutex<Fleet>>, origin: Instant) -> Transport {
    let (started, stopped, polled) = (Arc::clone(fleet), Arc::clone(fleet), Arc::clone(fleet));
    Transport {
        start: Arc::new(move |order| {
            let run = order.common;
            let mut fleet = started.lock().expect("a lock");
            fleet.start(&run.worker, run.task, run.run);
            let clock_ms = clock_ms(origin);
            Box::pin(async move { StartOutcome::Accepted { clock_ms } })
        }),
        stop: Arc::new(move |order| {
            let fleet = Arc::clone(&stopped);
            Box::pin(async move {
                tokio::time::sleep(Duration::from_millis(100)).await;
                let mut fleet = fleet.lock().expect("a lock");
                fleet.stop(&order.worker, order.task, order.run);
                true
            })
        }),
        poll: Arc::new(move |poll| {
            let fleet = Arc::clone(&polled);
            Box::pin(async move {
                tokio::time::sleep(Duration::from_millis(20)).await;
                let mut fleet = fleet.lock().expect("a lock");
                let runs = fleet.workers.entry(poll.worker).or_default();
                if runs.is_gone {
                    return PollAnswer::None;
                }
                let row = |&(task, run): &(TaskId, u32)| ActiveRun {
                    task,
                    run,
                    checkpoint: String::new(),
                    percent: 100,
                    load: 0,
                };
                let is_new = |e: &&End| e.number > poll.acked_end;
                PollAnswer::Report(Report {
                    born: Some(poll.born),
                    clock_ms: clock_ms(origin),
                    running: runs.running.iter().map(row).collect(),
                    ended: runs.ended.iter().filter(is_new).cloned().collect(),
                    partial: false,
                })
            })
        }),
        query_policy: Arc::new(|_| Box::pin(async { None })),
    }
}

fn heartbeat(worker: &str, sequence: u64, origin: Instant) -> Heartbeat {
    let common = worker_heartbeat(sequence, origin);
    Heartbeat {
        incarnation: Incarnation {
            worker: worker.to_owned(),
            addr: format!("{worker}:1"),
            ..common.incarnation
        },
        ..common
    }
}

/// A job with one task that runs until it is stopped.
fn lasting_job() -> JobSpec {
    JobSpec {
        text: "work".to_owned(),
        steps: vec![Step {
            count: 1,
            resources: Resources {
                cpu: 100,
                mem: 1,
                gpu: 0,
            },
            long_running: true,
            ..Step::default()
        }],
        repeat: None,
    }
}

/// Waits until the fleet has had this number of starts.
async fn wait_for_starts(fleet: &Mutex<Fleet>, count: usize) -> String {
    let started_at = Instant::now();
    loop {
        let last = {
            let fleet = fleet.lock().expect("a lock");
            let last = fleet.starts.last().cloned();
            last.filter(|_| fleet.starts.len() >= count)
        };
        if let Some(worker) = last {
            return worker;
        }
        assert!(started_at.elapsed() < TIMEOUT, "no start {count}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a task that is started elsewhere while a worker that has deregistered still runs it: the
/// acknowledgement may be lost, or its leader, and the worker ends some seconds later.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn deregistered_worker_finishes_before_its_tasks_start_elsewhere() {
    let fleet = Arc::new(Mutex::new(Fleet::default()));
    let origin = Instant::now();
    let transport = fleet_transport(&fleet, origin);
    let settings = Settings::default();
    let cell = Cell::start_on(settings, SharedWorker::default(), transport, origin).await;
    let gateway = Arc::clone(&cell.client.gateway);
    let beats = tokio::spawn(async move {
        for sequence in 1.. {
            for worker in WORKERS {
                let request = Request::Heartbeat(heartbeat(worker, sequence, origin));
                gateway.request(&request, Duration::from_secs(1)).await;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    let gateway = &cell.client.gateway;
    let submit = caller_request(1, CallerAction::Submit(Ok(lasting_job())));
    wait_for_answer(gateway, &submit, &Answer::Done).await;
    let first = wait_for_starts(&fleet, 1).await;
    let leave = Request::Leave {
        worker: first.clone(),
        born: Some(1),
    };
    wait_for_answer(gateway, &leave, &Answer::Done).await;
    let running_at_answer = fleet.lock().expect("a lock").workers[&first].running.len();
    let second = wait_for_starts(&fleet, 2).await;
    beats.abort();
    let fleet = fleet.lock().expect("a lock");
    assert_eq!(fleet.overlaps, [""; 0]);
    assert_ne!(first, second);
    assert_eq!(running_at_answer, 0, "runs when the worker may end");
}
