//! Steps of a scenario.

use std::time::Duration;

use serde_json::Value;
use zinnia_types::Code;
use zinnia_types::Ran;
use zinnia_types::Resources;
use zinnia_worker::FaultInjection;

use super::parse::Fault;
use super::parse::Spanned;
use super::words::Words;

/// Limit of a wait unless the step names another one; generous, since it only bounds a hang.
const WAIT: Duration = Duration::from_secs(40);

/// Shape of the cell.
#[derive(Clone, Debug)]
pub(crate) struct Shape {
    pub(crate) domains: Vec<String>,
    pub(crate) vms: usize,
    pub(crate) isolation_ms: Option<u64>,
    pub(crate) replace_ms: Option<u64>,
    pub(crate) compact: Option<u64>,
}

/// A step with its place in the file.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    pub(crate) number: usize,
    pub(crate) step: Step,
}

/// What a step does.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Starts workers of a domain.
    Workers {
        domain: String,
        names: Vec<String>,
        racks: usize,
        capacity: Resources,
        behaviour: FaultInjection,
    },
    /// Sets fault switches.
    Behave {
        workers: String,
        behaviour: FaultInjection,
    },
    /// An action on workers.
    Worker { workers: String, act: WorkerAct },
    /// An action on a VM.
    Vm { vm: String, act: VmAct },
    /// Cuts links between two sets of VMs.
    Cut {
        from: String,
        to: String,
        both: bool,
    },
    /// Cuts a VM or a whole domain off from all others.
    Isolate { vms: String },
    /// Lets everything through again.
    Heal,
    /// Applies a document.
    Document {
        document: Value,
        request: Option<String>,
        from: Option<u64>,
        vm: Option<String>,
    },
    /// Applies many documents one after the other, each with another share of the first team.
    Changes { document: Value, count: u32 },
    /// Two operators apply documents on top of the same version at the same time.
    Race { documents: Vec<Value> },
    /// Grants a key.
    Grant {
        team: String,
        name: String,
        vm: Option<String>,
    },
    /// Withdraws a key.
    Withdraw { key: String, vm: Option<String> },
    /// Uses a key at every VM from now on, so that the record shows which VM accepts it.
    Probe { key: String },
    /// Submits jobs.
    Submit(Submit),
    /// Cancels the jobs of a team whose name has a prefix.
    Cancel {
        team: String,
        prefix: String,
        vm: Option<String>,
    },
    /// Calls a service.
    Call(Call),
    /// Waits for the calls in the background.
    Join,
    /// Waits for a condition.
    Until {
        condition: Condition,
        limit: Duration,
    },
    /// The step must be refused.
    Expect {
        code: Code,
        ran: Option<Ran>,
        step: Box<Self>,
    },
    /// The step is repeated until it succeeds.
    Eventually { step: Box<Self>, limit: Duration },
}

/// Action on workers.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WorkerAct {
    Kill,
    Restart,
    Leave,
    Drain,
    Mute,
    Unmute,
}

/// Action on a VM.
#[derive(Clone, Copy, Debug)]
pub(crate) enum VmAct {
    Kill,
    Drain,
    Start,
    Wipe,
    /// Adds half a record to the end of the newest journal file.
    Tear,
    /// Changes a byte in the middle of the newest journal file.
    Corrupt,
    /// A start that must fail and name the damaged journal file.
    StartFails,
}

/// A submission.
#[derive(Clone, Debug)]
pub(crate) struct Submit {
    pub(crate) key: Option<String>,
    pub(crate) team: String,
    pub(crate) name: String,
    pub(crate) count: u32,
    /// Fields of the request other than its name.
    pub(crate) body: Value,
    pub(crate) vm: Option<String>,
}

/// Calls to a service.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) key: String,
    pub(crate) service: String,
    pub(crate) count: u32,
    /// Prefix of the request ids.
    pub(crate) id: String,
    pub(crate) repeat: Option<bool>,
    pub(crate) size: usize,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) vm: Option<String>,
    pub(crate) background: bool,
    /// Whether refusals and lost connections are allowed.
    pub(crate) any: bool,
}

/// A condition.
#[derive(Clone, Debug)]
pub(crate) enum Condition {
    /// Rows of a view that have these fields.
    Rows {
        view: String,
        fields: Vec<(String, String)>,
        amount: Amount,
        vm: Option<String>,
    },
    /// Every running VM has this version in force.
    Version(u64),
    /// Every running VM refuses the key.
    Refused(String),
    /// Entries of the workers' records.
    Entries {
        entry: String,
        worker: Option<String>,
        call: Option<String>,
        amount: Amount,
    },
    /// A running VM leads the log.
    Leader,
    /// The VM is listed in the cell and takes work.
    Ready(String),
}

/// How many are wanted.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Amount {
    Exactly(usize),
    AtLeast(usize),
}

impl Amount {
    pub(crate) fn is(self, found: usize) -> bool {
        match self {
            Self::Exactly(n) => found == n,
            Self::AtLeast(n) => found >= n,
        }
    }
}

/// Reads the shape of the cell from a first line that begins with `cell`.
pub(crate) fn shape(line: Option<&Vec<Spanned>>, text: &str) -> Result<Option<Shape>, Fault> {
    let Some(line) = line else {
        return Ok(None);
    };
    let mut words = Words::new(line, text);
    if words.word("a step")? != "cell" {
        return Ok(None);
    }
    let domains = words.pair("domains");
    let domains = domains.unwrap_or_else(|| "east,north,west".to_owned());
    let shape = Shape {
        domains: domains.split(',').map(str::to_owned).collect(),
        vms: words.number("vms")?.unwrap_or(1),
        isolation_ms: words.number("isolation_ms")?,
        replace_ms: words.number("replace_ms")?,
        compact: words.number("compact")?,
    };
    words.end()?;
    Ok(Some(shape))
}

/// Reads one step.
pub(crate) fn step(line: &[Spanned], text: &str) -> Result<Line, Fault> {
    let mut words = Words::new(line, text);
    let number = words.line();
    let step = read(&mut words)?;
    words.end()?;
    Ok(Line { number, step })
}

fn read(words: &mut Words<'_>) -> Result<Step, Fault> {
    let verb = words.word("a step")?;
    Ok(match verb.as_str() {
        "workers" => workers(words)?,
        "behave" => Step::Behave {
            workers: words.word("workers")?,
            behaviour: behaviour(words)?,
        },
        "kill-worker" => worker(words, WorkerAct::Kill)?,
        "restart-worker" => worker(words, WorkerAct::Restart)?,
        "drain-worker" => worker(words, WorkerAct::Drain)?,
        "leave" => worker(words, WorkerAct::Leave)?,
        "mute" => worker(words, WorkerAct::Mute)?,
        "unmute" => worker(words, WorkerAct::Unmute)?,
        "kill" => vm(words, VmAct::Kill)?,
        "drain" => vm(words, VmAct::Drain)?,
        "start" => vm(words, VmAct::Start)?,
        "wipe" => vm(words, VmAct::Wipe)?,
        "tear" => vm(words, VmAct::Tear)?,
        "corrupt" => vm(words, VmAct::Corrupt)?,
        "start-fails" => vm(words, VmAct::StartFails)?,
        "cut" => Step::Cut {
            from: words.word("a VM or domain")?,
            to: words.word("a VM or domain")?,
            both: words.flag("both"),
        },
        "isolate" => Step::Isolate {
            vms: words.word("a VM or domain")?,
        },
        "heal" => Step::Heal,
        "document" => Step::Document {
            document: words.document()?,
            request: words.pair("request"),
            from: words.number("from")?,
            vm: words.pair("via"),
        },
        "changes" => Step::Changes {
            count: words.number("count")?.unwrap_or(100),
            document: words.document()?,
        },
        "race" => Step::Race {
            documents: vec![words.document()?, words.document()?],
        },
        "grant" => {
            let team = words.word("a team")?;
            Step::Grant {
                name: words.pair("as").unwrap_or_else(|| team.clone()),
                team,
                vm: words.pair("via"),
            }
        }
        "withdraw" => Step::Withdraw {
            key: words.word("a key")?,
            vm: words.pair("via"),
        },
        "probe" => Step::Probe {
            key: words.word("a key")?,
        },
        "submit" => submit(words)?,
        "cancel" => Step::Cancel {
            team: words.word("a team")?,
            prefix: words.word("a prefix")?,
            vm: words.pair("via"),
        },
        "call" => call(words)?,
        "join" => Step::Join,
        "until" => Step::Until {
            limit: limit(words)?,
            condition: condition(words)?,
        },
        "expect" => Step::Expect {
            code: words.json_word("a code of a refusal")?,
            ran: words.json_pair("ran")?,
            step: Box::new(read(words)?),
        },
        "eventually" => Step::Eventually {
            limit: limit(words)?,
            step: Box::new(read(words)?),
        },
        _ => return Err(words.fault(format!("no step is called {verb}"))),
    })
}

fn limit(words: &mut Words<'_>) -> Result<Duration, Fault> {
    let seconds = words.number("within")?;
    Ok(seconds.map_or(WAIT, Duration::from_secs))
}

fn workers(words: &mut Words<'_>) -> Result<Step, Fault> {
    let domain = words.word("a domain")?;
    let count: usize = words.number("count")?.unwrap_or(1);
    let first: usize = words.number("first")?.unwrap_or(0);
    let names = (first..first + count).map(|n| format!("{domain}-w{n}"));
    Ok(Step::Workers {
        names: names.collect(),
        racks: words.number("racks")?.unwrap_or(2),
        capacity: Resources {
            cpu: words.number("cpu")?.unwrap_or(8_000),
            mem: words.number("mem")?.unwrap_or(8_192),
            gpu: words.number("gpu")?.unwrap_or(0),
        },
        behaviour: behaviour(words)?,
        domain,
    })
}

fn behaviour(words: &mut Words<'_>) -> Result<FaultInjection, Fault> {
    Ok(FaultInjection {
        fail: words.flag("fail"),
        stall: words.flag("stall"),
        usage_percent: words.number("usage_percent")?.unwrap_or(100),
        response_delay_ms: words.number("late_ms")?.unwrap_or(0),
    })
}

fn worker(words: &mut Words<'_>, act: WorkerAct) -> Result<Step, Fault> {
    let workers = words.word("a worker, or a prefix with *")?;
    Ok(Step::Worker { workers, act })
}

fn vm(words: &mut Words<'_>, act: VmAct) -> Result<Step, Fault> {
    let vm = words.word("a VM")?;
    Ok(Step::Vm { vm, act })
}

fn submit(words: &mut Words<'_>) -> Result<Step, Fault> {
    let team = words.word("a team")?;
    let name = words.word("a name")?;
    let key = words.pair("key").unwrap_or_else(|| team.clone());
    Ok(Step::Submit(Submit {
        key: (!words.flag("open")).then_some(key),
        count: words.number("count")?.unwrap_or(1),
        vm: words.pair("via"),
        body: words.document()?,
        team,
        name,
    }))
}

fn call(words: &mut Words<'_>) -> Result<Step, Fault> {
    let key = words.word("a key")?;
    let service = words.word("a service")?;
    Ok(Step::Call(Call {
        id: words
            .pair("id")
            .unwrap_or_else(|| format!("line{}", words.line())),
        count: words.number("count")?.unwrap_or(1),
        repeat: words.pair("repeat").map(|text| text == "yes"),
        size: words.number("size")?.unwrap_or(100),
        deadline_ms: words.number("deadline_ms")?,
        vm: words.pair("via"),
        background: words.flag("background"),
        any: words.flag("any"),
        key,
        service,
    }))
}

fn condition(words: &mut Words<'_>) -> Result<Condition, Fault> {
    let what = words.word("a condition")?;
    Ok(match what.as_str() {
        "workers" | "jobs" | "vms" | "keys" => {
            let amount = amount(words)?;
            Condition::Rows {
                vm: words.pair("via"),
                fields: words.pairs(),
                amount,
                view: what,
            }
        }
        "started" | "ended" | "called" | "served" => Condition::Entries {
            worker: words.pair("worker"),
            call: words.pair("id"),
            amount: amount(words)?,
            entry: what,
        },
        "version" => Condition::Version(words.json_word("a version")?),
        "refused" => Condition::Refused(words.word("a key")?),
        "leader" => Condition::Leader,
        "ready" => Condition::Ready(words.word("a VM")?),
        _ => return Err(words.fault(format!("no condition is called {what}"))),
    })
}

fn amount(words: &mut Words<'_>) -> Result<Amount, Fault> {
    let exact = words.number("count")?;
    let least = words.number("least")?;
    match (exact, least) {
        (Some(n), None) => Ok(Amount::Exactly(n)),
        (None, n) => Ok(Amount::AtLeast(n.unwrap_or(1))),
        (Some(_), Some(_)) => Err(words.fault("either count or least")),
    }
}
