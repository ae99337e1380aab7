//! A fleet of members that hear each other by chance, before servers that can do so much work and no more.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::*;
use crate::api::{Allowance, Budgets, ClassPriority, Member, RegionId, Timing};

const PERIOD: Millis = 200;
/// Worth, milliseconds of work, share of arrivals.
const CLASSES: [(f64, f64, f64); 3] = [(10.0, 40.0, 0.2), (3.0, 40.0, 0.5), (1.0, 80.0, 0.3)];
const BUDGETS: Budgets = Budgets { retries: 0.1, hedges: 0.05 };

fn config(me: u16, members: u16) -> Arc<Config> {
    let member = |n| Member {
        name: format!("s{n:04}"),
        address: ([127, 0, 0, 1], 9_000 + n).into(),
        region: RegionId(0),
        zone: String::new(),
    };
    Arc::new(Config {
        me: MemberId(me),
        members: (0..members).map(member).collect(),
        regions: vec![String::new()],
        classes: CLASSES
            .map(|(worth, _, _)| ClassPriority { priority_weight: worth, per_work_unit: false })
            .to_vec(),
        class_floor: 0.05,
        budgets: BUDGETS,
        timing: Timing::default(),
    })
}

struct Fleet {
    now: Millis,
    rng: Pcg64Mcg,
    members: Vec<Overload>,
    guidance: Vec<Guidance>,
    /// How much each has of the traffic, and how wrong it is on service times.
    shape: Vec<[f64; 2]>,
    said: Vec<Vec<Fact>>,
    /// Work a second that servers can do for each member.
    capacity: f64,
    /// Offered first tries a second by a member in the mean.
    rate: f64,
    /// The share of class 0 that has no server at all.
    lost_class: f64,
    /// Members that say the most absurd things.
    hostile: usize,
    /// What each may save: first sends earn, further ones spend, as the module's purse does.
    purses: Vec<f64>,
    refused_before: f64,
    // Of the last period:
    levels: Vec<f64>,
    served: [f64; 3],
    came: [f64; 3],
    first_tries: f64,
    retries: f64,
}

impl Fleet {
    fn new(members: u16, seed: u64) -> Fleet {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        Fleet {
            now: 1_000_000,
            members: (0..members).map(|me| Overload::new(config(me, members), 0)).collect(),
            guidance: vec![Guidance::default(); usize::from(members)],
            shape: (0..members).map(|_| [rng.random_range(0.4..1.6), rng.random_range(0.95..1.05)]).collect(),
            said: vec![Vec::new(); usize::from(members)],
            capacity: 50.0 * 52.0,
            rate: 50.0,
            lost_class: 0.0,
            hostile: 0,
            purses: vec![0.0; usize::from(members)],
            refused_before: 0.0,
            levels: vec![0.0; usize::from(members)],
            served: [0.0; 3],
            came: [0.0; 3],
            first_tries: 0.0,
            retries: 0.0,
            rng,
        }
    }

    /// A whole number with such a mean, by chance.
    fn drawn(&mut self, mean: f64) -> u32 {
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        (mean + normal * mean.sqrt() + self.rng.random::<f64>() - 0.5).round().max(0.0) as u32
    }

    /// One period: what came is let in by the level, or refused, or refused for lack of room; a tenth of the sends
    /// fails at first, and a half of what was refused comes again.
    fn period(&mut self, load: f64) {
        self.now += PERIOD;
        let seconds = PERIOD as f64 / 1_000.0;
        let count = self.members.len();
        let mut counts = vec![[ClassCounts::default(); 3]; count];
        let mut let_in = vec![[0_u32; 3]; count];
        let mut work = 0.0;
        for member in 0..count {
            for (class, (_, time, share)) in CLASSES.into_iter().enumerate() {
                let first = self.shape[member][0] * self.rate * load * share * seconds;
                let first_tries = self.drawn(first);
                let repeats = self.drawn(first * 0.5 * self.refused_before);
                let came = first_tries + repeats;
                let chance = self.guidance[member].admit.get(class).copied().unwrap_or(1.0);
                let_in[member][class] =
                    (0..came).filter(|_| self.rng.random::<f64>() < chance).count() as u32;
                let lost = if class == 0 { 1.0 - self.lost_class } else { 1.0 };
                work += f64::from(let_in[member][class]) * time * lost;
                let service_ms = time * self.shape[member][1];
                counts[member][class] = ClassCounts {
                    first_attempts: first_tries,
                    client_retries: repeats,
                    service_ms,
                    ..Default::default()
                };
            }
        }
        let busy = work / (self.capacity * count as f64 * seconds);
        let room = (1.0 / busy).min(1.0) - 0.02 * busy.min(1.0).powi(8);
        (self.served, self.came, self.first_tries, self.retries) = ([0.0; 3], [0.0; 3], 0.0, 0.0);
        let mut refused = 0.0;
        for (member, counts) in counts.iter_mut().enumerate() {
            for (class, counts) in counts.iter_mut().enumerate() {
                let in_here = let_in[member][class];
                let found = room * if class == 0 { 1.0 - self.lost_class } else { 1.0 };
                let served = (0..in_here).filter(|_| self.rng.random::<f64>() < found).count() as u32;
                (counts.served, counts.rejected) =
                    (served, counts.first_attempts + counts.client_retries - served);
                counts.in_flight = served / 4;
                // The module's purse: earn, and spend on the tenth that fails at first.
                if let Some(Allowance { share, burst }) = self.guidance[member].retries {
                    let purse = &mut self.purses[member];
                    *purse = (*purse + share * f64::from(counts.first_attempts)).min(f64::from(burst));
                    let failing = (0..in_here).filter(|_| self.rng.random::<f64>() < 0.3).count() as f64;
                    let spent = purse.floor().min(failing);
                    *purse -= spent;
                    (counts.retries, self.retries) = (spent as u32, self.retries + spent);
                }
                self.first_tries += f64::from(counts.first_attempts);
                self.served[class] += f64::from(served);
                self.came[class] += f64::from(counts.first_attempts + counts.client_retries);
                refused += f64::from(counts.rejected);
            }
        }
        self.refused_before = refused / self.came.iter().sum::<f64>().max(1.0);
        self.exchange(&counts);
    }

    /// Each hears eight others drawn at random, three in ten of what they say is lost, and decides.
    fn exchange(&mut self, counts: &[[ClassCounts; 3]]) {
        let count = self.members.len();
        let living: Vec<MemberId> = (0..count as u16).map(MemberId).collect();
        let before = self.said.clone();
        for (member, counts) in counts.iter().enumerate() {
            for _ in 0..8.min(count - 1) {
                let from = self.rng.random_range(0..count);
                for fact in &before[from] {
                    if self.rng.random::<f64>() < 0.7 {
                        self.members[member].handle_fact(self.now - PERIOD / 2, MemberId(from as u16), fact);
                    }
                }
            }
            self.said[member] = self.members[member].record_counts(self.now, counts);
            let (guidance, words) = self.members[member].decide(self.now, MemberId(member as u16), &living);
            self.said[member].extend(words);
            self.levels[member] = guidance.level;
            self.guidance[member] = guidance;
        }
        for member in 0..self.hostile {
            let lies = ClassCounts {
                first_attempts: u32::MAX,
                rejected: u32::MAX,
                in_flight: u32::MAX,
                ..Default::default()
            };
            let mut liar = OwnRates::default();
            liar.count(self.now, &[ClassCounts { service_ms: 1e9, ..lies }; 3], &[], 1);
            let word = LevelReport { level: 1.0, desired: 1.0, capacity: Some(0.01) };
            self.said[member] = liar.facts().into_iter().chain(level_fact(word)).collect();
        }
    }

    fn honest(&self) -> &[f64] {
        &self.levels[self.hostile..]
    }

    fn spread(&self) -> f64 {
        let most = self.honest().iter().copied().fold(0.0, f64::max);
        most - self.honest().iter().copied().fold(1.0, f64::min)
    }

    fn mean(&self) -> f64 {
        self.honest().iter().sum::<f64>() / self.honest().len() as f64
    }
}

#[test]
fn a_fleet_sheds_as_one_serves_the_dear_and_is_back_within_three_seconds() {
    for (members, load) in [(20_u16, 1.5), (20, 2.0), (300, 1.5), (300, 2.0)] {
        let mut fleet = Fleet::new(members, 7);
        (0..25).for_each(|_| fleet.period(0.7));
        assert_eq!(fleet.mean(), 0.0);
        let (mut served, mut came) = ([0.0; 3], [0.0; 3]);
        let (mut seconds, mut moved, mut before) = (Vec::new(), 0.0, 0.0);
        for step in 0..100 {
            fleet.period(load);
            seconds.push([fleet.retries, fleet.first_tries]);
            if step >= 40 {
                assert!(fleet.spread() < 0.02, "{members} {load}: {} apart at {step}", fleet.spread());
                moved += if step > 40 { f64::abs(fleet.mean() - before) } else { 0.0 };
                for class in 0..3 {
                    served[class] += fleet.served[class];
                    came[class] += fleet.came[class];
                }
            }
            before = fleet.mean();
        }
        // Up and down together in 12 s, less than a quarter of the level.
        assert!(moved < 0.25 * before, "{members} {load}: the level moved {moved}");
        let share: Vec<f64> = (0..3).map(|class| served[class] / came[class]).collect();
        assert!(
            share[0] > 0.9 && share[0] >= share[1] - 0.01 && share[2] < 0.1,
            "{members} {load}: {share:?}"
        );
        // Who sees everything fills the servers with the dearest.
        let mut room = fleet.capacity * f64::from(members) * 60.0 * PERIOD as f64 / 1_000.0;
        let best = CLASSES.iter().zip(came).map(|((worth, time, _), came)| {
            let serves = (room / time).min(came);
            room -= serves * time;
            serves * worth
        });
        let best: f64 = best.sum();
        let worth: f64 = CLASSES.iter().zip(served).map(|((worth, ..), served)| worth * served).sum();
        assert!(worth > 0.9 * best, "{members} {load}: {} of the best", worth / best);
        for second in seconds.windows(5) {
            let [retries, first_tries] =
                [0, 1].map(|which| second.iter().map(|period| period[which]).sum::<f64>());
            let most = BUDGETS.retries * first_tries + fleet_burst(usize::from(members)) as f64;
            assert!(retries <= most, "{retries} retries in a second for {first_tries} first tries");
        }
        let took = (1..=15).find(|_| {
            fleet.period(0.7);
            fleet.mean() == 0.0 && fleet.spread() == 0.0
        });
        assert!(took.is_some(), "{members} {load}: {:.3} after 3 s", fleet.mean());
        assert!(fleet.guidance.iter().all(|guidance| guidance.admit.is_empty()));
    }
}

#[test]
fn liars_move_the_level_no_further_than_their_share() {
    for (members, hostile) in [(20, 1), (100, 5)] {
        let [honest, lied_to] = [0, hostile].map(|hostile| {
            let mut fleet = Fleet::new(members, 11);
            fleet.hostile = hostile;
            (0..50).for_each(|_| fleet.period(0.7));
            assert_eq!(fleet.mean(), 0.0, "{hostile} of {members} make others shed");
            let levels = (0..100).map(|_| {
                fleet.period(1.5);
                fleet.mean()
            });
            levels.skip(50).sum::<f64>() / 50.0
        });
        assert!((honest - lied_to).abs() < 0.08, "{members}: {honest:.3} and {lied_to:.3}");
    }
}

#[test]
fn a_class_without_servers_does_not_make_others_stand_back() {
    let mut fleet = Fleet::new(30, 5);
    fleet.lost_class = 1.0;
    for _ in 0..100 {
        fleet.period(0.7);
        assert_eq!(fleet.mean(), 0.0);
    }
}

#[test]
fn a_member_alone_goes_back_to_itself_without_a_jump() {
    let mut fleet = Fleet::new(20, 3);
    (0..60).for_each(|_| fleet.period(1.8));
    let mut level = fleet.levels[0];
    assert!(
        level > 0.2
            && fleet.guidance[0].load_polls.is_some()
            && fleet.guidance[0].retry_after_range.is_some()
    );
    let living: Vec<MemberId> = (0..20).map(MemberId).collect();
    let until = fleet.now + ISOLATED_AFTER + 2_000;
    while fleet.now < until {
        fleet.now += PERIOD;
        fleet.members[0]
            .record_counts(fleet.now, &[ClassCounts { first_attempts: 9, ..Default::default() }; 3]);
        let (guidance, said) = fleet.members[0].decide(fleet.now, MemberId(0), &living);
        assert!((guidance.level - level).abs() <= 0.31, "{level} to {}", guidance.level);
        assert_eq!(said.len(), 1, "who comes back must be told");
        level = guidance.level;
        fleet.guidance[0] = guidance;
    }
    assert_eq!(fleet.guidance[0], Guidance::default());
    let mut other = Overload::new(config(3, 20), 0);
    assert_eq!(other.decide(200, MemberId(3), &living).0, Guidance::default());
}
