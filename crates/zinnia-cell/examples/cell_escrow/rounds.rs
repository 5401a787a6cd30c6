//! Simulation of acting owners that apply an allotment policy round by round. The tests check
//! bounds on its outcome.

use zinnia_cell::Cell;
use zinnia_cell::Command;
use zinnia_cell::Reply;
use zinnia_cell::Vm;
use zinnia_cell::escrow;
use zinnia_cell::escrow::OtherDomain;
use zinnia_cell::escrow::PeakDemand;
use zinnia_cell::escrow::Policy;
use zinnia_cell::escrow::PolicyInput;
use zinnia_cell::escrow::Transfer;
use zinnia_types::Document;
use zinnia_types::DomainId;
use zinnia_types::Name;
use zinnia_types::Resources;
use zinnia_types::Team;
use zinnia_types::TeamId;
use zinnia_types::VmId;

/// A load: the limit and the demand of each domain as functions of the round.
pub(crate) struct Load {
    pub(crate) name: &'static str,
    pub(crate) rounds: u64,
    /// Limit in a round.
    pub(crate) limit: fn(u64) -> u64,
    /// Demand in a round (first argument) of a domain (second argument).
    pub(crate) demand: fn(u64, u64) -> u64,
}

/// Outcome of a load under a policy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    /// For each change of the demand or the limit, the rounds until the demand that fits is served,
    /// except for 3% of the limit that idle domains keep.
    pub(crate) waits: Vec<u64>,
    /// Number of proposed commands.
    pub(crate) commands: u64,
    /// Number of commands that the log refused.
    pub(crate) refused: u64,
    /// Last round in which a command was proposed.
    pub(crate) last_round: u64,
    /// Demand that fits within the limit but was not served, summed over all rounds.
    pub(crate) unmet: u64,
    /// Usage missing up to the smaller of demand and equal share, summed over all rounds and
    /// domains.
    pub(crate) starved: u64,
}

pub(crate) const DOMAINS: u64 = 5;
pub(crate) const LIMIT: u64 = 10_000;
/// Entry in [`Outcome::waits`] for a change that was not met before the next one.
pub(crate) const NEVER: u64 = u64::MAX;

/// All simulated loads.
pub(crate) fn loads() -> Vec<Load> {
    const EQUAL: u64 = LIMIT / DOMAINS;
    vec![
        Load {
            name: "even demand",
            rounds: 60,
            limit: |_| LIMIT,
            demand: |_, _| EQUAL * 3 / 4,
        },
        Load {
            name: "shift to the next domain",
            rounds: 200,
            limit: |_| LIMIT,
            demand: |round, domain| {
                let busy = round / 40 % DOMAINS == domain;
                if busy { LIMIT * 6 / 10 } else { EQUAL / 4 }
            },
        },
        Load {
            name: "short waves",
            rounds: 200,
            limit: |_| LIMIT,
            demand: |round, domain| {
                let high = (round + domain) / 3 % 2 == 0;
                if high { EQUAL * 6 / 5 } else { EQUAL / 5 }
            },
        },
        Load {
            name: "small changes",
            rounds: 200,
            limit: |_| LIMIT,
            demand: |round, domain| EQUAL * 9 / 10 + (round * 7 + domain * 3) % 11 * EQUAL / 200,
        },
        Load {
            name: "more than the limit",
            rounds: 120,
            limit: |_| LIMIT,
            demand: |round, domain| {
                if domain == 0 {
                    LIMIT
                } else {
                    EQUAL * (round / 60)
                }
            },
        },
        Load {
            name: "lowered limit",
            rounds: 120,
            limit: |round| if round < 40 { LIMIT } else { LIMIT / 2 },
            demand: |_, domain| if domain < 2 { LIMIT * 4 / 10 } else { 0 },
        },
    ]
}

struct Domain {
    id: DomainId,
    used: u64,
    shortage: u64,
    peak_demand: PeakDemand,
}

/// The same amount of CPU and memory.
fn cpu_and_mem(amount: u64) -> Resources {
    Resources {
        cpu: amount,
        mem: amount,
        gpu: 0,
    }
}

/// Simulates a load under a policy. `None` if a name is invalid, which does not occur.
pub(crate) fn run(load: &Load, policy: &Policy) -> Option<Outcome> {
    let team = TeamId::new("ink").ok()?;
    let mut cell = Cell::default();
    let mut domains = setup(&mut cell)?;
    let mut outcome = Outcome::default();
    let mut version = 0;
    let mut last_load = (0, Vec::new());
    let mut changed_at = None;
    for round in 0..load.rounds {
        let limit = (load.limit)(round);
        let demands: Vec<u64> = (0..DOMAINS).map(|d| (load.demand)(round, d)).collect();
        if last_load != (limit, demands.clone()) {
            // A change that is not met before the next one counts as never met.
            outcome.waits.extend(changed_at.map(|_| NEVER));
            changed_at = Some(round);
            last_load = (limit, demands.clone());
        }
        if cell.limit(team) != cpu_and_mem(limit) {
            apply(&mut cell, &set_limit(team, limit, version));
            version += 1;
        }
        run_tasks(&cell, team, &mut domains, &demands);
        outcome.starved += starved(&domains, &demands, limit);
        let used: u64 = domains.iter().map(|d| d.used).sum();
        let fits = limit.min(demands.iter().sum());
        outcome.unmet += fits.saturating_sub(used);
        // A lowered limit is met once the usage above it has drained.
        let met = used <= fits && fits - used <= limit * 3 / 100;
        if met && let Some(since) = changed_at.take() {
            outcome.waits.push(round - since);
        }
        for reply in propose(&mut cell, team, &mut domains, &demands, policy) {
            outcome.commands += 1;
            outcome.last_round = round;
            outcome.refused += u64::from(matches!(reply, Reply::Refused(_)));
        }
    }
    outcome.waits.extend(changed_at.map(|_| NEVER));
    Some(outcome)
}

/// Adds a VM per domain and makes it the acting owner.
fn setup(cell: &mut Cell) -> Option<Vec<Domain>> {
    let mut domains = Vec::new();
    for n in 0..DOMAINS {
        let id = DomainId::new(&format!("d{n}")).ok()?;
        let vm = Vm {
            id: VmId(n),
            name: Name::new(&format!("vm{n}")).ok()?,
            domain: id,
            http: "127.0.0.1:1".to_owned(),
            peer: "127.0.0.1:2".to_owned(),
            disk: true,
        };
        apply(cell, &Command::JoinVm { vm });
        apply(
            cell,
            &Command::SetOwner {
                domain: id,
                vm: VmId(n),
                from_term: 0,
                silent: Some(Vec::new()),
            },
        );
        domains.push(Domain {
            id,
            used: 0,
            shortage: 0,
            peak_demand: PeakDemand::default(),
        });
    }
    Some(domains)
}

fn apply(cell: &mut Cell, command: &Command) -> Reply {
    cell.apply(cell.index() + 1, command)
}

fn set_limit(team: TeamId, limit: u64, from: u64) -> Command {
    let team = Team {
        name: team,
        share: 1,
        limit: cpu_and_mem(limit),
        calls: 1,
    };
    Command::ApplyDocument {
        request: format!("r{from}"),
        from,
        document: Document {
            teams: vec![team],
            ..Document::default()
        },
        at_ms: 1,
    }
}

/// Ends and starts tasks. A quarter of the usage ends in each round and is started again if the
/// allotment permits, so that usage above an allotment drains.
fn run_tasks(cell: &Cell, team: TeamId, domains: &mut [Domain], demands: &[u64]) {
    let settings = escrow::PolicySettings::default();
    let others = others(cell, team, domains);
    for (domain, &demand) in domains.iter_mut().zip(demands) {
        let others = all_except(&others, domain.id);
        let unyielded =
            escrow::usable_amount(&domain.policy_input(cell, team, demand, &others), &settings).cpu;
        let usable = unyielded.min(cell.usable_allotment(domain.id, team).cpu);
        let continuing = domain.used - domain.used.div_ceil(4);
        domain.used = demand.min(usable.max(continuing));
        domain.shortage = demand.saturating_sub(cell.allotment(domain.id, team).amount.cpu);
    }
}

/// Usage missing up to the smaller of demand and equal share, over all domains.
fn starved(domains: &[Domain], demands: &[u64], limit: u64) -> u64 {
    let entitled = |demand: u64| demand.min(limit / DOMAINS);
    let each = domains.iter().zip(demands);
    each.map(|(d, &demand)| entitled(demand).saturating_sub(d.used))
        .sum()
}

/// All domains as the others see them.
fn others(cell: &Cell, team: TeamId, domains: &[Domain]) -> Vec<OtherDomain> {
    let other = |d: &Domain| OtherDomain {
        domain: d.id,
        allotment: cell.allotment(d.id, team).amount,
        shortage: cpu_and_mem(d.shortage),
    };
    domains.iter().map(other).collect()
}

fn all_except(all: &[OtherDomain], domain: DomainId) -> Vec<OtherDomain> {
    let others = all.iter().filter(|o| o.domain != domain);
    others.copied().collect()
}

impl Domain {
    /// Policy input without a peak demand.
    fn policy_input<'a>(
        &self,
        cell: &Cell,
        team: TeamId,
        demand: u64,
        others: &'a [OtherDomain],
    ) -> PolicyInput<'a> {
        PolicyInput {
            domain: self.id,
            limit: cell.limit(team),
            allotment: cell.allotment(self.id, team).amount,
            used: cpu_and_mem(self.used),
            queued: cpu_and_mem(demand.saturating_sub(self.used)),
            peak_demand: Resources::ZERO,
            others,
        }
    }
}

/// Lets all domains decide on the state at the start of the round, then applies their commands.
fn propose(
    cell: &mut Cell,
    team: TeamId,
    domains: &mut [Domain],
    demands: &[u64],
    policy: &Policy,
) -> Vec<Reply> {
    let all = others(cell, team, domains);
    let mut commands = Vec::new();
    for (n, (domain, &demand)) in domains.iter_mut().zip(demands).enumerate() {
        let others = all_except(&all, domain.id);
        let input = PolicyInput {
            peak_demand: domain.peak_demand.observe(cpu_and_mem(demand)),
            ..domain.policy_input(cell, team, demand, &others)
        };
        let (domain, term) = (domain.id, n as u64 + 1);
        let from = cell.allotment(domain, team).log_index;
        commands.extend(policy(&input).map(|transfer| match transfer {
            Transfer::Take(amount) => Command::Take {
                domain,
                team,
                amount,
                term,
                from,
            },
            Transfer::Give(amount) => Command::Give {
                domain,
                team,
                amount,
                term,
                from,
            },
        }));
    }
    commands
        .iter()
        .map(|command| apply(cell, command))
        .collect()
}
