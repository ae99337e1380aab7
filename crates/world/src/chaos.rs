//! Faults drawn at random from a seed: many runs of these show what nobody thought of.

use crate::dice::Dice;
use crate::discovery::Way;
use crate::faults::Fault;
use crate::links::Fate;
use crate::rules::File;
use crate::spec::{Mode, Spec, regions};
use crate::time::{Micros, micros};
use crate::world::World;

/// Faults come from then on, in milliseconds.
const FROM: f64 = 3_000.0;
/// And last until then at the longest; from then on all is well again.
const UNTIL: f64 = 14_000.0;
/// The end of a run.
const END: f64 = 20_000.0;

/// Plays a fleet of 5 to 20 sidecars for twenty seconds with 3 to 10 faults of any kind between; the world as it is
/// then, its checkers closed.
pub fn play(seed: u64, mode: Mode) -> World {
    let mut dice = Dice::new(seed, "chaos", 0);
    let members = 5 + one_of(&mut dice, 16);
    let regions = regions(1 + one_of(&mut dice, 3), 2);
    let everywhere = regions.iter().map(|region| region.name.clone()).collect();
    let spec = Spec {
        seed,
        mode,
        members,
        servers: 2,
        load: [0.3, 0.6, 1.2][one_of(&mut dice, 3)],
        drift: 0.01 * dice.even(),
        rules: vec![("payment".to_owned(), everywhere)],
        regions,
        ..Spec::default()
    };
    let mut world = World::new(spec);
    let count = 3 + one_of(&mut dice, 8);
    for _ in 0..count {
        let at = FROM + (UNTIL - FROM) * dice.even();
        let lasts = 200.0 + (UNTIL - at) * dice.even();
        fault(&mut world, &mut dice, micros(at), micros((at + lasts).min(UNTIL)));
    }
    world.at(micros(UNTIL), Fault::Links(0.0, Fate::default()));
    world.run_until(micros(END));
    world.close();
    world
}

fn one_of(dice: &mut Dice, count: usize) -> usize {
    ((dice.even() * count as f64) as usize).min(count.saturating_sub(1))
}

/// One fault from one time to another.
fn fault(world: &mut World, dice: &mut Dice, from: Micros, to: Micros) {
    let member = one_of(dice, world.members.len());
    let server = one_of(dice, world.servers.len());
    let region = one_of(dice, world.spec().regions.len());
    let of_region: Vec<usize> =
        (0..world.members.len()).filter(|m| world.members[*m].region == region).collect();
    let some: Vec<usize> = (0..world.members.len()).filter(|_| dice.chance(0.4)).collect();
    let zone = world.servers[server].zone;
    let names: Vec<String> = world.spec().regions.iter().map(|region| region.name.clone()).collect();
    let mut pair = |start: Fault, end: Fault| {
        world.at(from, start);
        world.at(to, end);
    };
    match one_of(dice, 16) {
        0 => {
            let way = if dice.chance(0.5) { Way::Refused } else { Way::Silent };
            for member in of_region {
                pair(Fault::Discovery(member, way), Fault::Discovery(member, Way::Open));
            }
        }
        1 => some.into_iter().for_each(|member| {
            pair(Fault::Discovery(member, Way::Refused), Fault::Discovery(member, Way::Open));
        }),
        2 => some.into_iter().for_each(|member| pair(Fault::Side(member, 1), Fault::Side(member, 0))),
        3 => of_region.into_iter().for_each(|member| pair(Fault::Side(member, 2), Fault::Side(member, 0))),
        4 => some.into_iter().for_each(|member| pair(Fault::Stop(member), Fault::Wake(member))),
        5 => pair(Fault::Stop(member), Fault::Wake(member)),
        6 => pair(Fault::Kill(member), Fault::Start(member)),
        7 => some.into_iter().for_each(|member| pair(Fault::Kill(member), Fault::Start(member))),
        8 => {
            let fate =
                Fate { loss: 0.5 * dice.even(), doubled: 0.2 * dice.even(), late: 300.0 * dice.even() };
            world.at(from, Fault::Links(dice.even(), fate));
        }
        9 => some.into_iter().for_each(|to| {
            pair(Fault::Cut(member, to, true), Fault::Cut(member, to, false));
        }),
        10 => pair(Fault::Load(0.5 + dice.even()), Fault::Load(0.3)),
        11 => pair(Fault::Hang(server, true), Fault::Hang(server, false)),
        12 => pair(Fault::Drain(server), Fault::StartServer(server)),
        13 => pair(Fault::CrashServer(server), Fault::StartServer(server)),
        14 => {
            some.into_iter().for_each(|member| {
                pair(Fault::CutZone(member, zone, true), Fault::CutZone(member, zone, false));
            });
        }
        _ => {
            // Tightens somewhere, and everywhere in the end.
            let rules = vec![("payment".to_owned(), vec![names[region].clone()])];
            let file = File { generation: 2 + from / 1_000_000, rules };
            world.at(from, Fault::Rules(member, file));
        }
    }
}
