//! Tests of the overload control in a simulated cluster: the members gossip at random and send requests to
//! servers of limited capacity.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::*;
use crate::api::{Allowance, Budgets, ClassPriority, Member, RegionId, Timing};

const PERIOD: Millis = 200;
/// The priority weight, the work in milliseconds and the fraction of arrivals of each class.
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
            .map(|(weight, _, _)| ClassPriority { priority_weight: weight, per_work_unit: false })
            .to_vec(),
        class_floor: 0.05,
        budgets: BUDGETS,
        timing: Timing::default(),
    })
}

/// A simulated cluster with its clients and servers.
struct SimulatedCluster {
    now: Millis,
    rng: Pcg64Mcg,
    members: Vec<Overload>,
    guidance: Vec<Guidance>,
    /// For each member, the factor on its traffic and the error factor of its service times.
    member_factors: Vec<[f64; 2]>,
    /// The facts that each member published in the last period.
    published: Vec<Vec<Fact>>,
    /// The capacity of the servers per member, in milliseconds of work per second.
    capacity: f64,
    /// The mean number of first attempts per second and member at a load of 1.
    first_attempts_per_s: f64,
    /// The fraction of class 0 that no server can serve.
    unserved_fraction: f64,
    /// The number of members, counted from the first, that publish absurd figures and shedding levels.
    hostile: usize,
    /// The retry budget of each member: first attempts add to it and retries are taken from it, as in the
    /// module.
    retry_budgets: Vec<f64>,
    /// The fraction of the last period's requests that were rejected.
    rejected_fraction: f64,
    // Results of the last period:
    levels: Vec<f64>,
    served: [f64; 3],
    arrived: [f64; 3],
    first_attempts: f64,
    retries: f64,
}

impl SimulatedCluster {
    fn new(members: u16, seed: u64) -> SimulatedCluster {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        SimulatedCluster {
            now: 1_000_000,
            members: (0..members).map(|me| Overload::new(config(me, members), 0)).collect(),
            guidance: vec![Guidance::default(); usize::from(members)],
            member_factors: (0..members)
                .map(|_| [rng.random_range(0.4..1.6), rng.random_range(0.95..1.05)])
                .collect(),
            published: vec![Vec::new(); usize::from(members)],
            capacity: 50.0 * 52.0,
            first_attempts_per_s: 50.0,
            unserved_fraction: 0.0,
            hostile: 0,
            retry_budgets: vec![0.0; usize::from(members)],
            rejected_fraction: 0.0,
            levels: vec![0.0; usize::from(members)],
            served: [0.0; 3],
            arrived: [0.0; 3],
            first_attempts: 0.0,
            retries: 0.0,
            rng,
        }
    }

    /// Returns a random count, approximately normally distributed, with the given mean and a variance equal
    /// to it.
    fn random_count(&mut self, mean: f64) -> u32 {
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        (mean + normal * mean.sqrt() + self.rng.random::<f64>() - 0.5).round().max(0.0) as u32
    }

    /// Runs one period. Requests are admitted or rejected by the shedding level, and admitted ones are
    /// rejected where the servers lack capacity. Three tenths of the admitted requests need a retry. Half
    /// of the requests that were rejected in the last period come again.
    fn run_period(&mut self, load: f64) {
        self.now += PERIOD;
        let seconds = PERIOD as f64 / 1_000.0;
        let count = self.members.len();
        let mut counts = vec![[ClassCounts::default(); 3]; count];
        let mut admitted = vec![[0_u32; 3]; count];
        let mut work = 0.0;
        for member in 0..count {
            for (class, (_, time, share)) in CLASSES.into_iter().enumerate() {
                let mean =
                    self.member_factors[member][0] * self.first_attempts_per_s * load * share * seconds;
                let first_count = self.random_count(mean);
                let retry_count = self.random_count(mean * 0.5 * self.rejected_fraction);
                let arrived = first_count + retry_count;
                let probability = self.guidance[member].admit.get(class).copied().unwrap_or(1.0);
                admitted[member][class] =
                    (0..arrived).filter(|_| self.rng.random::<f64>() < probability).count() as u32;
                let servable = if class == 0 { 1.0 - self.unserved_fraction } else { 1.0 };
                work += f64::from(admitted[member][class]) * time * servable;
                let service_ms = time * self.member_factors[member][1];
                counts[member][class] = ClassCounts {
                    first_attempts: first_count,
                    client_retries: retry_count,
                    service_ms,
                    ..Default::default()
                };
            }
        }
        let utilisation = work / (self.capacity * count as f64 * seconds);
        let served_fraction = (1.0 / utilisation).min(1.0) - 0.02 * utilisation.min(1.0).powi(8);
        (self.served, self.arrived, self.first_attempts, self.retries) = ([0.0; 3], [0.0; 3], 0.0, 0.0);
        let mut rejected = 0.0;
        for (member, counts) in counts.iter_mut().enumerate() {
            for (class, counts) in counts.iter_mut().enumerate() {
                let admitted_here = admitted[member][class];
                let success_probability =
                    served_fraction * if class == 0 { 1.0 - self.unserved_fraction } else { 1.0 };
                let served = (0..admitted_here)
                    .filter(|_| self.rng.random::<f64>() < success_probability)
                    .count() as u32;
                (counts.served, counts.rejected) =
                    (served, counts.first_attempts + counts.client_retries - served);
                counts.in_flight = served / 4;
                // The retry budget, as in the module: first attempts add to it, and requests that fail take
                // from it.
                if let Some(Allowance { share, burst }) = self.guidance[member].retries {
                    let budget = &mut self.retry_budgets[member];
                    *budget = (*budget + share * f64::from(counts.first_attempts)).min(f64::from(burst));
                    let failing =
                        (0..admitted_here).filter(|_| self.rng.random::<f64>() < 0.3).count() as f64;
                    let retried = budget.floor().min(failing);
                    *budget -= retried;
                    (counts.retries, self.retries) = (retried as u32, self.retries + retried);
                }
                self.first_attempts += f64::from(counts.first_attempts);
                self.served[class] += f64::from(served);
                self.arrived[class] += f64::from(counts.first_attempts + counts.client_retries);
                rejected += f64::from(counts.rejected);
            }
        }
        self.rejected_fraction = rejected / self.arrived.iter().sum::<f64>().max(1.0);
        self.gossip_and_decide(&counts);
    }

    /// Each member receives the facts of eight random members, of which three in ten are lost, and decides.
    fn gossip_and_decide(&mut self, counts: &[[ClassCounts; 3]]) {
        let count = self.members.len();
        let alive: Vec<MemberId> = (0..count as u16).map(MemberId).collect();
        let before = self.published.clone();
        for (member, counts) in counts.iter().enumerate() {
            for _ in 0..8.min(count - 1) {
                let from = self.rng.random_range(0..count);
                for fact in &before[from] {
                    if self.rng.random::<f64>() < 0.7 {
                        self.members[member].handle_fact(self.now - PERIOD / 2, MemberId(from as u16), fact);
                    }
                }
            }
            self.published[member] = self.members[member].record_counts(self.now, counts);
            let (guidance, facts) = self.members[member].decide(self.now, MemberId(member as u16), &alive);
            self.published[member].extend(facts);
            self.levels[member] = guidance.level;
            self.guidance[member] = guidance;
        }
        for member in 0..self.hostile {
            let absurd_counts = ClassCounts {
                first_attempts: u32::MAX,
                rejected: u32::MAX,
                in_flight: u32::MAX,
                ..Default::default()
            };
            let mut own = OwnRates::default();
            own.count(self.now, &[ClassCounts { service_ms: 1e9, ..absurd_counts }; 3], &[], 1);
            let word = LevelReport { level: 1.0, desired: 1.0, capacity: Some(0.01) };
            self.published[member] = own.facts().into_iter().chain(level_fact(word)).collect();
        }
    }

    fn honest_levels(&self) -> &[f64] {
        &self.levels[self.hostile..]
    }

    fn spread(&self) -> f64 {
        let highest = self.honest_levels().iter().copied().fold(0.0, f64::max);
        highest - self.honest_levels().iter().copied().fold(1.0, f64::min)
    }

    fn mean_level(&self) -> f64 {
        self.honest_levels().iter().sum::<f64>() / self.honest_levels().len() as f64
    }
}

#[test]
fn members_shed_uniformly_serve_high_priorities_and_recover_within_three_seconds() {
    for (members, load) in [(20_u16, 1.5), (20, 2.0), (300, 1.5), (300, 2.0)] {
        let mut cluster = SimulatedCluster::new(members, 7);
        (0..25).for_each(|_| cluster.run_period(0.7));
        assert_eq!(cluster.mean_level(), 0.0);
        let (mut served, mut arrived) = ([0.0; 3], [0.0; 3]);
        let (mut periods, mut moved, mut before) = (Vec::new(), 0.0, 0.0);
        for step in 0..100 {
            cluster.run_period(load);
            periods.push([cluster.retries, cluster.first_attempts]);
            if step >= 40 {
                assert!(
                    cluster.spread() < 0.02,
                    "{members} {load}: the levels differ by {} at step {step}",
                    cluster.spread()
                );
                moved += if step > 40 { f64::abs(cluster.mean_level() - before) } else { 0.0 };
                for class in 0..3 {
                    served[class] += cluster.served[class];
                    arrived[class] += cluster.arrived[class];
                }
            }
            before = cluster.mean_level();
        }
        // In the last 12 s, all movements of the level together are less than a quarter of the level.
        assert!(moved < 0.25 * before, "{members} {load}: the level moved {moved}");
        let served_fractions: Vec<f64> = (0..3).map(|class| served[class] / arrived[class]).collect();
        assert!(
            served_fractions[0] > 0.9
                && served_fractions[0] >= served_fractions[1] - 0.01
                && served_fractions[2] < 0.1,
            "{members} {load}: {served_fractions:?}"
        );
        // With complete knowledge, the servers would serve the classes of the highest priority first.
        let mut capacity = cluster.capacity * f64::from(members) * 60.0 * PERIOD as f64 / 1_000.0;
        let best = CLASSES.iter().zip(arrived).map(|((weight, time, _), arrived)| {
            let served_count = (capacity / time).min(arrived);
            capacity -= served_count * time;
            served_count * weight
        });
        let best: f64 = best.sum();
        let value: f64 = CLASSES.iter().zip(served).map(|((weight, ..), served)| weight * served).sum();
        assert!(value > 0.9 * best, "{members} {load}: {} of the optimum", value / best);
        for second in periods.windows(5) {
            let [retries, first_attempts] =
                [0, 1].map(|which| second.iter().map(|period| period[which]).sum::<f64>());
            let limit = BUDGETS.retries * first_attempts + cluster_burst(usize::from(members)) as f64;
            assert!(retries <= limit, "{retries} retries in a second for {first_attempts} first attempts");
        }
        let recovered_after = (1..=15).find(|_| {
            cluster.run_period(0.7);
            cluster.mean_level() == 0.0 && cluster.spread() == 0.0
        });
        assert!(
            recovered_after.is_some(),
            "{members} {load}: the level is {:.3} after 3 s",
            cluster.mean_level()
        );
        assert!(cluster.guidance.iter().all(|guidance| guidance.admit.is_empty()));
    }
}

#[test]
fn hostile_members_move_the_level_no_further_than_their_share() {
    for (members, hostile) in [(20, 1), (100, 5)] {
        let [honest, attacked] = [0, hostile].map(|hostile| {
            let mut cluster = SimulatedCluster::new(members, 11);
            cluster.hostile = hostile;
            (0..50).for_each(|_| cluster.run_period(0.7));
            assert_eq!(cluster.mean_level(), 0.0, "{hostile} hostile members of {members} cause shedding");
            let levels = (0..100).map(|_| {
                cluster.run_period(1.5);
                cluster.mean_level()
            });
            levels.skip(50).sum::<f64>() / 50.0
        });
        assert!(
            (honest - attacked).abs() < 0.08,
            "{members}: level {honest:.3} without and {attacked:.3} with hostile members"
        );
    }
}

#[test]
fn a_class_without_servers_does_not_cause_shedding_of_others() {
    let mut cluster = SimulatedCluster::new(30, 5);
    cluster.unserved_fraction = 1.0;
    for _ in 0..100 {
        cluster.run_period(0.7);
        assert_eq!(cluster.mean_level(), 0.0);
    }
}

#[test]
fn an_isolated_member_returns_to_its_own_decisions_without_a_jump() {
    let mut cluster = SimulatedCluster::new(20, 3);
    (0..60).for_each(|_| cluster.run_period(1.8));
    let mut level = cluster.levels[0];
    assert!(
        level > 0.2
            && cluster.guidance[0].load_polls.is_some()
            && cluster.guidance[0].retry_after_range.is_some()
    );
    let alive: Vec<MemberId> = (0..20).map(MemberId).collect();
    let until = cluster.now + ISOLATED_AFTER + 2_000;
    while cluster.now < until {
        cluster.now += PERIOD;
        cluster.members[0]
            .record_counts(cluster.now, &[ClassCounts { first_attempts: 9, ..Default::default() }; 3]);
        let (guidance, facts) = cluster.members[0].decide(cluster.now, MemberId(0), &alive);
        assert!(
            (guidance.level - level).abs() <= 0.31,
            "the level jumped from {level} to {}",
            guidance.level
        );
        assert_eq!(
            facts.len(),
            1,
            "the member must go on publishing its level, for the time when others receive it again"
        );
        level = guidance.level;
        cluster.guidance[0] = guidance;
    }
    assert_eq!(cluster.guidance[0], Guidance::default());
    let mut other = Overload::new(config(3, 20), 0);
    assert_eq!(other.decide(200, MemberId(3), &alive).0, Guidance::default());
}
