//! Load profiles of the two sample deployments, from which the arrivals of a run are generated.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;
use zinnia_types::Resources;

/// Shape parameter of the Pareto distribution of run times; below 2 the variance is infinite.
const PARETO_SHAPE: f64 = 1.5;
/// Maximum run time as a multiple of the minimum run time.
const MAX_RUNTIME_FACTOR: f64 = 50.0;
/// Factor by which the arrival rate rises during the burst, which imitates the rush before a shift.
const BURST_FACTOR: f64 = 4.0;
/// Start and end of the burst as fractions of the run.
const BURST_WINDOW: (f64, f64) = (0.6, 0.8);

/// Load profile of a sample deployment (section 1 of the design page).
pub(crate) struct LoadProfile {
    pub(crate) name: &'static str,
    /// Document with teams, kinds of jobs and shifts, JSON with comments.
    pub(crate) document: &'static str,
    /// Failure domains of a cell in this process.
    pub(crate) domains: [&'static str; 3],
    /// Capacity of a worker without accelerators.
    pub(crate) cpu_capacity: Resources,
    /// Capacity of a worker with accelerators.
    pub(crate) gpu_capacity: Resources,
    /// Teams with their percentage of the arrivals; most arrivals come from a few large teams.
    pub(crate) teams: [(&'static str, u32); 6],
    /// Job name of the service that is called, and its kind.
    pub(crate) service: (&'static str, &'static str),
    /// Kinds of jobs, each with its percentage of the submissions and its minimum run time in
    /// milliseconds.
    pub(crate) jobs: [(&'static str, u32, u64); 4],
    /// The kind among [`Self::jobs`] that is urgent in the document.
    pub(crate) urgent_kind: Option<&'static str>,
}

const COASTER: LoadProfile = LoadProfile {
    name: "coaster",
    document: include_str!("../../../../deploy/coaster/document.jsonc"),
    domains: ["upanga", "kariakoo", "mbezi"],
    cpu_capacity: Resources {
        cpu: 64_000,
        mem: 131_072,
        gpu: 0,
    },
    gpu_capacity: Resources {
        cpu: 32_000,
        mem: 131_072,
        gpu: 8,
    },
    teams: [
        ("kibo-brewery", 32),
        ("mawenzi-lager", 27),
        ("dar-bar-owners", 17),
        ("zanzibar-events", 11),
        ("arusha-taverns", 8),
        ("mwanza-events", 5),
    ],
    service: ("quotes", "proof-quote"),
    jobs: [
        ("price-run", 70, 20),
        ("press-layout", 10, 100),
        ("sheet-nesting", 10, 100),
        ("artwork-render", 10, 100),
    ],
    urgent_kind: Some("price-run"),
};

const CONSORTIUM: LoadProfile = LoadProfile {
    name: "consortium",
    document: include_str!("../../../../deploy/consortium/document.jsonc"),
    domains: ["boa-vista", "casa-amarela", "pina"],
    cpu_capacity: Resources {
        cpu: 32_000,
        mem: 65_536,
        gpu: 0,
    },
    gpu_capacity: Resources {
        cpu: 32_000,
        mem: 131_072,
        gpu: 8,
    },
    teams: [
        ("patas-do-recife", 30),
        ("capibaribe-limpo", 28),
        ("bicho-bom", 16),
        ("olinda-coletas", 12),
        ("plataforma", 9),
        ("prefeituras", 5),
    ],
    service: ("scans", "scan-confirm"),
    jobs: [
        ("round-invoice", 50, 20),
        ("share-report", 20, 50),
        ("evening-plan", 20, 100),
        ("round-rebuild", 10, 100),
    ],
    urgent_kind: None,
};

/// Request of an arrival.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    /// A service call whose body contains a text of `size` bytes.
    Call { size: usize },
    /// A job submission.
    Submit { body: Value },
}

/// A request with its scheduled send time.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    /// Scheduled send time, from the start of the run.
    pub(crate) send_at: Duration,
    /// Index of the team in [`LoadProfile::teams`].
    pub(crate) team_index: usize,
    pub(crate) request: Request,
}

impl LoadProfile {
    /// Returns the profile called `name`.
    pub(crate) fn named(name: &str) -> Option<Self> {
        [COASTER, CONSORTIUM].into_iter().find(|p| p.name == name)
    }

    /// Generates the arrivals of a run in the order of their send times; deterministic for a seed.
    ///
    /// `calls_rate` and `jobs_rate` are the rates of two Poisson processes, in arrivals a second
    /// outside the burst.
    pub(crate) fn arrivals(
        &self,
        duration: Duration,
        calls_rate: f64,
        jobs_rate: f64,
        seed: u64,
    ) -> Vec<Arrival> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for (rate, is_call) in [(calls_rate, true), (jobs_rate, false)] {
            if rate <= 0.0 {
                continue;
            }
            let mut time = 0.0;
            loop {
                // Thinning: arrivals are drawn at the burst rate, and some outside the burst are
                // dropped.
                time += -(1.0 - rng.random::<f64>()).ln() / (rate * BURST_FACTOR);
                let fraction = time / duration.as_secs_f64();
                if fraction >= 1.0 {
                    break;
                }
                let in_burst = fraction >= BURST_WINDOW.0 && fraction < BURST_WINDOW.1;
                if !in_burst && rng.random::<f64>() >= 1.0 / BURST_FACTOR {
                    continue;
                }
                let weights = self.teams.map(|(_, weight)| weight);
                let team_index = choose_weighted(&mut rng, &weights);
                let number = arrivals.len();
                let request = if is_call {
                    let size = 200 + rng.random_range(0..2_000);
                    Request::Call { size }
                } else {
                    self.submission(&mut rng, number, seed)
                };
                arrivals.push(Arrival {
                    send_at: Duration::from_secs_f64(time),
                    team_index,
                    request,
                });
            }
        }
        arrivals.sort_by_key(|a| a.send_at);
        arrivals
    }

    fn submission(&self, rng: &mut SmallRng, number: usize, seed: u64) -> Request {
        let weights = self.jobs.map(|(_, weight, _)| weight);
        let (kind, _, min_run_ms) = self.jobs[choose_weighted(rng, &weights)];
        let uniform = 1.0 - rng.random::<f64>();
        let run_ms = min_run_ms as f64 * uniform.powf(-1.0 / PARETO_SHAPE).min(MAX_RUNTIME_FACTOR);
        // Declared run times are wrong by up to a factor of four either way, declared memory by
        // two.
        let declared_ms = run_ms * 4_f64.powf(rng.random_range(-1.0..1.0));
        let used_percent = rng.random_range(50..200_u64);
        let body = json!({
            "name": format!("load-{seed}-{number}"),
            "kind": kind,
            "runtime_ms": (declared_ms as u64).max(1),
            "payload": {"run_ms": (run_ms as u64).max(1), "use_mem": 1024 * used_percent / 100},
        });
        Request::Submit { body }
    }
}

/// Returns a random index with probabilities proportional to `weights`.
fn choose_weighted(rng: &mut SmallRng, weights: &[u32]) -> usize {
    let total: u32 = weights.iter().sum();
    let mut remaining = rng.random_range(0..total.max(1));
    for (index, &weight) in weights.iter().enumerate() {
        if remaining < weight {
            return index;
        }
        remaining -= weight;
    }
    0
}
