//! The steps of a scenario and their parser.

use std::time::Duration;

use serde_json::Value;
use zinnia_types::Code;
use zinnia_types::ExecutionStatus;
use zinnia_types::Resources;
use zinnia_worker::FaultInjection;

use super::line_reader::LineReader;
use super::parse::ParseError;
use super::parse::SpannedToken;

/// Default timeout of a wait. It is long, since it only ends a hang.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(40);

/// Configuration of the cell, from a first line that begins with `cell`.
#[derive(Clone, Debug)]
pub(crate) struct CellConfig {
    pub(crate) domains: Vec<String>,
    /// Number of VMs in each failure domain.
    pub(crate) vms: usize,
    /// Maximum time that an isolated failure domain continues without a quorum.
    pub(crate) isolation_ms: Option<u64>,
    /// Time after which an unreachable voter is replaced by another VM with a disk.
    pub(crate) replace_ms: Option<u64>,
    /// Number of log entries after which a VM writes a snapshot.
    pub(crate) compact_entries: Option<u64>,
}

/// A step with its line number in the file.
#[derive(Clone, Debug)]
pub(crate) struct NumberedStep {
    pub(crate) number: usize,
    pub(crate) step: Step,
}

/// Action of a step.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Starts workers in a failure domain.
    StartWorkers {
        domain: String,
        names: Vec<String>,
        racks: usize,
        capacity: Resources,
        faults: FaultInjection,
    },
    /// Sets the injected faults of workers.
    SetFaults {
        workers: String,
        faults: FaultInjection,
    },
    /// Performs an action on workers.
    ControlWorkers {
        workers: String,
        action: WorkerAction,
    },
    /// Performs an action on VMs.
    ControlVm { vm: String, action: VmAction },
    /// Drops the messages between two sets of VMs, in one direction or both.
    Cut {
        from: String,
        to: String,
        both: bool,
    },
    /// Drops all messages between some VMs and all others.
    Isolate { vms: String },
    /// Restores all links.
    Heal,
    /// Applies a document.
    ApplyDocument {
        document: Value,
        request_id: Option<String>,
        base_version: Option<u64>,
        vm: Option<String>,
    },
    /// Applies `count` documents in sequence, each with a different share of the first team.
    ApplySeries { document: Value, count: u32 },
    /// Applies documents concurrently, all edited from the same version; exactly one must be
    /// accepted.
    ApplyConcurrently { documents: Vec<Value> },
    /// Grants a key.
    GrantKey {
        team: String,
        name: String,
        vm: Option<String>,
    },
    /// Withdraws a key.
    WithdrawKey { key: String, vm: Option<String> },
    /// Sends requests with a key to every VM in the background, to record which VMs accept it.
    ProbeKey { key: String },
    /// Submits jobs.
    Submit(Submit),
    /// Cancels the jobs of a team whose names start with a prefix.
    Cancel {
        team: String,
        prefix: String,
        vm: Option<String>,
    },
    /// Calls a service.
    Call(Call),
    /// Waits for all background calls.
    JoinCalls,
    /// Waits for a condition.
    Until {
        condition: Condition,
        timeout: Duration,
    },
    /// Runs a step, all of whose requests must be refused.
    Expect {
        code: Code,
        ran: Option<ExecutionStatus>,
        step: Box<Self>,
    },
    /// Repeats a step until it succeeds.
    Eventually { step: Box<Self>, timeout: Duration },
}

/// Action on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WorkerAction {
    Kill,
    Restart,
    Leave,
    Drain,
    PauseHeartbeats,
    ResumeHeartbeats,
}

/// Action on a VM.
#[derive(Clone, Copy, Debug)]
pub(crate) enum VmAction {
    Kill,
    Drain,
    Start,
    WipeDisk,
    /// Appends an incomplete record to the newest journal file, as a write that was interrupted.
    AppendPartialRecord,
    /// Changes a byte in the middle of the newest journal file.
    CorruptJournal,
    /// Starts the VM, which must fail with an error that names the damaged journal file.
    ExpectStartFailure,
}

/// Submissions of jobs that differ only in their names.
#[derive(Clone, Debug)]
pub(crate) struct Submit {
    /// Name of the key, or `None` for a submission without a key.
    pub(crate) key: Option<String>,
    pub(crate) team: String,
    pub(crate) name: String,
    pub(crate) count: u32,
    /// Fields of the submission other than the name.
    pub(crate) body: Value,
    pub(crate) vm: Option<String>,
}

/// Calls of a service.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) key: String,
    pub(crate) service: String,
    pub(crate) count: u32,
    /// Request id, or its prefix for several calls.
    pub(crate) id: String,
    pub(crate) repeat: Option<bool>,
    /// Length of the text in the request body.
    pub(crate) size: usize,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) vm: Option<String>,
    pub(crate) background: bool,
    /// Whether refusals and lost connections are accepted.
    pub(crate) allow_failures: bool,
}

/// A condition on the cell.
#[derive(Clone, Debug)]
pub(crate) enum Condition {
    /// The number of rows of a view that have certain field values.
    Rows {
        view: String,
        fields: Vec<(String, String)>,
        expected_count: ExpectedCount,
        vm: Option<String>,
    },
    /// Every running VM has this document version in force.
    DocumentVersion(u64),
    /// Every running VM refuses the key.
    KeyRefused(String),
    /// The number of recorded worker events of a type.
    WorkerEvents {
        event: String,
        worker: Option<String>,
        request_id: Option<String>,
        expected_count: ExpectedCount,
    },
    /// A reachable VM is the Raft leader.
    HasLeader,
    /// The VMs report at `/healthz` that they are members of the cell and accept requests.
    VmReady(String),
}

/// An expected number of matches.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ExpectedCount {
    Exactly(usize),
    AtLeast(usize),
}

impl ExpectedCount {
    pub(crate) fn matches(self, found: usize) -> bool {
        match self {
            Self::Exactly(n) => found == n,
            Self::AtLeast(n) => found >= n,
        }
    }
}

/// Parses the configuration of the cell from a first line that begins with `cell`.
pub(crate) fn parse_cell_config(
    line: Option<&Vec<SpannedToken>>,
    text: &str,
) -> Result<Option<CellConfig>, ParseError> {
    let Some(line) = line else {
        return Ok(None);
    };
    let mut reader = LineReader::new(line, text);
    if reader.take_word("a step")? != "cell" {
        return Ok(None);
    }
    let domains = reader.take_pair("domains");
    let domains = domains.unwrap_or_else(|| "east,north,west".to_owned());
    let config = CellConfig {
        domains: domains.split(',').map(str::to_owned).collect(),
        vms: reader.take_number("vms")?.unwrap_or(1),
        isolation_ms: reader.take_number("isolation_ms")?,
        replace_ms: reader.take_number("replace_ms")?,
        compact_entries: reader.take_number("compact")?,
    };
    reader.expect_end()?;
    Ok(Some(config))
}

/// Parses one step.
pub(crate) fn parse_step(line: &[SpannedToken], text: &str) -> Result<NumberedStep, ParseError> {
    let mut reader = LineReader::new(line, text);
    let number = reader.line_number();
    let step = parse_action(&mut reader)?;
    reader.expect_end()?;
    Ok(NumberedStep { number, step })
}

fn parse_action(reader: &mut LineReader<'_>) -> Result<Step, ParseError> {
    let name = reader.take_word("a step")?;
    Ok(match name.as_str() {
        "workers" => parse_start_workers(reader)?,
        "behave" => Step::SetFaults {
            workers: reader.take_word("workers")?,
            faults: parse_faults(reader)?,
        },
        "kill-worker" => parse_worker_action(reader, WorkerAction::Kill)?,
        "restart-worker" => parse_worker_action(reader, WorkerAction::Restart)?,
        "drain-worker" => parse_worker_action(reader, WorkerAction::Drain)?,
        "leave" => parse_worker_action(reader, WorkerAction::Leave)?,
        "mute" => parse_worker_action(reader, WorkerAction::PauseHeartbeats)?,
        "unmute" => parse_worker_action(reader, WorkerAction::ResumeHeartbeats)?,
        "kill" => parse_vm_action(reader, VmAction::Kill)?,
        "drain" => parse_vm_action(reader, VmAction::Drain)?,
        "start" => parse_vm_action(reader, VmAction::Start)?,
        "wipe" => parse_vm_action(reader, VmAction::WipeDisk)?,
        "tear" => parse_vm_action(reader, VmAction::AppendPartialRecord)?,
        "corrupt" => parse_vm_action(reader, VmAction::CorruptJournal)?,
        "start-fails" => parse_vm_action(reader, VmAction::ExpectStartFailure)?,
        "cut" => Step::Cut {
            from: reader.take_word("a VM or domain")?,
            to: reader.take_word("a VM or domain")?,
            both: reader.take_flag("both"),
        },
        "isolate" => Step::Isolate {
            vms: reader.take_word("a VM or domain")?,
        },
        "heal" => Step::Heal,
        "document" => Step::ApplyDocument {
            document: reader.take_document()?,
            request_id: reader.take_pair("request"),
            base_version: reader.take_number("from")?,
            vm: reader.take_pair("via"),
        },
        "changes" => Step::ApplySeries {
            count: reader.take_number("count")?.unwrap_or(100),
            document: reader.take_document()?,
        },
        "race" => Step::ApplyConcurrently {
            documents: vec![reader.take_document()?, reader.take_document()?],
        },
        "grant" => {
            let team = reader.take_word("a team")?;
            Step::GrantKey {
                name: reader.take_pair("as").unwrap_or_else(|| team.clone()),
                team,
                vm: reader.take_pair("via"),
            }
        }
        "withdraw" => Step::WithdrawKey {
            key: reader.take_word("a key")?,
            vm: reader.take_pair("via"),
        },
        "probe" => Step::ProbeKey {
            key: reader.take_word("a key")?,
        },
        "submit" => parse_submit(reader)?,
        "cancel" => Step::Cancel {
            team: reader.take_word("a team")?,
            prefix: reader.take_word("a prefix")?,
            vm: reader.take_pair("via"),
        },
        "call" => parse_call(reader)?,
        "join" => Step::JoinCalls,
        "until" => Step::Until {
            timeout: parse_timeout(reader)?,
            condition: parse_condition(reader)?,
        },
        "expect" => Step::Expect {
            code: reader.take_json_word("a code of a refusal")?,
            ran: reader.take_json_pair("ran")?,
            step: Box::new(parse_action(reader)?),
        },
        "eventually" => Step::Eventually {
            timeout: parse_timeout(reader)?,
            step: Box::new(parse_action(reader)?),
        },
        _ => return Err(reader.error(format!("no step is called {name}"))),
    })
}

fn parse_timeout(reader: &mut LineReader<'_>) -> Result<Duration, ParseError> {
    let seconds = reader.take_number("within")?;
    Ok(seconds.map_or(DEFAULT_TIMEOUT, Duration::from_secs))
}

fn parse_start_workers(reader: &mut LineReader<'_>) -> Result<Step, ParseError> {
    let domain = reader.take_word("a domain")?;
    let count: usize = reader.take_number("count")?.unwrap_or(1);
    let first: usize = reader.take_number("first")?.unwrap_or(0);
    let names = (first..first + count).map(|n| format!("{domain}-w{n}"));
    Ok(Step::StartWorkers {
        names: names.collect(),
        racks: reader.take_number("racks")?.unwrap_or(2),
        capacity: Resources {
            cpu: reader.take_number("cpu")?.unwrap_or(8_000),
            mem: reader.take_number("mem")?.unwrap_or(8_192),
            gpu: reader.take_number("gpu")?.unwrap_or(0),
        },
        faults: parse_faults(reader)?,
        domain,
    })
}

fn parse_faults(reader: &mut LineReader<'_>) -> Result<FaultInjection, ParseError> {
    Ok(FaultInjection {
        fail: reader.take_flag("fail"),
        stall: reader.take_flag("stall"),
        usage_percent: reader.take_number("usage_percent")?.unwrap_or(100),
        response_delay_ms: reader.take_number("late_ms")?.unwrap_or(0),
    })
}

fn parse_worker_action(
    reader: &mut LineReader<'_>,
    action: WorkerAction,
) -> Result<Step, ParseError> {
    let workers = reader.take_word("a worker, or a prefix with *")?;
    Ok(Step::ControlWorkers { workers, action })
}

fn parse_vm_action(reader: &mut LineReader<'_>, action: VmAction) -> Result<Step, ParseError> {
    let vm = reader.take_word("a VM")?;
    Ok(Step::ControlVm { vm, action })
}

fn parse_submit(reader: &mut LineReader<'_>) -> Result<Step, ParseError> {
    let team = reader.take_word("a team")?;
    let name = reader.take_word("a name")?;
    let key = reader.take_pair("key").unwrap_or_else(|| team.clone());
    Ok(Step::Submit(Submit {
        key: (!reader.take_flag("open")).then_some(key),
        count: reader.take_number("count")?.unwrap_or(1),
        vm: reader.take_pair("via"),
        body: reader.take_document()?,
        team,
        name,
    }))
}

fn parse_call(reader: &mut LineReader<'_>) -> Result<Step, ParseError> {
    let key = reader.take_word("a key")?;
    let service = reader.take_word("a service")?;
    Ok(Step::Call(Call {
        id: reader
            .take_pair("id")
            .unwrap_or_else(|| format!("line{}", reader.line_number())),
        count: reader.take_number("count")?.unwrap_or(1),
        repeat: reader.take_pair("repeat").map(|text| text == "yes"),
        size: reader.take_number("size")?.unwrap_or(100),
        deadline_ms: reader.take_number("deadline_ms")?,
        vm: reader.take_pair("via"),
        background: reader.take_flag("background"),
        allow_failures: reader.take_flag("any"),
        key,
        service,
    }))
}

fn parse_condition(reader: &mut LineReader<'_>) -> Result<Condition, ParseError> {
    let name = reader.take_word("a condition")?;
    Ok(match name.as_str() {
        "workers" | "jobs" | "vms" | "keys" => {
            let expected_count = parse_expected_count(reader)?;
            Condition::Rows {
                vm: reader.take_pair("via"),
                fields: reader.take_pairs(),
                expected_count,
                view: name,
            }
        }
        "started" | "ended" | "called" | "served" => Condition::WorkerEvents {
            worker: reader.take_pair("worker"),
            request_id: reader.take_pair("id"),
            expected_count: parse_expected_count(reader)?,
            event: name,
        },
        "version" => Condition::DocumentVersion(reader.take_json_word("a version")?),
        "refused" => Condition::KeyRefused(reader.take_word("a key")?),
        "leader" => Condition::HasLeader,
        "ready" => Condition::VmReady(reader.take_word("a VM")?),
        _ => return Err(reader.error(format!("no condition is called {name}"))),
    })
}

fn parse_expected_count(reader: &mut LineReader<'_>) -> Result<ExpectedCount, ParseError> {
    let exact_count = reader.take_number("count")?;
    let min_count = reader.take_number("least")?;
    match (exact_count, min_count) {
        (Some(n), None) => Ok(ExpectedCount::Exactly(n)),
        (None, n) => Ok(ExpectedCount::AtLeast(n.unwrap_or(1))),
        (Some(_), Some(_)) => Err(reader.error("count and least exclude each other")),
    }
}
