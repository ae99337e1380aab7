//! Partial failures met alone and together, under the same seeds. A table, or with `--json` an object a line.

use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use world::Mode;
use world::scenarios::{ALL, Results, Scenario};

/// What is played by default: sidecars, and how many seeds of each.
const FLEETS: [(usize, u64); 3] = [(10, 4), (100, 2), (1_000, 1)];
/// In fleets of more than this, only the first of overload and of lost discovery, unless asked for: each takes minutes.
const LARGE: (usize, [&str; 2]) = (300, ["overload_1_5_lossy", "discovery_cut"]);

struct Options {
    json: bool,
    members: Option<Vec<usize>>,
    seeds: Option<u64>,
    scenario: Option<String>,
    modes: Vec<Mode>,
    /// Runs of random faults instead of scenarios.
    chaos: Option<u64>,
    first_seed: u64,
}

/// `--bench` and whatever else cargo hands over is passed over; a flag without a sound value ends it.
fn options() -> Result<Options, String> {
    let modes = vec![Mode::Alone, Mode::Shared];
    let mut options = Options {
        json: false,
        members: None,
        seeds: None,
        scenario: None,
        modes,
        chaos: None,
        first_seed: 1,
    };
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        let mut value = || words.next().ok_or_else(|| format!("{word} needs a value"));
        let number = |text: &str| text.parse::<usize>().map_err(|error| format!("{text:?}: {error}"));
        match word.as_str() {
            "--json" => options.json = true,
            "--members" => {
                let members = value()?.split(',').map(number).collect::<Result<Vec<_>, _>>()?;
                options.members = Some(members);
            }
            "--seeds" => options.seeds = Some(number(&value()?)? as u64),
            "--chaos" => options.chaos = Some(number(&value()?)? as u64),
            "--first-seed" => options.first_seed = number(&value()?)? as u64,
            "--scenario" => options.scenario = Some(value()?),
            "--mode" => {
                let mode = value()?;
                options.modes.retain(|known| known.name() == mode);
            }
            _ => {}
        }
    }
    Ok(options)
}

fn line(results: &Results, json: bool) -> String {
    if json {
        return serde_json::to_string(results).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"));
    }
    let ms = |figure: Option<f64>| figure.map_or_else(|| "-".to_owned(), |ms| format!("{ms:.0}"));
    let Results { scenario, members, mode, seed, worth_share, retries_per_first_try, .. } = results;
    let first = results.first.as_deref().unwrap_or("");
    let text = format!(
        "{scenario:<24}{members:>6} {mode:<7}{seed:>4}{worth_share:>8.3}{retries_per_first_try:>8.3}{:>8.1}{:>8.3}\
        {:>9}{:>9}{:>9}{:>7}{:>7}{:>7} {first}",
        results.probes_per_server_s,
        results.class_spread,
        ms(results.recovery_ms),
        ms(results.election_ms),
        ms(results.stand_down_ms),
        results.calls_worst_second,
        results.fallen,
        results.violations,
    );
    text.trim_end().to_owned()
}

/// Plays so many runs of random faults in each mode, and tells each in which a rule was broken.
fn chaos(options: &Options, runs: u64) {
    for mode in &options.modes {
        let (next, broken) = (AtomicU64::new(options.first_seed), AtomicU64::new(0));
        let threads = std::thread::available_parallelism().map_or(1, usize::from);
        std::thread::scope(|scope| {
            for _ in 0..threads {
                scope.spawn(|| {
                    loop {
                        let seed = next.fetch_add(1, Ordering::Relaxed);
                        if seed >= options.first_seed + runs {
                            return;
                        }
                        let found = world::chaos::play(seed, *mode).checks.found;
                        if found.count() > 0 {
                            broken.fetch_add(1, Ordering::Relaxed);
                            let first = found.first.first().map(ToString::to_string).unwrap_or_default();
                            println!("{} seed {seed}: {:?}, first: {first}", mode.name(), found.counts);
                        }
                    }
                });
            }
        });
        let broken = broken.load(Ordering::Relaxed);
        println!("{}: {broken} of {runs} runs of random faults broke a rule", mode.name());
    }
}

fn main() -> Result<(), String> {
    let options = options()?;
    if let Some(runs) = options.chaos {
        chaos(&options, runs);
        return Ok(());
    }
    let mut runs: Vec<(Scenario, usize, Mode, u64)> = Vec::new();
    for scenario in ALL.iter().filter(|s| options.scenario.as_ref().is_none_or(|name| name == s.name)) {
        let chosen = |members: &Vec<usize>| members.iter().map(|count| (*count, 1)).collect();
        let fleets: Vec<(usize, u64)> = options.members.as_ref().map_or_else(|| FLEETS.to_vec(), chosen);
        for (members, seeds) in fleets {
            let asked = options.members.is_some() || options.scenario.is_some();
            if members > LARGE.0 && !asked && !LARGE.1.contains(&scenario.name) {
                continue;
            }
            for seed in 1..=options.seeds.unwrap_or(seeds) {
                runs.extend(options.modes.iter().map(|mode| (*scenario, members, *mode, seed)));
            }
        }
    }
    if runs.is_empty() {
        let names: Vec<&str> = ALL.iter().map(|scenario| scenario.name).collect();
        return Err(format!("nothing to play; scenarios: {}", names.join(", ")));
    }
    if !options.json {
        println!(
            "{:<24}{:>6} {:<7}{:>4}{:>8}{:>8}{:>8}{:>8}{:>9}{:>9}{:>9}{:>7}{:>7}{:>7}",
            "scenario",
            "members",
            "mode",
            "seed",
            "worth",
            "retries",
            "probes",
            "spread",
            "recovery",
            "election",
            "standdown",
            "calls",
            "fallen",
            "broken",
        );
    }
    // The largest first, so that no thread is left with one alone at the end; told in the order of the runs.
    let mut order: Vec<usize> = (0..runs.len()).collect();
    order.sort_by_key(|run| std::cmp::Reverse(runs[*run].1));
    let (next, done) = (AtomicUsize::new(0), Mutex::new((0, vec![None; runs.len()])));
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some(run) = order.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let (scenario, members, mode, seed) = runs[*run];
                    let results = scenario.play(members, mode, seed);
                    let Ok(mut done) = done.lock() else { return };
                    done.1[*run] = Some(line(&results, options.json));
                    while let Some(Some(text)) = done.1.get(done.0) {
                        // Whoever reads may have heard enough.
                        let _ = writeln!(std::io::stdout(), "{text}");
                        done.0 += 1;
                    }
                }
            });
        }
    });
    Ok(())
}
