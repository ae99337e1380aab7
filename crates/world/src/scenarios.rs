//! Partial failures to be met alone and together: what happens, over which time it is judged, and what came of it.

use peers::api::ServerState;
use serde::Serialize;

use crate::discovery::Way;
use crate::faults::Fault;
use crate::links::Fate;
use crate::rules::File;
use crate::spec::{Mode, Spec, regions};
use crate::time::{Micros, micros, millis};
use crate::world::World;

/// A calm time before, in which members find each other, in milliseconds.
const BEGIN: f64 = 5_000.0;
/// How long what goes wrong goes on.
const LASTS: f64 = 8_000.0;
/// How long it is watched after that.
const AFTER: f64 = 7_000.0;
/// So much of it is left for a fleet to find its level, where sidecars are compared, in milliseconds.
const SETTLES: f64 = 2_000.0;
/// Requests that come in a calm time, of what servers can do.
const CALM: f64 = 0.6;

/// A partial failure.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Its name in results.
    pub name: &'static str,
    /// The region that loses discovery, if one does.
    cut: Option<&'static str>,
    /// Whether there are rules of residency.
    ruled: bool,
    /// What goes wrong, from [`BEGIN`] on.
    goes_wrong: fn(&mut World),
}

/// What came of a scenario.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Results {
    /// Its name.
    pub scenario: &'static str,
    /// Sidecars.
    pub members: usize,
    /// How they meet trouble.
    pub mode: &'static str,
    /// The seed.
    pub seed: u64,
    /// Worth earned while it lasted, as a share of what a shedder earns that sees the true state.
    pub worth_share: f64,
    /// Second and later sends for each first try while it lasted.
    pub retries_per_first_try: f64,
    /// Probes that a server got in a second while it lasted.
    pub probes_per_server_s: f64,
    /// How far the served shares of a class lay apart between sidecars while it lasted, once two seconds were over.
    pub class_spread: f64,
    /// Milliseconds from its end until things were normal for good; none where they were not by the end of the run.
    pub recovery_ms: Option<f64>,
    /// Milliseconds from discovery's loss until the region had a coordinator; none where it never had one.
    pub election_ms: Option<f64>,
    /// Milliseconds from discovery's return until it had none; none where it had none before.
    pub stand_down_ms: Option<f64>,
    /// Rules broken.
    pub violations: u64,
    /// Cold servers that fell.
    pub fallen: usize,
    /// The most calls to discovery in a second, from its return on where it was lost.
    pub calls_worst_second: u32,
    /// Datagrams between sidecars that a sidecar heard in a second.
    pub datagrams_per_member_s: f64,
    /// The first of the rules broken.
    #[serde(skip)]
    pub first: Option<String>,
}

/// All of them.
pub const ALL: [Scenario; 9] = [
    Scenario {
        name: "overload_1_5_lossy",
        cut: None,
        ruled: false,

        goes_wrong: |world| overload(world, 1.5),
    },
    Scenario { name: "overload_2_lossy", cut: None, ruled: false, goes_wrong: |world| overload(world, 2.0) },
    Scenario { name: "stalled_third_overload", cut: None, ruled: false, goes_wrong: stalled_third },
    Scenario {
        name: "discovery_cut",
        cut: Some("west"),
        ruled: false,

        goes_wrong: |world| discovery_cut(world, 0.0),
    },
    Scenario {
        name: "discovery_cut_lossy",
        cut: Some("west"),
        ruled: false,
        goes_wrong: |world| discovery_cut(world, 0.3),
    },
    Scenario { name: "region_in_halves", cut: Some("west"), ruled: false, goes_wrong: halves },
    Scenario { name: "rolling_restart", cut: None, ruled: false, goes_wrong: rolling_restart },
    Scenario { name: "zone_returns_cold", cut: None, ruled: false, goes_wrong: zone_returns },
    Scenario { name: "rules_tighten_in_cut", cut: None, ruled: true, goes_wrong: rules_tighten },
];

impl Scenario {
    /// Plays it.
    pub fn play(&self, members: usize, mode: Mode, seed: u64) -> Results {
        let servers = (members / 20).clamp(3, 25);
        let regions = regions(2, 2);
        // A rule that keeps nothing out, so that all know of rules from the start.
        let everywhere = regions.iter().map(|region| region.name.clone()).collect();
        let rules = if self.ruled { vec![("payment".to_owned(), everywhere)] } else { Vec::new() };
        let spec = Spec { seed, mode, members, regions, servers, load: CALM, rules, ..Spec::default() };
        let mut world = World::new(spec);
        let begin = micros(BEGIN);
        let end = begin + micros(LASTS);
        world.run_until(begin);
        (self.goes_wrong)(&mut world);
        world.run_until(end + micros(AFTER));
        world.close();
        let figures = world.figures(begin, end);
        let region = self.cut.and_then(|name| world.region(name));
        let elected = region.and_then(|region| world.checks.coordinators.first_after(region, begin));
        let stood_down = region.and_then(|region| {
            let reigns = world.checks.coordinators.reigns.iter().filter(|reign| reign.region == region);
            reigns.filter_map(|reign| reign.to).filter(|to| *to >= end).max()
        });
        let from = if self.cut.is_some() { (end / 1_000_000) as usize } else { 0 };
        let seconds = millis(world.now()) / 1e3;
        Results {
            scenario: self.name,
            members,
            mode: mode.name(),
            seed,
            worth_share: round(figures.worth_share),
            retries_per_first_try: round(figures.retries_per_first_try),
            probes_per_server_s: round(figures.probes_per_server_s),
            class_spread: round(world.figures(begin + micros(SETTLES), end).class_spread),
            recovery_ms: world.recovery_ms(end),
            election_ms: elected.map(|at| round(millis(at - begin))),
            stand_down_ms: stood_down.map(|at| round(millis(at - end))),
            violations: world.checks.found.count(),
            fallen: world.fallen.len(),
            calls_worst_second: world.discovery.by_second.iter().skip(from).copied().max().unwrap_or(0),
            datagrams_per_member_s: round(world.datagrams as f64 / members as f64 / seconds),
            first: world.checks.found.first.first().map(ToString::to_string),
        }
    }
}

/// To a ten-thousandth, so that results can be read.
fn round(figure: f64) -> f64 {
    (figure * 1e4).round() / 1e4
}

fn end() -> Micros {
    micros(BEGIN + LASTS)
}

/// More requests than servers can do, while a third of the links lose a third of the datagrams.
fn overload(world: &mut World, times: f64) {
    world.act(Fault::Links(1.0 / 3.0, Fate { loss: 0.3, doubled: 0.05, late: 20.0 }));
    world.act(Fault::Load(times));
    world.at(end(), Fault::Load(CALM));
}

/// Overload, and a third of the sidecars' processes stand still for most of it.
fn stalled_third(world: &mut World) {
    overload(world, 1.5);
    for member in (0..world.members.len()).step_by(3) {
        world.at(micros(BEGIN + 1_000.0), Fault::Stop(member));
        world.at(micros(BEGIN + 6_000.0), Fault::Wake(member));
    }
}

/// Discovery is out of reach for a region, where one server drains and one dies meanwhile.
fn discovery_cut(world: &mut World, loss: f64) {
    world.act(Fault::Links(1.0, Fate { loss, ..Fate::default() }));
    for member in members_of(world, "west") {
        world.act(Fault::Discovery(member, Way::Refused));
        world.at(end(), Fault::Discovery(member, Way::Open));
    }
    world.at(micros(BEGIN + 4_000.0), Fault::DrainUnsaid(0));
    world.at(micros(BEGIN + 4_000.0), Fault::List(0, ServerState::Draining));
    world.at(micros(BEGIN + 5_000.0), Fault::CrashServer(1));
}

/// The same, and the region's sidecars hear only those of their own part of it, three fifths and the rest.
fn halves(world: &mut World) {
    discovery_cut(world, 0.0);
    let members = members_of(world, "west");
    let most = (members.len() * 3).div_ceil(5);
    for member in members.into_iter().skip(most) {
        world.act(Fault::Side(member, 1));
        world.at(end(), Fault::Side(member, 0));
    }
}

/// Each sidecar's process ends and starts anew, one after the other, while servers are well used.
fn rolling_restart(world: &mut World) {
    world.act(Fault::Load(0.8));
    world.at(end(), Fault::Load(CALM));
    let count = world.members.len();
    for member in 0..count {
        let at = BEGIN + (LASTS - 1_000.0) * member as f64 / count as f64;
        world.at(micros(at), Fault::Kill(member));
        world.at(micros(at + 300.0), Fault::Start(member));
    }
}

/// All servers of a zone die and start anew, cold.
fn zone_returns(world: &mut World) {
    world.act(Fault::Load(0.7));
    world.at(end(), Fault::Load(CALM));
    let zone = world.zone("west-2").unwrap_or(0);
    let inside = |server: &usize| world.servers[*server].zone == zone;
    for server in (0..world.servers.len()).filter(inside).collect::<Vec<_>>() {
        world.at(micros(BEGIN), Fault::CrashServer(server));
        world.at(micros(BEGIN + 3_000.0), Fault::StartServer(server));
    }
}

/// One class's rules tighten at a few sidecars while a region is cut off from the rest.
fn rules_tighten(world: &mut World) {
    for member in members_of(world, "east") {
        world.act(Fault::Side(member, 1));
        world.at(micros(BEGIN + 4_000.0), Fault::Side(member, 0));
    }
    let file = File { generation: 2, rules: vec![("payment".to_owned(), vec!["west".to_owned()])] };
    for member in members_of(world, "west").into_iter().take(3) {
        world.at(micros(BEGIN + 1_000.0), Fault::Rules(member, file.clone()));
    }
    // Two seconds after all hear each other again nobody may go by older rules.
    if world.spec().mode == Mode::Shared {
        let allowed = file.allowed(world.spec());
        world.checks.regions.bind(micros(BEGIN + 6_000.0), allowed);
    }
}

/// The sidecars of a region.
fn members_of(world: &World, region: &str) -> Vec<usize> {
    let region = world.region(region);
    (0..world.members.len()).filter(|member| Some(world.members[*member].region) == region).collect()
}
