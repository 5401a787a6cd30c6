//! Simulation of a task by timers.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;
use zinnia_types::AttemptId;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::Task;

use crate::FaultInjection;
use crate::SimPayload;
use crate::input::DriverInput;

/// Control message to a running task.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TaskControl {
    /// Stop, after saving a checkpoint if requested.
    Stop { checkpoint: bool },
    /// Limit the CPU to this many thousandths of a core.
    Throttle { cpu: u64 },
    /// Save a checkpoint and keep running.
    Checkpoint,
}

/// A simulated task, which only waits for its run time to pass.
pub(crate) struct SimTask {
    pub(crate) attempt: AttemptId,
    pub(crate) task: Box<Task>,
    pub(crate) faults: FaultInjection,
    pub(crate) sample_interval: Duration,
    pub(crate) control: mpsc::UnboundedReceiver<TaskControl>,
    pub(crate) input_tx: mpsc::UnboundedSender<DriverInput>,
}

/// Sleep of a task without a run time. `select!` constructs it and never polls it.
const UNUSED_SLEEP: Duration = Duration::from_secs(3_600);

impl SimTask {
    /// Runs the task and passes its end to the driver.
    pub(crate) async fn run(mut self) {
        let end = self.simulate().await;
        let attempt = self.attempt;
        // Sending fails only after the worker was stopped.
        let _ = self.input_tx.send(DriverInput::Exited { attempt, end });
    }

    /// Waits until the task ends by itself or is stopped.
    async fn simulate(&mut self) -> AttemptEnd {
        if self.faults.fail {
            return AttemptEnd::Failed {
                why: "fault injection fails every task".to_owned(),
            };
        }
        let payload = SimPayload::from_task(&self.task);
        let need = self.task.need;
        let started = Instant::now();
        let mut cpu_limit = need.cpu;
        // Remaining run time without throttling.
        let mut remaining = payload
            .run_ms(self.task.class)
            .filter(|_| !self.faults.stall)
            .map(Duration::from_millis);
        let mut next_sample = started + self.sample_interval;
        loop {
            let iteration_start = Instant::now();
            // Throttling slows the task down by the ratio of the CPU limit to the unthrottled CPU
            // usage.
            let unthrottled_cpu = payload.usage(need, need.cpu).cpu.max(1);
            let speed = (cpu_limit.max(1) as f64 / unthrottled_cpu as f64).min(1.0);
            let wait = remaining.map_or(UNUSED_SLEEP, |work| work.div_f64(speed));
            tokio::select! {
                () = tokio::time::sleep(wait), if remaining.is_some() => {
                    return end_from_exit_status(payload.exit, started);
                }
                () = tokio::time::sleep_until(next_sample) => {
                    next_sample += self.sample_interval;
                    self.report_usage(payload.usage(need, cpu_limit));
                }
                command = self.control.recv() => match command {
                    Some(TaskControl::Throttle { cpu: limit }) => cpu_limit = limit.min(need.cpu),
                    Some(TaskControl::Stop { checkpoint: true }) => {
                        let duration = Duration::from_millis(payload.checkpoint_ms());
                        return self.save_checkpoint(duration).await;
                    }
                    Some(TaskControl::Checkpoint) => {}
                    Some(TaskControl::Stop { checkpoint: false }) | None => {
                        return AttemptEnd::Stopped { checkpoint: false };
                    }
                },
            }
            remaining =
                remaining.map(|work| work.saturating_sub(iteration_start.elapsed().mul_f64(speed)));
        }
    }

    /// Saves a checkpoint before the end, unless a stop without a checkpoint arrives meanwhile.
    async fn save_checkpoint(&mut self, duration: Duration) -> AttemptEnd {
        let saved = tokio::time::sleep(duration);
        tokio::pin!(saved);
        loop {
            tokio::select! {
                () = &mut saved => return AttemptEnd::Stopped { checkpoint: true },
                command = self.control.recv() => {
                    if matches!(command, None | Some(TaskControl::Stop { checkpoint: false })) {
                        return AttemptEnd::Stopped { checkpoint: false };
                    }
                }
            }
        }
    }

    /// Passes a usage sample to the driver, scaled as the injected faults say.
    fn report_usage(&self, actual: zinnia_types::Resources) {
        let scaled = |n: u64| n.saturating_mul(self.faults.usage_percent) / 100;
        let usage = zinnia_types::Resources {
            cpu: scaled(actual.cpu),
            mem: scaled(actual.mem),
            gpu: actual.gpu,
        };
        let attempt = self.attempt;
        let _ = self.input_tx.send(DriverInput::Usage { attempt, usage });
    }
}

fn end_from_exit_status(exit_status: i32, started: Instant) -> AttemptEnd {
    if exit_status == 0 {
        let run_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        AttemptEnd::Done { run_ms }
    } else {
        AttemptEnd::Failed {
            why: format!("exit status {exit_status}"),
        }
    }
}
