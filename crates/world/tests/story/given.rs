//! What a story begins with.

use cucumber::given;
use world::links::Fate;
use world::{Fault, Mode, spec};

use super::{Story, names};

#[given(regex = r"^a fleet of (\d+) sidecars in (\d+) regions? that act (alone|together)$")]
fn fleet(story: &mut Story, members: usize, regions: usize, how: String) {
    story.spec.members = members;
    story.spec.regions = spec::regions(regions, 2);
    story.spec.mode = if how == "alone" { Mode::Alone } else { Mode::Shared };
}

#[given(regex = r"^(\d+) servers in each zone$")]
fn with_servers(story: &mut Story, servers: usize) {
    story.spec.servers = servers;
}

#[given(regex = r"^clients ask for ([\d.]+) times what servers can do$")]
fn with_load(story: &mut Story, load: f64) {
    story.spec.load = load;
}

#[given(regex = r"^class (\w+) may only use regions? ([\w ]+)$")]
fn rule(story: &mut Story, class: String, regions: String) {
    story.spec.rules.push((class, names(&regions)));
}

#[given(regex = r"^(\d+) percent of the links between sidecars lose (\d+) percent of what they carry$")]
fn links(story: &mut Story, share: f64, loss: f64) {
    let fate = Fate { loss: loss / 100.0, doubled: 0.05, late: 20.0 };
    story.first.push(Fault::Links(share / 100.0, fate));
}

#[given(regex = r"^clocks that differ by (\d+) in a thousand$")]
fn drift(story: &mut Story, thousandths: f64) {
    story.spec.drift = thousandths / 1e3;
}

#[given(regex = r"^clients that heed no Retry-After$")]
fn heedless(story: &mut Story) {
    story.spec.clients.heed = 0.0;
}

#[given(regex = r"^discovery takes (\d+) calls a second$")]
fn with_calls(story: &mut Story, calls: u32) {
    story.spec.discovery.calls_per_s = calls;
}

#[given(regex = r"^the day with number (\d+)$")]
fn with_seed(story: &mut Story, seed: u64) {
    story.spec.seed = seed;
}
