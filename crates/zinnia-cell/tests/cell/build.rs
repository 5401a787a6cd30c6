//! Short forms for commands, a runner for scripts and the types that most tests use.

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

/// One command and the reply that it must get.
pub(crate) struct Step {
    pub(crate) what: &'static str,
    pub(crate) command: Command,
    pub(crate) reply: Reply,
}

pub(crate) fn step(what: &'static str, command: Command, reply: Reply) -> Step {
    Step {
        what,
        command,
        reply,
    }
}

/// Applies a script and checks each reply; then checks that a snapshot restores the same state.
pub(crate) fn run(cell: &mut Cell, script: Vec<Step>) {
    for Step {
        what,
        command,
        reply,
    } in script
    {
        let text = serde_json::to_string(&command).unwrap();
        let command: Command = serde_json::from_str(&text).unwrap();
        let index = cell.index() + 1;
        assert_eq!(cell.apply(index, &command), reply, "{what}");
    }
    assert_eq!(&restored(cell), cell);
}

/// A new cell from a snapshot.
pub(crate) fn restored(cell: &Cell) -> Cell {
    let mut other = Cell::default();
    other.restore(&cell.snapshot().unwrap()).unwrap();
    other
}

/// Applies a command at the next index.
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

pub(crate) fn cores(n: u64) -> Resources {
    Resources {
        cpu: n,
        mem: n,
        gpu: 0,
    }
}

/// A document with teams `ink` and `tap` of these limits.
pub(crate) fn document(ink: u64, tap: u64) -> Document {
    let member = |name: &str, limit: u64| Team {
        name: team(name),
        share: 1,
        limit: cores(limit),
        calls: 1,
    };
    Document {
        teams: vec![member("ink", ink), member("tap", tap)],
        ..Document::default()
    }
}

pub(crate) fn edit(request: &str, from: u64, document: &Document) -> Command {
    Command::ApplyDocument {
        request: request.to_owned(),
        from,
        document: document.clone(),
        at_ms: 1,
    }
}

pub(crate) fn grant(id: &str, text: &str, role: KeyRole) -> Command {
    Command::GrantKey {
        id: key(id),
        hash: KeyHash::of(text),
        role,
        request: "r".to_owned(),
    }
}

/// A VM with a disk.
pub(crate) fn vm(id: u64, at: &str) -> Vm {
    Vm {
        id: VmId(id),
        name: Name::new(&format!("vm{id}")).unwrap(),
        domain: domain(at),
        http: "127.0.0.1:1".to_owned(),
        peer: "127.0.0.1:2".to_owned(),
        disk: true,
    }
}

pub(crate) fn join(id: u64, at: &str) -> Command {
    Command::JoinVm { vm: vm(id, at) }
}

pub(crate) fn own(at: &str, vm: u64, from_term: u64) -> Command {
    Command::SetOwner {
        domain: domain(at),
        vm: VmId(vm),
        from_term,
    }
}

/// A job of three tasks in domain `a`.
pub(crate) fn job(owner: &str, name: &str) -> Job {
    Job {
        id: JobId::of(team(owner), name),
        team: team(owner),
        name: name.to_owned(),
        kind: Name::new("proof").unwrap(),
        class: Class::Batch,
        urgency: Urgency::Normal,
        tasks: 3,
        need: cores(1),
        runtime_ms: 1,
        retries: 2,
        repeat: false,
        due_ms: None,
        accepted_ms: 1,
        pinned: false,
        domain: domain("a"),
        // A float whose shortest text a less exact parser reads with an error of one ULP.
        payload: json!({"ratio": 51.248_178_753_408_56}),
    }
}

pub(crate) fn accept(job: &Job, request: &str, key: Option<&str>) -> Command {
    Command::AcceptJob {
        job: Box::new(job.clone()),
        request: Digest::of(request.as_bytes()),
        key: key.map(self::key),
    }
}

/// A cell with teams `ink` (limit 100) and `tap` (limit 50), and the domains `a` with VM 1 as
/// acting owner in term 1 and `b` with VM 2 in term 2.
pub(crate) fn cell() -> Cell {
    let mut cell = Cell::default();
    let commands = [
        edit("first", 0, &document(100, 50)),
        join(1, "a"),
        join(2, "b"),
        own("a", 1, 0),
        own("b", 2, 0),
    ];
    for command in &commands {
        let reply = apply(&mut cell, command);
        assert!(!matches!(reply, Reply::Refused(_)), "{reply:?}");
    }
    cell
}
