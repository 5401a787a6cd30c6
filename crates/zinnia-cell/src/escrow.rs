//! Policies by which acting owners move parts of team limits between failure domains.
//!
//! As in the escrow method for distributed counters, each domain holds an allotment of every team
//! limit and starts tasks within it without asking the other domains. Allotments move through the
//! unallotted pool: one domain gives, another takes.
//!
//! Safety does not depend on this module, since the log refuses any take that would exceed a limit.
//! A policy only determines how well the allotments follow the demand.

use zinnia_types::DomainId;
use zinnia_types::Resources;

/// Input of a policy: what an acting owner knows about one team.
#[derive(Clone, Debug)]
pub struct PolicyInput<'a> {
    /// Domain for which the policy decides.
    pub domain: DomainId,
    /// Limit of the team in the document in force.
    pub limit: Resources,
    /// Allotment of the domain.
    pub allotment: Resources,
    /// Resources that the running tasks of the team use in the domain.
    pub used: Resources,
    /// Resources that the queued tasks of the team need in addition.
    pub queued: Resources,
    /// Highest recent demand, from [`PeakDemand::observe`].
    pub peak_demand: Resources,
    /// All other domains that have an acting owner.
    pub others: &'a [OtherDomain],
}

/// What an acting owner knows about another domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherDomain {
    /// The domain.
    pub domain: DomainId,
    /// Allotment of the other domain, from the log.
    pub allotment: Resources,
    /// Unmet demand, as last reported by its acting owner. The report may be outdated.
    pub shortage: Resources,
}

/// Decision of a policy: the transfer to propose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transfer {
    /// Propose [`Command::Take`](crate::Command::Take).
    Take(Resources),
    /// Propose [`Command::Give`](crate::Command::Give).
    Give(Resources),
}

/// Decides which transfer an acting owner proposes for one team, if any.
pub type Policy = Box<dyn Fn(&PolicyInput<'_>) -> Option<Transfer> + Send + Sync>;

/// Settings of [`demand_policy`], in thousandths of the equal share.
///
/// The equal share of a domain is the limit divided by the number of domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicySettings {
    /// Amount that a domain takes in addition to its demand.
    pub spare_permille: u64,
    /// Amount that an idle domain keeps even if the demand of other domains is unmet.
    pub floor_permille: u64,
    /// Smallest change that is proposed, except to cover unmet demand or to give back the excess
    /// over a lowered limit.
    pub step_permille: u64,
}

impl Default for PolicySettings {
    fn default() -> Self {
        // A spare of 1/8 lets short tasks start without a round trip. A step of 1/16 suppresses
        // transfers for small changes of demand. The floor lets an idle domain start tasks while it
        // is isolated, at the cost of up to 3% of the limit that a team may be unable to use.
        Self {
            spare_permille: 125,
            floor_permille: 30,
            step_permille: 62,
        }
    }
}

/// Number of rounds in the sliding window of [`PeakDemand`].
///
/// A longer window causes fewer transfers between domains with periodic load, a shorter one adapts
/// sooner to a lasting shift. `examples/cell_escrow` shows both effects.
pub const PEAK_ROUNDS: usize = 4;

/// Maximum demand of the last [`PEAK_ROUNDS`] rounds.
///
/// It keeps a domain from giving back resources between two bursts of short tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeakDemand {
    samples: [Resources; PEAK_ROUNDS],
    next: usize,
}

impl PeakDemand {
    /// Adds the demand of a round, running and queued tasks together, and returns the maximum.
    pub fn observe(&mut self, demand: Resources) -> Resources {
        if let Some(sample) = self.samples.get_mut(self.next) {
            *sample = demand;
        }
        self.next = (self.next + 1) % PEAK_ROUNDS;
        // Method syntax would resolve to `Ord::max`, which compares lexicographically instead of by
        // dimension.
        let samples = self.samples.iter();
        samples.fold(Resources::ZERO, |peak, sample| {
            Resources::elementwise_max(&peak, sample)
        })
    }
}

/// The part of the allotment that the scheduler may use: all of it except what the domain is about
/// to yield to domains with unmet demand below their equal share.
///
/// Without this bound a busy domain would never yield, since it refills freed resources at once. A
/// lowered limit is handled by [`Cell::usable_allotment`](crate::Cell::usable_allotment) instead;
/// the scheduler must respect both bounds.
pub fn usable_amount(input: &PolicyInput<'_>, settings: &PolicySettings) -> Resources {
    Resources {
        cpu: input.allotment.cpu - Dimension::of(input, |r| r.cpu).amount_to_yield(settings),
        mem: input.allotment.mem - Dimension::of(input, |r| r.mem).amount_to_yield(settings),
        gpu: input.allotment.gpu - Dimension::of(input, |r| r.gpu).amount_to_yield(settings),
    }
}

/// Policy that moves allotments to where the demand is.
pub fn demand_policy(settings: PolicySettings) -> Policy {
    Box::new(move |input| decide(input, |dimension| dimension.follow_demand(&settings)))
}

/// Baseline policy that allots an equal share to each domain, whatever the demand.
pub fn equal_split_policy() -> Policy {
    Box::new(|input| decide(input, Dimension::move_to_equal_share))
}

/// Decides each dimension separately. Gives take precedence over takes, since other domains wait
/// for them.
fn decide(
    input: &PolicyInput<'_>,
    decide_dimension: impl Fn(&Dimension) -> (u64, u64),
) -> Option<Transfer> {
    let cpu = decide_dimension(&Dimension::of(input, |r| r.cpu));
    let mem = decide_dimension(&Dimension::of(input, |r| r.mem));
    let gpu = decide_dimension(&Dimension::of(input, |r| r.gpu));
    let combine = |component: fn((u64, u64)) -> u64| Resources {
        cpu: component(cpu),
        mem: component(mem),
        gpu: component(gpu),
    };
    let take = combine(|amounts| amounts.0);
    let give = combine(|amounts| amounts.1);
    // While any dimension exceeds the limit, the log refuses every take.
    let total_allotted = input
        .others
        .iter()
        .fold(input.allotment, |sum, other| sum + other.allotment);
    if give != Resources::ZERO {
        Some(Transfer::Give(give))
    } else if take != Resources::ZERO && total_allotted.fits(&input.limit) {
        Some(Transfer::Take(take))
    } else {
        None
    }
}

/// One dimension of a [`PolicyInput`]: CPU, memory or GPU.
struct Dimension {
    limit: u64,
    allotted: u64,
    used: u64,
    demand: u64,
    peak_demand: u64,
    /// Allotment and unmet demand of each other domain.
    others: Vec<(u64, u64)>,
    /// Limit divided by the number of domains.
    equal_share: u64,
    /// Sum of the allotments of all domains.
    total_allotted: u64,
    /// Part of the limit that is not allotted to any domain.
    unallotted: u64,
}

/// `amount * numerator / denominator`, rounded down; 0 if `denominator` is 0.
fn mul_div(amount: u64, numerator: u64, denominator: u64) -> u64 {
    let scaled = u128::from(amount) * u128::from(numerator);
    let scaled = scaled.checked_div(u128::from(denominator)).unwrap_or(0);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

impl Dimension {
    fn of(input: &PolicyInput<'_>, dim: impl Fn(&Resources) -> u64) -> Self {
        let others: Vec<_> = input
            .others
            .iter()
            .map(|other| (dim(&other.allotment), dim(&other.shortage)))
            .collect();
        let limit = dim(&input.limit);
        let allotted = dim(&input.allotment);
        let used = dim(&input.used);
        let demand = used.saturating_add(dim(&input.queued));
        let total_allotted = others
            .iter()
            .fold(allotted, |sum, o| sum.saturating_add(o.0));
        Self {
            limit,
            allotted,
            used,
            demand,
            peak_demand: demand.max(dim(&input.peak_demand)),
            equal_share: limit / (others.len() as u64 + 1),
            others,
            total_allotted,
            unallotted: limit.saturating_sub(total_allotted),
        }
    }

    /// Allotted but unused amount.
    fn idle(&self) -> u64 {
        self.allotted.saturating_sub(self.used)
    }

    /// Amounts to take and to give so that the allotment follows the demand.
    fn follow_demand(&self, settings: &PolicySettings) -> (u64, u64) {
        let spare = mul_div(self.equal_share, settings.spare_permille, 1_000);
        let step = mul_div(self.equal_share, settings.step_permille, 1_000).max(1);
        let excess = self.total_allotted.saturating_sub(self.limit);
        if excess > 0 {
            // Rounding up removes the excess after a finite number of rounds.
            let part = mul_div(excess, self.allotted, self.total_allotted).saturating_add(1);
            return (0, self.idle().min(part));
        }
        let yielded = self.amount_to_yield(settings);
        if yielded > 0 {
            return (0, self.idle().min(yielded));
        }
        let others_shortage = self
            .others
            .iter()
            .fold(0, |n: u64, o| n.saturating_add(o.1));
        if self.demand > self.allotted {
            (self.amount_to_take(spare, others_shortage), 0)
        } else if others_shortage > self.unallotted {
            let floor = mul_div(self.equal_share, settings.floor_permille, 1_000);
            (0, self.surplus_to_give(floor, step, others_shortage))
        } else {
            self.restore_reserve(spare, step, others_shortage)
        }
    }

    /// The part of a shortage that lies below the equal share of a domain.
    fn shortage_below_share(&self, allotted: u64, shortage: u64) -> u64 {
        shortage.min(self.equal_share.saturating_sub(allotted))
    }

    /// Sum of the shortages of the other domains that lie below their equal shares.
    fn others_below_share(&self) -> u64 {
        let each = self
            .others
            .iter()
            .map(|o| self.shortage_below_share(o.0, o.1));
        each.fold(0, u64::saturating_add)
    }

    /// Amount above its equal share that the domain yields to domains with unmet demand below
    /// theirs.
    fn amount_to_yield(&self, settings: &PolicySettings) -> u64 {
        let above = self.allotted.saturating_sub(self.equal_share);
        let yielded = above.min(self.others_below_share().saturating_sub(self.unallotted));
        if yielded < mul_div(self.equal_share, settings.step_permille, 1_000) {
            0
        } else {
            yielded
        }
    }

    /// Amount that a domain with unmet demand takes. Shortages below the equal share are served
    /// first.
    fn amount_to_take(&self, spare: u64, others_shortage: u64) -> u64 {
        let shortage = self.demand - self.allotted;
        let first = self.shortage_below_share(self.allotted, shortage);
        let others_first = self.others_below_share();
        let all_first = first.saturating_add(others_first);
        let Some(rest) = self.unallotted.checked_sub(all_first) else {
            return mul_div(self.unallotted, first, all_first);
        };
        let second = shortage - first;
        let all_second = second.saturating_add(others_shortage.saturating_sub(others_first));
        let Some(rest) = rest.checked_sub(all_second) else {
            return first.saturating_add(mul_div(rest, second, all_second));
        };
        // All domains decide at the same time, so each takes at most an equal part of the rest.
        let rest = rest / (self.others.len() as u64 + 1);
        let extra = spare.max(self.equal_share.saturating_sub(self.demand));
        shortage + extra.min(rest)
    }

    /// Amount that a domain without unmet demand gives to domains whose shortage exceeds the
    /// unallotted amount.
    fn surplus_to_give(&self, floor: u64, step: u64, others_shortage: u64) -> u64 {
        let surplus = self.allotted.saturating_sub(self.peak_demand.max(floor));
        if surplus < step {
            return 0;
        }
        let givers = self.others.iter().filter(|o| o.1 == 0);
        let givers_allotted = givers.fold(self.allotted, |n, o| n.saturating_add(o.0));
        let part = mul_div(
            others_shortage - self.unallotted,
            self.allotted,
            givers_allotted,
        );
        surplus.min(part.max(step))
    }

    /// Amounts to take and to give so that a domain without unmet demand returns to its equal
    /// share, from which it can start tasks while it is isolated.
    fn restore_reserve(&self, spare: u64, step: u64, others_shortage: u64) -> (u64, u64) {
        let below_share = |allotted: u64| self.equal_share.saturating_sub(allotted);
        let others_below = self.others.iter().map(|o| below_share(o.0));
        let others_below = others_below.fold(0, u64::saturating_add);
        let free = self.unallotted - others_shortage;
        let own_below = below_share(self.allotted);
        if own_below > 0 {
            let all_below = own_below.saturating_add(others_below);
            let take = own_below.min(mul_div(free.min(all_below), own_below, all_below));
            return (if take >= step { take } else { 0 }, 0);
        }
        let keep = self.equal_share.max(self.peak_demand.saturating_add(spare));
        let over = self.allotted.saturating_sub(keep);
        let give = over.min(others_below.saturating_sub(free));
        (0, if give >= step { give } else { 0 })
    }

    /// Amounts to take and to give to reach the equal share.
    fn move_to_equal_share(&self) -> (u64, u64) {
        let take = self
            .equal_share
            .saturating_sub(self.allotted)
            .min(self.unallotted);
        let give = self
            .allotted
            .saturating_sub(self.equal_share)
            .min(self.idle());
        (take, give)
    }
}
