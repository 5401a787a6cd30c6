//! The two sample deployments of the demo.

use zinnia_types::Resources;

/// A sample deployment: the cell that the demo starts and the jobs that it submits.
pub(crate) struct Deployment {
    /// Name on the command line; also the name of the cell.
    pub(crate) name: &'static str,
    /// Document with teams, kinds of jobs and shifts, JSON with comments.
    pub(crate) document: &'static str,
    /// Failure domains, each with one VM.
    pub(crate) domains: [&'static str; 3],
    /// Capacity of a worker without accelerators.
    pub(crate) cpu_capacity: Resources,
    /// Capacity of a worker with accelerators.
    pub(crate) gpu_capacity: Resources,
    /// The two teams that submit jobs.
    pub(crate) teams: [&'static str; 2],
    /// Jobs that the teams submit.
    pub(crate) jobs: [DemoJob; 4],
}

/// One job of the demo.
pub(crate) struct DemoJob {
    /// Index of the team in [`Deployment::teams`].
    pub(crate) team_index: usize,
    /// Name of the job.
    pub(crate) name: &'static str,
    /// Kind of the job in the document.
    pub(crate) kind: &'static str,
    /// Placement rule that the job demonstrates.
    pub(crate) placement_rule: &'static str,
    /// Run time of each task in milliseconds; 0 for a service.
    pub(crate) run_ms: u64,
}

/// One GiB in MiB, the unit of memory amounts.
const GIB: u64 = 1_024;

const SERVICE_RULE: &str = "service: spread over racks";
const BATCH_RULE: &str = "batch: packed onto few workers";
const GANG_RULE: &str = "gang: all tasks start together or none";
const ACCELERATOR_RULE: &str = "needs accelerators";

const COASTER: Deployment = Deployment {
    name: "coaster",
    document: include_str!("../../../../deploy/coaster/document.jsonc"),
    domains: ["upanga", "kariakoo", "mbezi"],
    cpu_capacity: Resources {
        cpu: 64_000,
        mem: 128 * GIB,
        gpu: 0,
    },
    gpu_capacity: Resources {
        cpu: 32_000,
        mem: 128 * GIB,
        gpu: 8,
    },
    teams: ["kibo-brewery", "zanzibar-events"],
    jobs: [
        DemoJob {
            team_index: 0,
            name: "quotes",
            kind: "proof-quote",
            placement_rule: SERVICE_RULE,
            run_ms: 0,
        },
        DemoJob {
            team_index: 1,
            name: "layouts",
            kind: "press-layout",
            placement_rule: BATCH_RULE,
            run_ms: 800,
        },
        DemoJob {
            team_index: 0,
            name: "nesting",
            kind: "sheet-nesting",
            placement_rule: GANG_RULE,
            run_ms: 800,
        },
        DemoJob {
            team_index: 1,
            name: "renders",
            kind: "artwork-render",
            placement_rule: ACCELERATOR_RULE,
            run_ms: 800,
        },
    ],
};

const CONSORTIUM: Deployment = Deployment {
    name: "consortium",
    document: include_str!("../../../../deploy/consortium/document.jsonc"),
    domains: ["boa-vista", "casa-amarela", "pina"],
    cpu_capacity: Resources {
        cpu: 32_000,
        mem: 64 * GIB,
        gpu: 0,
    },
    gpu_capacity: Resources {
        cpu: 32_000,
        mem: 128 * GIB,
        gpu: 8,
    },
    teams: ["patas-do-recife", "plataforma"],
    jobs: [
        DemoJob {
            team_index: 0,
            name: "scans",
            kind: "scan-confirm",
            placement_rule: SERVICE_RULE,
            run_ms: 0,
        },
        DemoJob {
            team_index: 0,
            name: "evening",
            kind: "evening-plan",
            placement_rule: BATCH_RULE,
            run_ms: 800,
        },
        DemoJob {
            team_index: 0,
            name: "rounds",
            kind: "round-rebuild",
            placement_rule: GANG_RULE,
            run_ms: 800,
        },
        DemoJob {
            team_index: 1,
            name: "photos",
            kind: "photo-train",
            placement_rule: ACCELERATOR_RULE,
            run_ms: 800,
        },
    ],
};

impl Deployment {
    /// Returns the deployment called `name`.
    pub(crate) fn named(name: &str) -> Option<Self> {
        [COASTER, CONSORTIUM].into_iter().find(|d| d.name == name)
    }
}
