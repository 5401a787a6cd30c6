//! Acting owners that follow an escrow policy round by round; the tests bound what comes of it.

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

/// A demand over time: for each round the limit and what each domain wants to run.
pub(crate) struct Load {
    pub(crate) name: &'static str,
    pub(crate) rounds: u64,
    pub(crate) limit: fn(u64) -> u64,
    /// Demand of a domain in a round.
    pub(crate) demand: fn(u64, u64) -> u64,
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    /// For each change of the demand or the limit, the rounds until what fits ran, but for 3% of
    /// the limit, which idle domains keep.
    pub(crate) waits: Vec<u64>,
    /// Commands proposed.
    pub(crate) commands: u64,
    /// Commands refused by the log.
    pub(crate) refused: u64,
    /// Rounds in which a command was proposed, the last one.
    pub(crate) last: u64,
    /// Sum over all rounds of demand that would have fitted but did not run.
    pub(crate) unmet: u64,
    /// Sum over all rounds and domains of what ran below both the demand and the equal share.
    pub(crate) starved: u64,
}

pub(crate) const DOMAINS: u64 = 5;
pub(crate) const LIMIT: u64 = 10_000;
/// A change that was not met counts as this many rounds.
pub(crate) const NEVER: u64 = u64::MAX;

/// What the loads below cover.
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
    short: u64,
    peak: PeakDemand,
}

fn flat(n: u64) -> Resources {
    Resources {
        cpu: n,
        mem: n,
        gpu: 0,
    }
}

/// Runs a load under a policy; `None` if a name were not valid.
pub(crate) fn run(load: &Load, policy: &Policy) -> Option<Outcome> {
    let team = TeamId::new("ink").ok()?;
    let mut cell = Cell::default();
    let mut domains = setup(&mut cell)?;
    let mut outcome = Outcome::default();
    let mut version = 0;
    let mut state = (0, Vec::new());
    let mut changed = None;
    for round in 0..load.rounds {
        let limit = (load.limit)(round);
        let wants: Vec<u64> = (0..DOMAINS).map(|d| (load.demand)(round, d)).collect();
        if state != (limit, wants.clone()) {
            // A change that was not met before the next one counts as never met.
            outcome.waits.extend(changed.map(|_| NEVER));
            changed = Some(round);
            state = (limit, wants.clone());
        }
        if cell.limit(team) != flat(limit) {
            apply(&mut cell, &edit(team, limit, version));
            version += 1;
        }
        step(&cell, team, &mut domains, &wants);
        outcome.starved += starved(&domains, &wants, limit);
        let used: u64 = domains.iter().map(|d| d.used).sum();
        let fits = limit.min(wants.iter().sum());
        outcome.unmet += fits.saturating_sub(used);
        // Over a lowered limit the change is met once the excess has drained.
        let met = used <= fits && fits - used <= limit * 3 / 100;
        if met && let Some(since) = changed.take() {
            outcome.waits.push(round - since);
        }
        for reply in propose(&mut cell, team, &mut domains, &wants, policy) {
            outcome.commands += 1;
            outcome.last = round;
            outcome.refused += u64::from(matches!(reply, Reply::Refused(_)));
        }
    }
    outcome.waits.extend(changed.map(|_| NEVER));
    Some(outcome)
}

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
            },
        );
        domains.push(Domain {
            id,
            used: 0,
            short: 0,
            peak: PeakDemand::default(),
        });
    }
    Some(domains)
}

fn apply(cell: &mut Cell, command: &Command) -> Reply {
    cell.apply(cell.index() + 1, command)
}

fn edit(team: TeamId, limit: u64, from: u64) -> Command {
    let team = Team {
        name: team,
        share: 1,
        limit: flat(limit),
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

/// Starts and ends tasks. A quarter of what runs ends each round and is started again if there is
/// room, so that work over an allotment drains.
fn step(cell: &Cell, team: TeamId, domains: &mut [Domain], wants: &[u64]) {
    let settings = escrow::PolicySettings::default();
    let others = others(cell, team, domains);
    for (domain, &want) in domains.iter_mut().zip(wants) {
        let others = except(&others, domain.id);
        let keep =
            escrow::usable_amount(&domain.situation(cell, team, want, &others), &settings).cpu;
        let usable = keep.min(cell.usable_allotment(domain.id, team).cpu);
        let kept = domain.used - domain.used.div_ceil(4);
        domain.used = want.min(usable.max(kept));
        domain.short = want.saturating_sub(cell.allotment(domain.id, team).amount.cpu);
    }
}

fn starved(domains: &[Domain], wants: &[u64], limit: u64) -> u64 {
    let due = |want: u64| want.min(limit / DOMAINS);
    let each = domains.iter().zip(wants);
    each.map(|(d, &want)| due(want).saturating_sub(d.used))
        .sum()
}

/// What the domains know of each other.
fn others(cell: &Cell, team: TeamId, domains: &[Domain]) -> Vec<OtherDomain> {
    let other = |d: &Domain| OtherDomain {
        domain: d.id,
        allotment: cell.allotment(d.id, team).amount,
        shortage: flat(d.short),
    };
    domains.iter().map(other).collect()
}

fn except(all: &[OtherDomain], domain: DomainId) -> Vec<OtherDomain> {
    let others = all.iter().filter(|o| o.domain != domain);
    others.copied().collect()
}

impl Domain {
    fn situation<'a>(
        &self,
        cell: &Cell,
        team: TeamId,
        want: u64,
        others: &'a [OtherDomain],
    ) -> PolicyInput<'a> {
        PolicyInput {
            domain: self.id,
            limit: cell.limit(team),
            allotment: cell.allotment(self.id, team).amount,
            used: flat(self.used),
            queued: flat(want.saturating_sub(self.used)),
            peak_demand: Resources::ZERO,
            others,
        }
    }
}

/// All domains decide on the state as it was at the start of the round.
fn propose(
    cell: &mut Cell,
    team: TeamId,
    domains: &mut [Domain],
    wants: &[u64],
    policy: &Policy,
) -> Vec<Reply> {
    let all = others(cell, team, domains);
    let mut commands = Vec::new();
    for (n, (domain, &want)) in domains.iter_mut().zip(wants).enumerate() {
        let others = except(&all, domain.id);
        let situation = PolicyInput {
            peak_demand: domain.peak.observe(flat(want)),
            ..domain.situation(cell, team, want, &others)
        };
        let (domain, term) = (domain.id, n as u64 + 1);
        let from = cell.allotment(domain, team).log_index;
        commands.extend(policy(&situation).map(|decision| match decision {
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
