//! Deadlines of requests, on clocks and paths that are drawn from a seed.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use zinnia_control::LeaderClock;
use zinnia_control::LeaderTime;
use zinnia_types::Time;

const SEEDS: u64 = 2_000;
const REQUESTS: usize = 40;
/// Largest offset between two clocks, and largest delay of a message.
const MAX_OFFSET_MS: u64 = 100_000;
const MAX_DELAY_MS: u64 = 20_000;
/// Delay of a message on an undisturbed path.
const CALM_DELAY_MS: u64 = 5;
/// How long a request may be on its way in these tests.
const LIMIT_MS: u64 = 400;

/// The leader of a term, with its own clock.
#[derive(Clone, Copy)]
struct Leader {
    term: u64,
    offset: u64,
}

impl Leader {
    fn time(&self, now: u64) -> LeaderTime {
        LeaderTime {
            term: self.term,
            at: Time(now + self.offset),
        }
    }
}

fn delay(rng: &mut SmallRng) -> u64 {
    match rng.random_bool(0.3) {
        true => rng.random_range(0..MAX_DELAY_MS),
        false => rng.random_range(1..CALM_DELAY_MS),
    }
}

/// Guards against requests that are carried out after the process that sent them has given them up, over any
/// delay of the request or of a reading of the clock, for clocks with any offset, and after a change of the
/// leader. Also guards against requests on an undisturbed path that are held for late.
#[test]
fn requests_expire_on_time_on_every_clock() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let own_offset = rng.random_range(0..MAX_OFFSET_MS);
        let own = |now: u64| Time(now + own_offset);
        let mut leader = Leader {
            term: 1,
            offset: rng.random_range(0..MAX_OFFSET_MS),
        };
        let mut clock = LeaderClock::default();
        // Until when the latest reading was on its way, and for how long.
        let mut reading_delay = None;
        let mut now = 1_000;
        for _ in 0..REQUESTS {
            now += rng.random_range(0..3_000);
            if rng.random_bool(0.1) {
                leader = Leader {
                    term: leader.term + 1,
                    offset: rng.random_range(0..MAX_OFFSET_MS),
                };
                reading_delay = None;
            }
            if rng.random_bool(0.5) {
                let reading = leader.time(now);
                let took = delay(&mut rng);
                now += took;
                clock = LeaderClock::new(reading, own(now));
                reading_delay = Some(took);
            }
            let deadline = clock.deadline(own(now + LIMIT_MS));
            let took = delay(&mut rng);
            let is_allowed = deadline.allows(leader.time(now + took));
            assert!(
                !is_allowed || took < LIMIT_MS,
                "seed {seed}: carried out {took} ms after it was sent"
            );
            let is_calm = took < CALM_DELAY_MS && reading_delay.is_some_and(|d| d < CALM_DELAY_MS);
            assert!(
                is_allowed || !is_calm,
                "seed {seed}: expired on a path without a disturbance"
            );
        }
    }
}
