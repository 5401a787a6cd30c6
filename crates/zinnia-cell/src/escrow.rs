//! How an acting owner decides which parts of team limits to take and to give.
//!
//! Safety does not depend on anything here: the log refuses what would exceed a limit. Policies
//! only decide how well the allotments follow the demand.

use zinnia_types::DomainId;
use zinnia_types::Resources;

/// What an acting owner knows about one team when it decides.
#[derive(Clone, Debug)]
pub struct PolicyInput<'a> {
    /// The domain it acts for.
    pub domain: DomainId,
    /// Limit of the team in the document.
    pub limit: Resources,
    /// What the domain holds.
    pub allotment: Resources,
    /// What the team's running tasks use in the domain.
    pub used: Resources,
    /// What the team's queued tasks need in addition.
    pub queued: Resources,
    /// Highest recent demand, from [`PeakDemand`].
    pub peak_demand: Resources,
    /// The other domains that have an acting owner.
    pub others: &'a [OtherDomain],
}

/// Another domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherDomain {
    /// The domain.
    pub domain: DomainId,
    /// What it holds, from the log.
    pub allotment: Resources,
    /// How much more it needs, as last heard from its acting owner; a hint that may be old.
    pub shortage: Resources,
}

/// What to propose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transfer {
    /// Propose [`Command::Take`](crate::Command::Take).
    Take(Resources),
    /// Propose [`Command::Give`](crate::Command::Give).
    Give(Resources),
}

/// Decides what an acting owner proposes for one team.
pub type Policy = Box<dyn Fn(&PolicyInput<'_>) -> Option<Transfer> + Send + Sync>;

/// Settings of the policy that follows demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicySettings {
    /// Part in thousandths of its equal share that a domain takes beyond its demand.
    pub spare: u64,
    /// Part in thousandths of its equal share that a domain keeps even when it is idle and others
    /// are short.
    pub floor: u64,
    /// Smallest change in thousandths of the equal share, except for a domain that is short and to
    /// drain a lowered limit.
    pub step: u64,
}

impl Default for PolicySettings {
    fn default() -> Self {
        // A spare of an eighth lets short tasks start without a round trip; a step of a sixteenth
        // keeps small changes of demand from moving anything. The floor lets an idle domain start
        // something while it is isolated; in return a team may be unable to use 3% of its limit.
        Self {
            spare: 125,
            floor: 30,
            step: 62,
        }
    }
}

/// Rounds for which [`PeakDemand`] remembers a demand.
///
/// A longer memory moves less between domains whose load comes in waves, a shorter one follows a
/// lasting shift sooner; `examples/cell_escrow` shows both.
pub const PEAK_ROUNDS: usize = 4;

/// Highest demand of the last [`PEAK_ROUNDS`] rounds.
///
/// It keeps a domain from giving away between two waves of short tasks what the next wave needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeakDemand {
    readings: [Resources; PEAK_ROUNDS],
    next: usize,
}

impl PeakDemand {
    /// Adds a reading of used + wanted, once a round, and returns the peak.
    pub fn observe(&mut self, demand: Resources) -> Resources {
        if let Some(reading) = self.readings.get_mut(self.next) {
            *reading = demand;
        }
        self.next = (self.next + 1) % PEAK_ROUNDS;
        // Method syntax would pick `Ord::max`, which compares whole amounts.
        let readings = self.readings.iter();
        readings.fold(Resources::ZERO, |peak, r| Resources::max(&peak, r))
    }
}

/// What the acting owner lets the team's tasks use now: what the domain holds, less what it is
/// about to yield to domains that are short and below their equal share.
///
/// Without this a busy domain would never yield, since it fills each freed place at once. A lowered
/// limit is not considered here but in [`Cell::usable_allotment`](crate::Cell::usable_allotment); the smaller of
/// both counts.
pub fn usable_amount(s: &PolicyInput<'_>, settings: &PolicySettings) -> Resources {
    Resources {
        cpu: s.allotment.cpu - Axis::of(s, |r| r.cpu).yielded(settings),
        mem: s.allotment.mem - Axis::of(s, |r| r.mem).yielded(settings),
        gpu: s.allotment.gpu - Axis::of(s, |r| r.gpu).yielded(settings),
    }
}

/// The policy that follows demand.
pub fn demand_policy(settings: PolicySettings) -> Policy {
    Box::new(move |s| decide(s, |axis| axis.follow(&settings)))
}

/// The baseline: each domain holds an equal part, whatever the demand.
pub fn equal_split_policy() -> Policy {
    Box::new(|s| decide(s, Axis::level))
}

/// Decides each dimension by itself; gifts go first, since others wait for them.
fn decide(s: &PolicyInput<'_>, rule: impl Fn(&Axis) -> (u64, u64)) -> Option<Transfer> {
    let cpu = rule(&Axis::of(s, |r| r.cpu));
    let mem = rule(&Axis::of(s, |r| r.mem));
    let gpu = rule(&Axis::of(s, |r| r.gpu));
    let pick = |part: fn((u64, u64)) -> u64| Resources {
        cpu: part(cpu),
        mem: part(mem),
        gpu: part(gpu),
    };
    let take = pick(|m| m.0);
    let give = pick(|m| m.1);
    // The log refuses every take while the limit is exceeded in any dimension.
    let sum = s
        .others
        .iter()
        .fold(s.allotment, |sum, o| sum + o.allotment);
    if give != Resources::ZERO {
        Some(Transfer::Give(give))
    } else if take != Resources::ZERO && sum.fits(&s.limit) {
        Some(Transfer::Take(take))
    } else {
        None
    }
}

/// One dimension of a situation.
struct Axis {
    limit: u64,
    held: u64,
    used: u64,
    need: u64,
    peak: u64,
    /// What the other domains hold and by how much each is short.
    others: Vec<(u64, u64)>,
    /// Equal part of the limit.
    equal: u64,
    /// What all domains hold.
    sum: u64,
    /// What no domain holds.
    pool: u64,
}

/// `amount * part / whole`, rounded down; 0 when `whole` is 0.
fn portion(amount: u64, part: u64, whole: u64) -> u64 {
    let scaled = u128::from(amount) * u128::from(part);
    let scaled = scaled.checked_div(u128::from(whole)).unwrap_or(0);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

impl Axis {
    fn of(s: &PolicyInput<'_>, dim: impl Fn(&Resources) -> u64) -> Self {
        let others: Vec<_> = s
            .others
            .iter()
            .map(|o| (dim(&o.allotment), dim(&o.shortage)))
            .collect();
        let limit = dim(&s.limit);
        let held = dim(&s.allotment);
        let used = dim(&s.used);
        let need = used.saturating_add(dim(&s.queued));
        let sum = others.iter().fold(held, |sum, o| sum.saturating_add(o.0));
        Self {
            limit,
            held,
            used,
            need,
            peak: need.max(dim(&s.peak_demand)),
            equal: limit / (others.len() as u64 + 1),
            others,
            sum,
            pool: limit.saturating_sub(sum),
        }
    }

    fn idle(&self) -> u64 {
        self.held.saturating_sub(self.used)
    }

    /// How much to take and how much to give when following demand.
    fn follow(&self, settings: &PolicySettings) -> (u64, u64) {
        let spare = portion(self.equal, settings.spare, 1_000);
        let step = portion(self.equal, settings.step, 1_000).max(1);
        let excess = self.sum.saturating_sub(self.limit);
        if excess > 0 {
            // Rounded up, so that the excess is gone after a finite number of rounds.
            let part = portion(excess, self.held, self.sum).saturating_add(1);
            return (0, self.idle().min(part));
        }
        let yielded = self.yielded(settings);
        if yielded > 0 {
            return (0, self.idle().min(yielded));
        }
        let others_short = self
            .others
            .iter()
            .fold(0, |n: u64, o| n.saturating_add(o.1));
        if self.need > self.held {
            (self.when_short(spare, others_short), 0)
        } else if others_short > self.pool {
            let floor = portion(self.equal, settings.floor, 1_000);
            (0, self.surplus(floor, step, others_short))
        } else {
            self.reserve(spare, step, others_short)
        }
    }

    /// How much of its shortage a domain needs to come up to its equal share.
    fn first(&self, held: u64, short: u64) -> u64 {
        short.min(self.equal.saturating_sub(held))
    }

    /// What the others need to come up to their equal shares.
    fn waiting(&self) -> u64 {
        let each = self.others.iter().map(|o| self.first(o.0, o.1));
        each.fold(0, u64::saturating_add)
    }

    /// What a domain above its equal share yields to those that are short and below theirs.
    fn yielded(&self, settings: &PolicySettings) -> u64 {
        let above = self.held.saturating_sub(self.equal);
        let yielded = above.min(self.waiting().saturating_sub(self.pool));
        if yielded < portion(self.equal, settings.step, 1_000) {
            0
        } else {
            yielded
        }
    }

    /// What a domain that is short takes. Domains below their equal shares are served first.
    fn when_short(&self, spare: u64, others_short: u64) -> u64 {
        let short = self.need - self.held;
        let first = self.first(self.held, short);
        let waiting = self.waiting();
        let firsts = first.saturating_add(waiting);
        let Some(rest) = self.pool.checked_sub(firsts) else {
            return portion(self.pool, first, firsts);
        };
        let second = short - first;
        let seconds = second.saturating_add(others_short.saturating_sub(waiting));
        let Some(rest) = rest.checked_sub(seconds) else {
            return first.saturating_add(portion(rest, second, seconds));
        };
        // All domains decide at the same time, so each counts on its part of the rest only.
        let rest = rest / (self.others.len() as u64 + 1);
        let extra = spare.max(self.equal.saturating_sub(self.need));
        short + extra.min(rest)
    }

    /// What a domain that is not short gives to others that the pool cannot serve.
    fn surplus(&self, floor: u64, step: u64, others_short: u64) -> u64 {
        let surplus = self.held.saturating_sub(self.peak.max(floor));
        if surplus < step {
            return 0;
        }
        let givers = self.others.iter().filter(|o| o.1 == 0);
        let givers = givers.fold(self.held, |n, o| n.saturating_add(o.0));
        let part = portion(others_short - self.pool, self.held, givers);
        surplus.min(part.max(step))
    }

    /// How domains that are not short come back to their equal shares, which lets them start work
    /// while they are isolated.
    fn reserve(&self, spare: u64, step: u64, others_short: u64) -> (u64, u64) {
        let lacks = |held: u64| self.equal.saturating_sub(held);
        let others_lack = self.others.iter().map(|o| lacks(o.0));
        let others_lack = others_lack.fold(0, u64::saturating_add);
        let free = self.pool - others_short;
        let lack = lacks(self.held);
        if lack > 0 {
            let all = lack.saturating_add(others_lack);
            let take = lack.min(portion(free.min(all), lack, all));
            return (if take >= step { take } else { 0 }, 0);
        }
        let keep = self.equal.max(self.peak.saturating_add(spare));
        let over = self.held.saturating_sub(keep);
        let give = over.min(others_lack.saturating_sub(free));
        (0, if give >= step { give } else { 0 })
    }

    /// How much to take and how much to give to come to the equal part.
    fn level(&self) -> (u64, u64) {
        let take = self.equal.saturating_sub(self.held).min(self.pool);
        let give = self.held.saturating_sub(self.equal).min(self.idle());
        (take, give)
    }
}
