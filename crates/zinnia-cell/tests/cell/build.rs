//! Builders for commands, a script runner and re-exports that most tests use.

use serde_json::json;
pub(crate) use zinnia_cell::Cell;
pub(crate) use zinnia_cell::Command;
pub(crate) use zinnia_cell::Digest;
pub(crate) use zinnia_cell::KeyHash;
pub(crate) use zinnia_cell::KeyId;
pub(crate) use zinnia_cell::KeyRole;
pub(crate) use zinnia_cell::Refusal;
pub(crate) use zinnia_cell::Reply;
pub(crate) use zinnia_cell::Vm;
pub(crate) use zinnia_types::Class;
pub(crate) use zinnia_types::Document;
pub(crate) use zinnia_types::DomainId;
pub(crate) use zinnia_types::Job;
pub(crate) use zinnia_types::JobId;
pub(crate) use zinnia_types::Name;
pub(crate) use zinnia_types::Resources;
pub(crate) use zinnia_types::Team;
pub(crate) use zinnia_types::TeamId;
pub(crate) use zinnia_types::Urgency;
pub(crate) use zinnia_types::VmId;

/// A command and its expected reply.
pub(crate) struct Step {
    pub(crate) name: &'static str,
    pub(crate) command: Command,
    pub(crate) reply: Reply,
}

pub(crate) fn step(name: &'static str, command: Command, reply: Reply) -> Step {
    Step {
        name,
        command,
        reply,
    }
}

/// Applies a script, checks each reply and checks that a snapshot restores the final state.
pub(crate) fn run(cell: &mut Cell, script: Vec<Step>) {
    for Step {
        name,
        command,
        reply,
    } in script
    {
        let text = serde_json::to_string(&command).unwrap();
        let command: Command = serde_json::from_str(&text).unwrap();
        let index = cell.index() + 1;
        assert_eq!(cell.apply(index, &command), reply, "{name}");
    }
    assert_eq!(&restored(cell), cell);
}

/// Restores a new cell from a snapshot of `cell`.
pub(crate) fn restored(cell: &Cell) -> Cell {
    let mut restored = Cell::default();
    restored.restore(&cell.snapshot().unwrap()).unwrap();
    restored
}

/// Applies a command at the next log index.
pub(crate) fn apply(cell: &mut Cell, command: &Command) -> Reply {
    cell.apply(cell.index() + 1, command)
}

pub(crate) fn team(name: &str) -> TeamId {
    TeamId::new(name).unwrap()
}

pub(crate) fn domain(name: &str) -> DomainId {
    DomainId::new(name).unwrap()
}

pub(crate) fn key(id: &str) -> KeyId {
    id.parse().unwrap()
}

/// The same amount of CPU and memory.
pub(crate) fn cpu_and_mem(amount: u64) -> Resources {
    Resources {
        cpu: amount,
        mem: amount,
        gpu: 0,
    }
}

/// A document with the teams `ink` and `tap`, with these limits.
pub(crate) fn document(ink: u64, tap: u64) -> Document {
    let team_with_limit = |name: &str, limit: u64| Team {
        name: team(name),
        share: 1,
        limit: cpu_and_mem(limit),
        calls: 1,
    };
    Document {
        teams: vec![team_with_limit("ink", ink), team_with_limit("tap", tap)],
        ..Document::default()
    }
}

pub(crate) fn apply_document(request: &str, base_version: u64, document: &Document) -> Command {
    Command::ApplyDocument {
        request: request.to_owned(),
        from: base_version,
        document: document.clone(),
        at_ms: 1,
    }
}

pub(crate) fn grant_key(id: &str, text: &str, role: KeyRole) -> Command {
    Command::GrantKey {
        id: key(id),
        hash: KeyHash::of(text),
        role,
        request: "r".to_owned(),
    }
}

/// A VM with a disk.
pub(crate) fn vm(id: u64, domain_name: &str) -> Vm {
    Vm {
        id: VmId(id),
        name: Name::new(&format!("vm{id}")).unwrap(),
        domain: domain(domain_name),
        http: "127.0.0.1:1".to_owned(),
        peer: "127.0.0.1:2".to_owned(),
        disk: true,
    }
}

pub(crate) fn join_vm(id: u64, domain_name: &str) -> Command {
    Command::JoinVm {
        vm: vm(id, domain_name),
    }
}

pub(crate) fn set_owner(domain_name: &str, vm: u64, from_term: u64) -> Command {
    Command::SetOwner {
        domain: domain(domain_name),
        vm: VmId(vm),
        from_term,
        silent: Some(Vec::new()),
    }
}

/// A job with three tasks in domain `a`.
pub(crate) fn job(team_name: &str, name: &str) -> Job {
    Job {
        id: JobId::of(team(team_name), name),
        team: team(team_name),
        name: name.to_owned(),
        kind: Name::new("proof").unwrap(),
        class: Class::Batch,
        urgency: Urgency::Normal,
        tasks: 3,
        need: cpu_and_mem(1),
        runtime_ms: 1,
        retries: 2,
        repeat: false,
        due_ms: None,
        accepted_ms: 1,
        pinned: false,
        domain: domain("a"),
        // The default parser of `serde_json` reads this float with an error of one ULP.
        payload: json!({"ratio": 51.248_178_753_408_56}),
    }
}

pub(crate) fn accept_job(job: &Job, request: &str, key: Option<&str>) -> Command {
    Command::AcceptJob {
        job: Box::new(job.clone()),
        request: Digest::of(request.as_bytes()),
        key: key.map(self::key),
    }
}

/// A cell with the teams `ink` (limit 100) and `tap` (limit 50), and with two domains: `a` with VM
/// 1 as acting owner in term 1, and `b` with VM 2 in term 2.
pub(crate) fn cell() -> Cell {
    let mut cell = Cell::default();
    let commands = [
        apply_document("first", 0, &document(100, 50)),
        join_vm(1, "a"),
        join_vm(2, "b"),
        set_owner("a", 1, 0),
        set_owner("b", 2, 0),
    ];
    for command in &commands {
        let reply = apply(&mut cell, command);
        assert!(!matches!(reply, Reply::Refused(_)), "{reply:?}");
    }
    cell
}
