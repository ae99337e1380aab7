//! What happens.

use cucumber::{given, when};
use peers::api::ServerState;
use world::Fault;
use world::discovery::Way;
use world::links::Fate;
use world::member::Life;
use world::rules::File;

use super::{Story, names};

#[given(regex = r"^it has run for ([\d.]+) seconds$")]
#[when(regex = r"^([\d.]+) seconds pass$")]
fn pass(story: &mut Story, seconds: f64) {
    story.world().run_for(seconds * 1e3);
}

#[when(regex = r"^clients ask for ([\d.]+) times what servers can do$")]
fn they_ask(story: &mut Story, load: f64) {
    story.act(Fault::Load(load));
}

#[when(regex = r"^discovery (refuses|falls silent for|is back for) (.+)$")]
fn discovery(story: &mut Story, how: String, who: String) {
    let way = match how.as_str() {
        "refuses" => Way::Refused,
        "falls silent for" => Way::Silent,
        _ => Way::Open,
    };
    for member in story.sidecars(&who) {
        story.act(Fault::Discovery(member, way));
    }
}

#[when(regex = r"^discovery needs (\d+) ms for an answer$")]
fn late(story: &mut Story, ms: f64) {
    story.act(Fault::DiscoveryLate(ms));
}

#[when(regex = r"^discovery says that server ([\w-]+) (serves|drains|is gone)$")]
fn says(story: &mut Story, server: String, how: String) {
    let server = story.server(&server);
    let standing = match how.as_str() {
        "serves" => ServerState::Serving,
        "drains" => ServerState::Draining,
        _ => ServerState::Gone,
    };
    story.act(Fault::List(server, standing));
}

#[when(regex = r"^server ([\w-]+) (drains|drains unsaid|crashes|starts anew|hangs|goes on|is well again)$")]
fn it_fares(story: &mut Story, server: String, how: String) {
    let server = story.server(&server);
    match how.as_str() {
        "drains" => story.act(Fault::Drain(server)),
        "drains unsaid" => story.act(Fault::DrainUnsaid(server)),
        "crashes" => story.act(Fault::CrashServer(server)),
        "starts anew" => story.act(Fault::StartServer(server)),
        "hangs" => story.act(Fault::Hang(server, true)),
        "goes on" => story.act(Fault::Hang(server, false)),
        _ => {
            story.act(Fault::Pace(server, 1.0));
            story.act(Fault::Errors(server, 0.0));
        }
    }
}

#[when(regex = r"^server ([\w-]+) becomes ([\d.]+) times slower$")]
fn slow(story: &mut Story, server: String, times: f64) {
    let server = story.server(&server);
    story.act(Fault::Pace(server, times));
}

#[when(regex = r"^server ([\w-]+) answers (\d+) percent with errors$")]
fn errors(story: &mut Story, server: String, share: f64) {
    let server = story.server(&server);
    story.act(Fault::Errors(server, share / 100.0));
}

#[when(regex = r"^the name ([\w-]+) returns in zone ([\w-]+)$")]
fn moves(story: &mut Story, server: String, zone: String) {
    let server = story.server(&server);
    let zone = story.world().zone(&zone).unwrap_or_else(|| panic!("there is no zone {zone}"));
    story.act(Fault::Move(server, zone));
}

#[when(regex = r"^zone ([\w-]+) (is lost|returns cold)$")]
fn zone_fares(story: &mut Story, zone: String, how: String) {
    let zone = story.world().zone(&zone).unwrap_or_else(|| panic!("there is no zone {zone}"));
    let count = story.world().servers.len();
    for server in (0..count).filter(|server| story.world().servers[*server].zone == zone).collect::<Vec<_>>()
    {
        story.act(if how == "is lost" { Fault::CrashServer(server) } else { Fault::StartServer(server) });
    }
}

#[when(regex = r"^(.+) (?:is|are) stopped$")]
fn stop(story: &mut Story, who: String) {
    for member in story.sidecars(&who) {
        story.act(Fault::Stop(member));
    }
}

#[when(regex = r"^(?:it wakes|all that are stopped wake)$")]
fn wake(story: &mut Story) {
    let members = 0..story.world().members.len();
    for member in
        members.filter(|m| matches!(story.world().members[*m].life, Life::Stopped(_))).collect::<Vec<_>>()
    {
        story.act(Fault::Wake(member));
    }
}

#[when(regex = r"^(.+) (?:dies|die)$")]
fn die(story: &mut Story, who: String) {
    for member in story.sidecars(&who) {
        story.act(Fault::Kill(member));
    }
}

#[when(regex = r"^(sidecar.+|it|every.+|all sidecars|region \w+) starts? anew$")]
fn start(story: &mut Story, who: String) {
    for member in story.sidecars(&who) {
        story.act(Fault::Start(member));
    }
}

#[when(regex = r"^(\d+) sidecars of region (\w+) are cut off from all others$")]
fn part(story: &mut Story, count: usize, region: String) {
    let members = story.sidecars(&format!("region {region}"));
    for member in members.into_iter().rev().take(count) {
        story.act(Fault::Side(member, 7));
    }
}

#[when(regex = r"^region (\w+) is cut off from all others$")]
fn cut_region(story: &mut Story, region: String) {
    for member in story.sidecars(&format!("region {region}")) {
        story.act(Fault::Side(member, 8));
    }
}

#[when(regex = r"^(.+) no longer hears? (.+)$")]
fn deaf(story: &mut Story, who: String, whom: String) {
    for to in story.sidecars(&who) {
        for from in story.sidecars(&whom) {
            story.act(Fault::Cut(from, to, true));
        }
    }
}

#[when(regex = r"^all links between sidecars are mended$")]
fn mend(story: &mut Story) {
    let count = story.world().members.len();
    story.act(Fault::Links(0.0, Fate::default()));
    for from in 0..count {
        story.act(Fault::Side(from, 0));
        (0..count).for_each(|to| story.act(Fault::Cut(from, to, false)));
    }
}

#[when(regex = r"^all links between sidecars lose (\d+) percent of what they carry$")]
fn lossy(story: &mut Story, loss: f64) {
    story.act(Fault::Links(1.0, Fate { loss: loss / 100.0, ..Fate::default() }));
}

#[when(regex = r"^(region \w+|sidecars? .+) (does not reach|reaches) the servers of zone ([\w-]+)$")]
fn reaches(story: &mut Story, who: String, how: String, zone: String) {
    let zone = story.world().zone(&zone).unwrap_or_else(|| panic!("there is no zone {zone}"));
    for member in story.sidecars(&who) {
        story.act(Fault::CutZone(member, zone, how == "does not reach"));
    }
}

#[when(regex = r"^the file of (.+) keeps class (\w+) in regions? ([\w ]+), generation (\d+)$")]
fn ruled(story: &mut Story, who: String, class: String, regions: String, generation: u64) {
    let file = File { generation, rules: vec![(class, names(&regions))] };
    for member in story.sidecars(&who) {
        story.act(Fault::Rules(member, file.clone()));
    }
}
