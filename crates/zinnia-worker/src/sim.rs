//! Simulated tasks.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;
use zinnia_types::AttemptId;
use zinnia_types::worker::End;
use zinnia_types::worker::Task;

use crate::FaultInjection;
use crate::Load;
use crate::input::Input;

/// Order to a running task.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Control {
    /// End, after saving a checkpoint if asked.
    Kill { checkpoint: bool },
    /// Use at most this many thousandths of a core.
    Throttle { cpu: u64 },
    /// Save a checkpoint and go on.
    Checkpoint,
}

/// A task that only lets time pass.
pub(crate) struct Sim {
    pub(crate) attempt: AttemptId,
    pub(crate) task: Box<Task>,
    pub(crate) faults: FaultInjection,
    pub(crate) sample_interval: Duration,
    pub(crate) control: mpsc::UnboundedReceiver<Control>,
    pub(crate) shell: mpsc::UnboundedSender<Input>,
}

/// Longest single wait; a task without an end wakes up this often.
const LONG: Duration = Duration::from_secs(3_600);

impl Sim {
    /// Runs to the end and reports it.
    pub(crate) async fn run(mut self) {
        let end = self.live().await;
        let attempt = self.attempt;
        // The shell is gone only when the whole worker is.
        let _ = self.shell.send(Input::Exited { attempt, end });
    }

    async fn live(&mut self) -> End {
        if self.faults.fail {
            return End::Failed {
                why: "every task fails here".to_owned(),
            };
        }
        let load = Load::of(&self.task);
        let need = self.task.need;
        let begun = Instant::now();
        let mut cpu = need.cpu;
        // Work left, as time at full speed.
        let mut left = load
            .run_ms(self.task.class)
            .filter(|_| !self.faults.stall)
            .map(Duration::from_millis);
        let mut sample = begun + self.sample_interval;
        loop {
            let round = Instant::now();
            // A throttled task slows down in proportion to what it would use at full speed.
            let full = load.usage(need, need.cpu).cpu.max(1);
            let speed = (cpu.max(1) as f64 / full as f64).min(1.0);
            let wait = left.map_or(LONG, |work| work.div_f64(speed));
            tokio::select! {
                () = tokio::time::sleep(wait), if left.is_some() => {
                    return finish(load.exit, begun);
                }
                () = tokio::time::sleep_until(sample) => {
                    sample += self.sample_interval;
                    self.report(load.usage(need, cpu));
                }
                order = self.control.recv() => match order {
                    Some(Control::Throttle { cpu: limit }) => cpu = limit.min(need.cpu),
                    Some(Control::Kill { checkpoint: true }) => {
                        let save = Duration::from_millis(load.checkpoint_ms());
                        return self.save_and_end(save).await;
                    }
                    Some(Control::Checkpoint) => {}
                    Some(Control::Kill { checkpoint: false }) | None => {
                        return End::Stopped { checkpoint: false };
                    }
                },
            }
            left = left.map(|work| work.saturating_sub(round.elapsed().mul_f64(speed)));
        }
    }

    /// Saves a checkpoint, unless told to end at once meanwhile.
    async fn save_and_end(&mut self, save: Duration) -> End {
        let saved = tokio::time::sleep(save);
        tokio::pin!(saved);
        loop {
            tokio::select! {
                () = &mut saved => return End::Stopped { checkpoint: true },
                order = self.control.recv() => {
                    if matches!(order, None | Some(Control::Kill { checkpoint: false })) {
                        return End::Stopped { checkpoint: false };
                    }
                }
            }
        }
    }

    fn report(&self, real: zinnia_types::Resources) {
        let told = |n: u64| n.saturating_mul(self.faults.usage_percent) / 100;
        let usage = zinnia_types::Resources {
            cpu: told(real.cpu),
            mem: told(real.mem),
            gpu: real.gpu,
        };
        let attempt = self.attempt;
        let _ = self.shell.send(Input::Usage { attempt, usage });
    }
}

fn finish(exit: i32, begun: Instant) -> End {
    if exit == 0 {
        let run_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
        End::Done { run_ms }
    } else {
        End::Failed {
            why: format!("exit status {exit}"),
        }
    }
}
