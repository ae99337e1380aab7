//! The level of shedding: how far the fleet stands above what its servers can do.
//!
//! The level follows from two figures: the work that is offered to a member, a second, and the work that the servers
//! can do for each member, both as means over the members heard. What is offered is counted, refused requests and all,
//! so that the end of a load shows at once. What servers can do, the capacity, is what is learnt: it goes down while of
//! what was let in more than [`TARGET`] finds no room, and up while it is less. Changes of load move the level without
//! being learnt first, and the capacity, which hardly changes, is what members agree on, however late they hear of it.

use crate::api::Millis;

use super::admission::Order;
use super::peer_loads::{ClusterMeans, LevelReport, trimmed_mean};
use super::rates::Rates;

/// The share of what is let in that may find no room: with less, servers stand idle between requests.
pub const TARGET: f64 = 0.05;

/// From this share on, for [`ENGAGE_AFTER`], the fleet begins to shed. More than [`TARGET`], so that a load that just
/// fits does not turn shedding on and off.
const ENGAGE: f64 = 0.08;

/// For so long must there be no room before shedding begins, and none be needed before the capacity is forgotten.
const ENGAGE_AFTER: Millis = 500;
const FORGET_AFTER: Millis = 2_000;

/// The capacity goes to what is seen of it within so many seconds. It follows what was let in and found room and
/// not a sum of misses, so that a level still on its way does not wind it up.
const LEARNT_IN_S: f64 = 1.5;
const FURTHER: f64 = 2.0;

/// After so many seconds in which all was let in found room, the capacity grows faster, by this much for each second
/// more: servers that come back are used soon.
const ROOMY_AFTER_S: f64 = 1.0;
const ROOMY_FASTER: f64 = 2.0;
const FASTEST: f64 = 0.4;

/// How much of the way to what the others think of the capacity a member goes in a period.
const DRAWN: f64 = 0.2;

/// How far the level may move in a second, up and down.
const SPEED_UP: f64 = 0.8;
pub const SPEED_DOWN: f64 = 1.5;

/// A level that is wanted this far beyond [`NEAR`] is gone to as fast as may be, and one nearby by such a share of the way in a
/// period: what differs between samples of the fleet is mostly chance.
const FAR: f64 = 0.1;
const GENTLY: f64 = 0.12;

/// How much of the way to the others' levels a member goes in a period, from this near: what they said is a second old
/// where the level moves, and must not hold it back then.
const TOGETHER: f64 = 0.6;
const NEAR: f64 = 0.03;

/// A level wanted below this is nought.
const NOUGHT: f64 = 0.005;

/// Of the classes ordered by the share that found no room, this much of the work lies below the one that counts: what
/// is short for servers is short for all classes, while a class that has no server left does not get better by
/// shedding others.
const BELOW: f64 = 0.3;

/// A share of failures is taken for usual within so many seconds, and a lower one sooner: failures that shedding does
/// not end are none of overload.
const USUAL_UP_S: f64 = 15.0;
const USUAL_DOWN_S: f64 = 1.0;

/// The figures that move the level are averaged over so many seconds; held work that grows by less than a share of
/// what is let in counts as steady.
const AVERAGED_S: f64 = 0.5;
const STEADY: f64 = 0.03;

/// What found no room, as shares of what was let in.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Unmet {
    refused_or_failed: f64,
    growth: f64,
}

impl Unmet {
    fn all(&self) -> f64 {
        (self.refused_or_failed + (self.growth - STEADY).max(0.0)).clamp(0.0, 1.0)
    }
}

/// The level at one member.
#[derive(Debug, Default)]
pub struct SheddingLevel {
    level: f64,
    desired: f64,
    capacity: Option<f64>,
    unmet: Unmet,
    usual_failed: Vec<f64>,
    held: Option<f64>,
    crowded_since: Option<Millis>,
    quiet_since: Option<Millis>,
    roomy_s: f64,
    told: Option<(Millis, f64)>,
    note: Option<String>,
}

impl SheddingLevel {
    /// The level now.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// What others should hear of it.
    pub fn report(&self) -> LevelReport {
        LevelReport { level: self.level, desired: self.desired, capacity: self.capacity }
    }

    /// Why it moved, where that is new.
    pub fn take_note(&mut self) -> Option<String> {
        self.note.take()
    }

    /// Without others it fades, and what was learnt with them is forgotten.
    pub fn decay(&mut self, elapsed_s: f64) {
        let level = (self.level - SPEED_DOWN * elapsed_s).max(0.0);
        let note =
            (self.level > 0.0 && level == 0.0).then(|| "no peer is heard: no shedding as one".to_string());
        *self = SheddingLevel { level, note: note.or(self.note.take()), ..SheddingLevel::default() };
    }

    /// Moves on by a period that took so many seconds.
    pub fn step(
        &mut self,
        now: Millis,
        elapsed_s: f64,
        means: &ClusterMeans,
        words: &[LevelReport],
        order: &Order,
    ) {
        self.look(&means.classes, elapsed_s);
        let offered: f64 = means.classes.iter().map(|rates| rates.arrivals() * work(rates)).sum();
        self.learn(now, elapsed_s, means, words);
        let share = self.capacity.map_or(0.0, |capacity| 1.0 - capacity / offered.max(1e-9));
        self.desired = order.level_for(share, &means.classes);
        let wanted = words.iter().map(|word| word.desired).chain([self.desired]).collect();
        let goal = trimmed_mean(wanted).unwrap_or(0.0).clamp(0.0, 1.0);
        let others = trimmed_mean(words.iter().map(|word| word.level).collect()).unwrap_or(self.level);
        let still = self.desired == 0.0 && goal < NOUGHT;
        let way = if still { -self.level } else { goal - self.level };
        let step = if still { way } else { way * ((way.abs() - NEAR) / FAR).clamp(GENTLY, 1.0) };
        let drawn = if still { 0.0 } else { TOGETHER * (others - self.level).clamp(-NEAR, NEAR) };
        let step = (step + drawn).clamp(-SPEED_DOWN * elapsed_s, SPEED_UP * elapsed_s);
        self.level = (self.level + step).clamp(0.0, 1.0);
        self.tell(now, means);
    }

    /// What of the things let in found no room.
    fn look(&mut self, classes: &[Rates], elapsed_s: f64) {
        self.usual_failed.resize(classes.len(), 0.0);
        let average = 1.0 - (-elapsed_s / AVERAGED_S).exp();
        let mut shares: Vec<(f64, f64)> = Vec::with_capacity(classes.len());
        for (rates, usual) in classes.iter().zip(&mut self.usual_failed) {
            if rates.admitted <= 0.0 {
                continue;
            }
            let failed = (rates.failed / rates.admitted).clamp(0.0, 1.0);
            let over = if failed > *usual { USUAL_UP_S } else { USUAL_DOWN_S };
            *usual += (failed - *usual) * (1.0 - (-elapsed_s / over).exp());
            let refused = rates.capacity_rejections() / rates.admitted;
            shares.push(((refused + failed - *usual).clamp(-1.0, 1.0), rates.admitted * work(rates)));
        }
        shares.sort_by(|one, other| one.0.total_cmp(&other.0));
        let total: f64 = shares.iter().map(|(_, weight)| weight).sum();
        let mut below = 0.0;
        let counts = shares.iter().find(|(_, weight)| {
            below += weight;
            below >= BELOW * total
        });
        let unmet = counts.map_or(0.0, |(share, _)| *share);
        self.unmet.refused_or_failed += average * (unmet - self.unmet.refused_or_failed);
        let held: f64 = classes.iter().map(|rates| rates.in_flight).sum();
        let let_in: f64 = classes.iter().map(|rates| rates.admitted).sum();
        let grown = self.held.map_or(0.0, |before| (held - before) / elapsed_s);
        let growth = if let_in > 0.0 { (grown / let_in).clamp(-1.0, 1.0) } else { 0.0 };
        self.held = Some(held);
        // A change and its undoing make no growth: averaged over longer.
        self.unmet.growth += average / 2.0 * (growth - self.unmet.growth);
    }

    /// Begins, corrects or forgets the capacity.
    fn learn(&mut self, now: Millis, elapsed_s: f64, means: &ClusterMeans, words: &[LevelReport]) {
        let unmet = self.unmet.all();
        let let_in: f64 = means.classes.iter().map(|rates| rates.admitted * work(rates)).sum();
        let others: Vec<f64> =
            words.iter().filter_map(|word| word.capacity).filter(|&known| known > 0.0).collect();
        let shedding = words.iter().filter(|word| word.capacity.is_some() && word.desired > 0.0).count();
        let most_shed = 2 * shedding > words.len();
        let others = trimmed_mean(others);
        let Some(capacity) = self.capacity else {
            let since = *self.crowded_since.get_or_insert(now);
            if unmet <= ENGAGE {
                self.crowded_since = None;
            }
            if most_shed {
                self.capacity = others;
            } else if unmet > ENGAGE && now.saturating_sub(since) >= ENGAGE_AFTER {
                self.capacity = Some(let_in * (1.0 - unmet + TARGET));
            }
            (self.quiet_since, self.roomy_s) = (None, 0.0);
            return;
        };
        self.roomy_s = if unmet < TARGET / 2.0 { self.roomy_s + elapsed_s } else { 0.0 };
        let faster = 1.0 + ROOMY_FASTER * (self.roomy_s - ROOMY_AFTER_S).max(0.0);
        // What was let in and found room is what servers can do, where there was less than was let in, and else at least
        // that. Where the level lets in all there is no telling.
        let seen = (let_in * (1.0 - unmet + TARGET) / capacity).max(1e-3).ln();
        // Where less comes in, the last of what found no room must not be taken for servers lost: no further down than
        // what is missing now would have it, and that again for what is not seen yet.
        let missing = FURTHER * (1.0 - unmet + TARGET).max(0.1).ln();
        let rate = match unmet > TARGET {
            true => seen.clamp(missing, 0.0) / LEARNT_IN_S,
            false if self.level > 0.0 => (seen.max(0.0) / LEARNT_IN_S * faster).min(FASTEST),
            false => 0.0,
        };
        let drawn = others.map_or(0.0, |others| DRAWN * (others / capacity).ln().clamp(-1.0, 1.0));
        self.capacity = Some((capacity * (rate * elapsed_s + drawn).exp()).clamp(1e-6, 1e12));
        let quiet = self.level == 0.0 && self.desired == 0.0;
        let since = *self.quiet_since.get_or_insert(now);
        if !quiet {
            self.quiet_since = None;
        } else if now.saturating_sub(since) >= FORGET_AFTER {
            (self.capacity, self.crowded_since) = (None, None);
        }
    }

    /// Writes a line where shedding began, ended, or moved far since the last line.
    fn tell(&mut self, now: Millis, means: &ClusterMeans) {
        let (at, before) = self.told.unwrap_or((0, 0.0));
        let turned = (before == 0.0) != (self.level == 0.0);
        let passed = now.saturating_sub(at);
        let due =
            if turned { passed >= 1_000 } else { passed >= 10_000 && (self.level - before).abs() >= 0.2 };
        if !(due || turned && self.told.is_none()) {
            return;
        }
        self.told = Some((now, self.level));
        self.note = Some(format!(
            "level of shedding {before:.2} -> {:.2}, wanted {:.2}: of what was let in {:.0}% found no room or failed, \
             held work grows by {:.0}% of it a second, by the figures of {} members",
            self.level,
            self.desired,
            100.0 * self.unmet.refused_or_failed,
            100.0 * self.unmet.growth,
            means.members,
        ));
    }
}

/// The work of a request; where no time is known all count alike.
fn work(rates: &Rates) -> f64 {
    rates.service_ms.max(1.0)
}
