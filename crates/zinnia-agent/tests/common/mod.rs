//! Fixtures of the agent tests.

#![expect(clippy::unwrap_used, reason = "a failed fixture must stop the test")]

use serde_json::Value;
use zinnia_types::AttemptId;
use zinnia_types::Class;
use zinnia_types::DomainId;
use zinnia_types::Epoch;
use zinnia_types::JobId;
use zinnia_types::RackId;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::Urgency;
use zinnia_types::VmId;
use zinnia_types::WorkerId;
use zinnia_types::worker::AnnounceReply;
use zinnia_types::worker::Start;
use zinnia_types::worker::Task;
use zinnia_types::worker::WorkerProfile;

use zinnia_agent::Agent;
use zinnia_agent::Settings;

/// Resources of `cpu` thousandths of a core and as many MiB of memory.
pub(crate) fn cpu(cpu: u64) -> Resources {
    let mem = cpu;
    Resources { cpu, mem, gpu: 0 }
}

pub(crate) fn attempt(number: u32) -> AttemptId {
    AttemptId {
        job: JobId(7),
        task: 0,
        term: 1,
        number,
    }
}

pub(crate) fn start(epoch: Epoch, number: u32, need: Resources) -> Start {
    Start {
        epoch,
        attempt: attempt(number),
        task: Task {
            team: TeamId::new("press").unwrap(),
            class: Class::Batch,
            urgency: Urgency::Normal,
            repeat: true,
            need,
            service: None,
            payload: Value::Null,
        },
    }
}

/// Creates an agent of a worker with 4 cores that knows the VMs `a`, `b` and `c`.
pub(crate) fn agent(adjust: impl FnOnce(&mut Settings)) -> Agent {
    let mut settings = Settings::default();
    settings.search.vms = ["a", "b", "c"].map(str::to_owned).into();
    settings.search.jitter_ms = 0;
    settings.epoch_floor = Epoch(100);
    adjust(&mut settings);
    let profile = WorkerProfile {
        worker: WorkerId::new("w1").unwrap(),
        boot: 9,
        addr: "w".to_owned(),
        domain: DomainId::new("d1").unwrap(),
        rack: RackId::new("r1").unwrap(),
        capacity: cpu(4_000),
    };
    Agent::new(settings, profile)
}

pub(crate) fn accepted(refuse: Vec<AttemptId>) -> AnnounceReply {
    AnnounceReply::Accepted {
        owner: VmId(1),
        owner_ms: 10_000,
        task_ms: 30_000,
        vms: Vec::new(),
        refuse,
    }
}
