//! What is to hold then.

use cucumber::then;
use peers::api::ServerState;
use world::World;
use world::time::{Micros, micros, millis};

use super::Story;

#[then(regex = r"^no rule is broken$")]
fn no_rule(story: &mut Story) {
    let world = story.world();
    world.close();
    let found = &world.checks.found;
    let first: Vec<String> = found.first.iter().take(5).map(ToString::to_string).collect();
    assert!(found.count() == 0, "{} broken: {:#?}", found.count(), first);
}

#[then(regex = r"^at least (\d+) percent of the last ([\d.]+) seconds? is served$")]
fn served(story: &mut Story, percent: f64, seconds: f64) {
    let (from, to) = story.last(seconds);
    let share = 100.0 * story.world().figures(from, to).served_share;
    assert!(share >= percent, "{share:.1} percent was served");
}

#[then(regex = r"^at (least|most) (\d+) percent of class (\w+) of the last ([\d.]+) seconds? is served$")]
fn class_served(story: &mut Story, which: String, percent: f64, class: String, seconds: f64) {
    let class = story.class(&class);
    let (from, to) = story.last(seconds);
    let share = class_share(story.world(), class, from, to);
    let holds = if which == "least" { share >= percent } else { share <= percent };
    assert!(holds, "{share:.1} percent was served");
}

fn class_share(world: &World, class: usize, from: Micros, to: Micros) -> f64 {
    let parts = &world.tally.parts[(from / world::tally::PART) as usize..(to / world::tally::PART) as usize];
    let tries: u32 = parts.iter().map(|part| part.offered[class].1).sum();
    let served: u32 = parts.iter().map(|part| part.served_by[class]).sum();
    assert!(tries > 0, "nobody asked for it");
    100.0 * f64::from(served) / f64::from(tries)
}

#[then(regex = r"^class (\w+) is served more than class (\w+) in the last ([\d.]+) seconds$")]
fn preferred(story: &mut Story, one: String, other: String, seconds: f64) {
    let [one, other] = [story.class(&one), story.class(&other)];
    let (from, to) = story.last(seconds);
    let [one, other] = [one, other].map(|class| class_share(story.world(), class, from, to));
    assert!(one > other, "{one:.1} and {other:.1} percent");
}

#[then(regex = r"^the worth of the last ([\d.]+) seconds is at least ([\d.]+) of the ideal$")]
fn worth(story: &mut Story, seconds: f64, least: f64) {
    let (from, to) = story.last(seconds);
    let share = story.world().figures(from, to).worth_share;
    assert!(share >= least, "it is {share:.3}");
}

#[then(regex = r"^served shares of the last ([\d.]+) seconds differ by at most ([\d.]+) between sidecars$")]
fn spread(story: &mut Story, seconds: f64, most: f64) {
    let (from, to) = story.last(seconds);
    let spread = story.world().figures(from, to).class_spread;
    assert!(spread <= most, "they differ by {spread:.3}");
}

#[then(regex = r"^retries of the last ([\d.]+) seconds are at most (\d+) percent of first tries$")]
fn retries(story: &mut Story, seconds: f64, most: f64) {
    let (from, to) = story.last(seconds);
    let share = 100.0 * story.world().figures(from, to).retries_per_first_try;
    assert!(share <= most, "they are {share:.1} percent");
}

#[then(regex = r"^a server got at most ([\d.]+) probes a second in the last ([\d.]+) seconds$")]
fn probes(story: &mut Story, most: f64, seconds: f64) {
    let (from, to) = story.last(seconds);
    let probes = story.world().figures(from, to).probes_per_server_s;
    assert!(probes <= most, "it got {probes:.1}");
}

#[then(regex = r"^(some|nobody) was refused for (residency|shedding) in the last ([\d.]+) seconds$")]
fn refused(story: &mut Story, who: String, why: String, seconds: f64) {
    let (from, to) = story.last(seconds);
    let reason = if why == "residency" { 1 } else { 2 };
    let parts = (from / world::tally::PART) as usize..(to / world::tally::PART) as usize;
    let count: u32 = story.world().tally.parts[parts].iter().map(|part| part.refused[reason]).sum();
    assert_eq!(count > 0, who == "some", "{count} were refused");
}

#[then(regex = r"^things are normal within ([\d.]+) seconds$")]
fn normal(story: &mut Story, seconds: f64) {
    let mark = story.mark;
    let world = story.world();
    // Normal for good: for two seconds more, and what came in last has its answer.
    world.run_until(mark + micros((seconds + 3.0) * 1e3));
    let after = world.recovery_ms(mark);
    assert!(after.is_some_and(|ms| ms <= seconds * 1e3), "after {after:?} ms");
}

#[then(regex = r"^within ([\d.]+) seconds one coordinator acts in region (\w+)$")]
fn elected(story: &mut Story, seconds: f64, region: String) {
    let region = story.region(&region);
    assert!(story.until(seconds, |world| world.checks.coordinators.acting(region).is_some()), "nobody does");
    story.spoken_of = story.world().checks.coordinators.acting(region).map(|reign| reign.member);
}

#[then(regex = r"^within ([\d.]+) seconds no coordinator acts in region (\w+)$")]
fn stood_down(story: &mut Story, seconds: f64, region: String) {
    let region = story.region(&region);
    assert!(story.until(seconds, |world| world.checks.coordinators.acting(region).is_none()), "one does");
}

#[then(regex = r"^for ([\d.]+) seconds no coordinator acts in region (\w+)$")]
fn none(story: &mut Story, seconds: f64, region: String) {
    let region = story.region(&region);
    assert!(!story.until(seconds, |world| world.checks.coordinators.acting(region).is_some()), "one does");
}

#[then(regex = r"^for ([\d.]+) seconds the same coordinator acts in region (\w+)$")]
fn same(story: &mut Story, seconds: f64, region: String) {
    let region = story.region(&region);
    let acts = |world: &World| world.checks.coordinators.acting(region).map(|reign| reign.member);
    let before = acts(story.world());
    assert!(before.is_some(), "nobody does");
    assert!(!story.until(seconds, |world| acts(world) != before), "{before:?} no longer does");
}

#[then(regex = r"^within ([\d.]+) seconds another coordinator acts in region (\w+)$")]
fn another(story: &mut Story, seconds: f64, region: String) {
    let region = story.region(&region);
    let before = story.spoken_of;
    let acts = |world: &World| world.checks.coordinators.acting(region).map(|reign| reign.member);
    let found = story.until(seconds, |world| acts(world).is_some_and(|member| Some(member) != before));
    assert!(found, "{:?} does", acts(story.world()));
    story.spoken_of = acts(story.world());
}

#[then(regex = r"^no region has ever had a coordinator$")]
fn never(story: &mut Story) {
    let reigns = &story.world().checks.coordinators.reigns;
    assert!(reigns.is_empty(), "{:?}", reigns.first());
}

#[then(regex = r"^nothing goes to server ([\w-]+) for ([\d.]+) seconds$")]
fn shunned(story: &mut Story, server: String, seconds: f64) {
    let server = story.server(&server);
    let before = story.world().sent.len();
    story.world().run_for(seconds * 1e3);
    let sent = story.world().sent[before..].iter().filter(|sent| usize::from(sent.server) == server);
    assert_eq!(sent.count(), 0);
}

#[then(regex = r"^server ([\w-]+) gets at most ([\d.]+) percent of all sends for ([\d.]+) seconds$")]
fn rarely(story: &mut Story, server: String, percent: f64, seconds: f64) {
    let server = story.server(&server);
    let before = story.world().sent.len();
    story.world().run_for(seconds * 1e3);
    let sends = &story.world().sent[before..];
    let there = sends.iter().filter(|sent| usize::from(sent.server) == server).count();
    let share = 100.0 * there as f64 / sends.len() as f64;
    assert!(share <= percent, "it gets {share:.1} percent");
}

#[then(regex = r"^server ([\w-]+) gets requests within ([\d.]+) seconds$")]
fn used(story: &mut Story, server: String, seconds: f64) {
    let server = story.server(&server);
    let before = story.world().sent.len();
    let used = |world: &World| world.sent[before..].iter().any(|sent| usize::from(sent.server) == server);
    assert!(story.until(seconds, used), "none");
}

#[then(regex = r"^for ([\d.]+) seconds class (\w+) goes from (.+) to region (\w+) only$")]
fn kept_inside(story: &mut Story, seconds: f64, class: String, who: String, region: String) {
    let (class, region, members) = (story.class(&class), story.region(&region), story.sidecars(&who));
    let before = story.world().sent.len();
    story.world().run_for(seconds * 1e3);
    let world = story.world();
    let ours =
        |sent: &&world::Sent| usize::from(sent.class) == class && members.contains(&usize::from(sent.member));
    let outside = |sent: &&world::Sent| world.region_of(usize::from(sent.zone)) != region;
    let sends = world.sent[before..].iter().filter(ours);
    let stray = sends.clone().find(outside);
    assert!(stray.is_none(), "{stray:?}");
    assert!(sends.count() > 0, "there are none at all");
}

#[then(regex = r"^for ([\d.]+) seconds class (\w+) goes nowhere from (.+)$")]
fn held_back(story: &mut Story, seconds: f64, class: String, who: String) {
    let (class, members) = (story.class(&class), story.sidecars(&who));
    let before = story.world().sent.len();
    story.world().run_for(seconds * 1e3);
    let ours =
        |sent: &&world::Sent| usize::from(sent.class) == class && members.contains(&usize::from(sent.member));
    let stray = story.world().sent[before..].iter().find(ours).copied();
    assert!(stray.is_none(), "{stray:?}");
}

#[then(regex = r"^no cold server has fallen$")]
fn fallen(story: &mut Story) {
    assert!(story.world().fallen.is_empty(), "{:?}", story.world().fallen);
}

#[then(regex = r"^within ([\d.]+) seconds (.+) holds? that server ([\w-]+) (serves|drains|is gone)$")]
fn holds(story: &mut Story, seconds: f64, who: String, server: String, how: String) {
    let (members, server) = (story.sidecars(&who), story.server(&server));
    let standing = match how.as_str() {
        "serves" => ServerState::Serving,
        "drains" => ServerState::Draining,
        _ => ServerState::Gone,
    };
    let holds = |world: &World, member: usize| {
        world.members[member].list.get(&server).is_some_and(|entry| entry.standing == standing)
    };
    let all = |world: &World| members.iter().all(|member| holds(world, *member));
    if !story.until(seconds, all) {
        let rest: Vec<usize> =
            members.iter().filter(|m| !holds(story.world(), **m)).map(|member| member + 1).collect();
        panic!("sidecars {rest:?} do not");
    }
}

#[then(regex = r"^discovery was called at most (\d+) times in any second since then$")]
fn calls(story: &mut Story, most: u32) {
    let from = (story.mark / 1_000_000) as usize;
    let calls = story.world().discovery.by_second.iter().skip(from).copied().max().unwrap_or(0);
    assert!(calls <= most, "{calls} times");
}

#[then(regex = r"^within ([\d.]+) seconds (.+) counts? (\d+) living members$")]
fn living(story: &mut Story, seconds: f64, who: String, count: usize) {
    let members = story.sidecars(&who);
    let counted = |world: &World| -> Vec<Option<usize>> {
        let views = world.views();
        members.iter().map(|member| views[*member].map(|view| view.living)).collect()
    };
    let all = |world: &World| counted(world).iter().all(|living| *living == Some(count));
    assert!(story.until(seconds, all), "they count {:?}", counted(story.world()));
}

#[then(regex = r"^levels of shedding differ by at most ([\d.]+) between sidecars$")]
fn levels(story: &mut Story, most: f64) {
    let levels: Vec<f64> = story.world().views().into_iter().flatten().map(|view| view.level).collect();
    let (low, high) = levels.iter().fold((1.0f64, 0.0f64), |(low, high), l| (low.min(*l), high.max(*l)));
    assert!(high - low <= most, "they lie from {low:.3} to {high:.3}");
}

#[then(regex = r"^nobody sheds$")]
fn no_shedding(story: &mut Story) {
    let now = millis(story.world().now());
    let levels: Vec<f64> = story.world().views().into_iter().flatten().map(|view| view.level).collect();
    assert!(levels.iter().all(|level| *level < 0.01), "at {now} ms: {levels:?}");
}

#[then(regex = r"^a sidecar heard at most (\d+) datagrams a second$")]
fn datagrams(story: &mut Story, most: f64) {
    let world = story.world();
    let heard = world.datagrams as f64 / world.members.len() as f64 / (millis(world.now()) / 1e3);
    assert!(heard <= most, "it heard {heard:.1}");
}
