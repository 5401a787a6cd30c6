//! Simulated job arrivals of the two deployments.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use zinnia_types::Class;
use zinnia_types::DomainId;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Name;
use zinnia_types::NameError;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::Urgency;

pub(crate) const MINUTE: u64 = 60_000;
/// Start of the shift; jobs with a due time must be done by then.
pub(crate) const SHIFT_MS: u64 = 60 * MINUTE;
/// End of arrivals; the queue drains afterwards.
const ARRIVALS_MS: u64 = 80 * MINUTE;
/// Run time of services, longer than any simulation.
pub(crate) const SERVICE_RUN_MS: u64 = u64::MAX / 4;
/// Shares of the six teams. Their jobs arrive with other weights than their shares.
pub(crate) const SHARES: [u32; 6] = [30, 25, 20, 10, 10, 5];
const ARRIVAL_WEIGHTS: [f64; 6] = [0.40, 0.25, 0.10, 0.10, 0.10, 0.05];

/// A kind of job.
struct Kind {
    name: &'static str,
    /// Fraction of all jobs.
    fraction: f64,
    class: Class,
    urgency: Urgency,
    /// Minimum and maximum number of tasks.
    tasks: (u32, u32),
    cores: u64,
    /// Minimum and maximum number of accelerators per task.
    gpu: (u64, u64),
    /// Scale of the run times in seconds.
    run_s: f64,
    /// Whether the job must be done before the shift starts.
    due: bool,
}

/// A simulated deployment, as described on the design page.
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) cpu: Resources,
    /// Jobs per minute, normally and in the 40 minutes before the shift.
    rates: (f64, f64),
    kinds: &'static [Kind],
}

const BATCH_KIND: Kind = Kind {
    name: "",
    fraction: 0.0,
    class: Class::Batch,
    urgency: Urgency::Normal,
    tasks: (1, 1),
    cores: 4,
    gpu: (0, 0),
    run_s: 120.0,
    due: false,
};

pub(crate) const GPU_WORKER: Resources = Resources {
    cpu: 32_000,
    mem: 131_072,
    gpu: 8,
};

pub(crate) const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "coaster",
        cpu: Resources {
            cpu: 64_000,
            mem: 131_072,
            gpu: 0,
        },
        rates: (20.0, 60.0),
        kinds: &[
            Kind {
                name: "quote",
                fraction: 0.10,
                urgency: Urgency::Urgent,
                cores: 2,
                run_s: 20.0,
                ..BATCH_KIND
            },
            Kind {
                name: "proof",
                fraction: 0.25,
                cores: 2,
                run_s: 30.0,
                ..BATCH_KIND
            },
            Kind {
                name: "layout",
                fraction: 0.30,
                tasks: (1, 8),
                due: true,
                ..BATCH_KIND
            },
            Kind {
                name: "plates",
                fraction: 0.10,
                class: Class::Gang,
                tasks: (4, 12),
                cores: 8,
                due: true,
                ..BATCH_KIND
            },
            Kind {
                name: "render",
                fraction: 0.10,
                gpu: (1, 4),
                run_s: 240.0,
                ..BATCH_KIND
            },
            Kind {
                name: "archive",
                fraction: 0.15,
                tasks: (4, 4),
                run_s: 600.0,
                ..BATCH_KIND
            },
        ],
    },
    Deployment {
        name: "consortium",
        cpu: Resources {
            cpu: 32_000,
            mem: 65_536,
            gpu: 0,
        },
        rates: (20.0, 45.0),
        kinds: &[
            Kind {
                name: "scan",
                fraction: 0.15,
                urgency: Urgency::Urgent,
                cores: 1,
                run_s: 5.0,
                ..BATCH_KIND
            },
            Kind {
                name: "rounds",
                fraction: 0.25,
                class: Class::Gang,
                tasks: (4, 8),
                due: true,
                ..BATCH_KIND
            },
            Kind {
                name: "maps",
                fraction: 0.15,
                tasks: (1, 8),
                due: true,
                ..BATCH_KIND
            },
            Kind {
                name: "photo",
                fraction: 0.25,
                cores: 2,
                gpu: (1, 2),
                run_s: 60.0,
                ..BATCH_KIND
            },
            Kind {
                name: "report",
                fraction: 0.20,
                tasks: (4, 4),
                run_s: 300.0,
                ..BATCH_KIND
            },
        ],
    },
];

/// A job with its arrival time, actual run times and actual usage.
pub(crate) struct Arrival {
    pub(crate) at: u64,
    pub(crate) job: Job,
    pub(crate) run_ms: Vec<u64>,
    pub(crate) usage: Resources,
}

/// Generates one service for each team, and jobs that arrive more often before the shift, with
/// heavy-tailed run times and inaccurate declarations.
pub(crate) fn generate_arrivals(
    deployment: &Deployment,
    seed: u64,
) -> Result<Vec<Arrival>, NameError> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut list = Vec::new();
    let service = Kind {
        name: "watch",
        class: Class::Service,
        tasks: (8, 8),
        cores: 2,
        ..BATCH_KIND
    };
    for team in 0..SHARES.len() {
        list.push(generate_arrival(&service, &mut rng, 0, team, team)?);
    }
    let mut at = 0_f64;
    while at < ARRIVALS_MS as f64 {
        let minute = at / MINUTE as f64;
        let is_burst = (20.0..60.0).contains(&minute);
        let rate = if is_burst {
            deployment.rates.1
        } else {
            deployment.rates.0
        };
        at += -(1.0 - rng.random::<f64>()).ln() * MINUTE as f64 / rate;
        let team = pick_weighted(&mut rng, ARRIVAL_WEIGHTS.iter().copied());
        let kind = pick_weighted(&mut rng, deployment.kinds.iter().map(|k| k.fraction));
        let kind = &deployment.kinds[kind];
        list.push(generate_arrival(
            kind,
            &mut rng,
            at as u64,
            team,
            list.len(),
        )?);
    }
    Ok(list)
}

/// Draws an index with the given weights.
fn pick_weighted(rng: &mut SmallRng, weights: impl ExactSizeIterator<Item = f64>) -> usize {
    let mut left = rng.random::<f64>();
    let last = weights.len() - 1;
    for (n, weight) in weights.enumerate() {
        if left < weight {
            return n;
        }
        left -= weight;
    }
    last
}

fn generate_arrival(
    kind: &Kind,
    rng: &mut SmallRng,
    at: u64,
    team: usize,
    n: usize,
) -> Result<Arrival, NameError> {
    let id = TeamId::new(&format!("team{team}"))?;
    let tasks = rng.random_range(kind.tasks.0..=kind.tasks.1);
    let gpu = rng.random_range(kind.gpu.0..=kind.gpu.1);
    // Pareto distribution with index 1.6 (finite mean, infinite variance), cut off at one hour.
    let mut sample_run = || {
        let tail = (1.0 - rng.random::<f64>()).powf(-1.0 / 1.6);
        (kind.run_s * 0.4 * tail * 1e3).min(3.6e6) as u64
    };
    let mut run_ms: Vec<u64> = (0..tasks).map(|_| sample_run()).collect();
    if kind.class == Class::Service {
        run_ms.fill(SERVICE_RUN_MS);
    }
    // Declared run times are wrong by a factor of up to eight either way; actual CPU use is down to
    // a quarter of the declaration.
    let runtime_error = 2_f64.powf(rng.random_range(-3.0..3.0));
    let usage_fraction = 2_f64.powf(rng.random_range(-2.0..0.0));
    let need = Resources {
        cpu: kind.cores * 1_000,
        mem: kind.cores * 2_048,
        gpu,
    };
    let usage = Resources {
        cpu: (need.cpu as f64 * usage_fraction) as u64,
        mem: (need.mem as f64 * rng.random_range(0.3..1.0)) as u64,
        gpu,
    };
    let name = format!("{}{n}", kind.name);
    let job = Job {
        id: JobId::of(id, &name),
        team: id,
        name,
        kind: Name::new(kind.name)?,
        class: kind.class,
        urgency: kind.urgency,
        tasks,
        need,
        runtime_ms: (kind.run_s * runtime_error * 1e3) as u64,
        retries: 3,
        repeat: kind.urgency != Urgency::Urgent,
        due_ms: (kind.due && at < SHIFT_MS).then_some(SHIFT_MS as i64),
        accepted_ms: at as i64,
        pinned: false,
        domain: DomainId::new("d")?,
        payload: serde_json::Value::Null,
    };
    Ok(Arrival {
        at,
        job,
        run_ms,
        usage,
    })
}
