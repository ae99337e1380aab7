//! What a world is made of, before it begins.

use sagemast::api::*;

/// How sidecars meet trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Each by itself.
    Alone,
    /// Together, by what they tell each other.
    Shared,
}

impl Mode {
    /// Its name in results.
    pub fn name(self) -> &'static str {
        match self {
            Mode::Alone => "alone",
            Mode::Shared => "shared",
        }
    }
}

/// A region and its zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Region {
    /// Its name.
    pub name: String,
    /// The names of its zones, unlike those of all others.
    pub zones: Vec<String>,
}

/// A class of requests and how clients ask for it.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its share of all requests.
    pub share: f64,
    /// Milliseconds of work by one core of a server, in the mean.
    pub work: f64,
    /// Sigma of the work's logarithm.
    pub spread: f64,
    /// How long clients wait.
    pub deadline: Millis,
    /// The rest as the module is told it.
    pub class: Class,
}

/// Times that messages take, one way, in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Delays {
    /// Within a zone.
    pub near: f64,
    /// Between zones of a region.
    pub zones: f64,
    /// Between regions.
    pub regions: f64,
    /// Up to this share more, at random.
    pub jitter: f64,
}

/// How clients go on when they are refused.
#[derive(Debug, Clone, PartialEq)]
pub struct Clients {
    /// Tries of one request at most.
    pub tries: u32,
    /// The share of clients that stay away for as long as they are asked to.
    pub heed: f64,
    /// How unevenly requests are spread over sidecars: sigma of the logarithm of a sidecar's share.
    pub uneven: f64,
}

/// How discovery answers.
#[derive(Debug, Clone, PartialEq)]
pub struct DiscoverySpec {
    /// Milliseconds until an answer or a change is on its way.
    pub late: f64,
    /// Calls that it takes in a second; more are turned away.
    pub calls_per_s: u32,
    /// Sidecars must ask in this time.
    pub must_ask_in: Millis,
}

/// A world.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    /// Everything random follows from this.
    pub seed: u64,
    /// How sidecars meet trouble.
    pub mode: Mode,
    /// How many sidecars, spread evenly over all zones.
    pub members: usize,
    /// Regions.
    pub regions: Vec<Region>,
    /// Servers of each zone.
    pub servers: usize,
    /// Cores of a server.
    pub cores: usize,
    /// Requests that wait at a server at most; more are turned away as full.
    pub waiting: usize,
    /// Servers of a cell.
    pub cell: usize,
    /// Requests, by [`ClassId`].
    pub classes: Vec<ClassSpec>,
    /// First tries as a multiple of what all servers can do.
    pub load: f64,
    /// Clients.
    pub clients: Clients,
    /// The network.
    pub delays: Delays,
    /// Discovery.
    pub discovery: DiscoverySpec,
    /// By what share the speeds of clocks differ at most.
    pub drift: f64,
    /// The module's rule figures.
    pub safety: SlowStartRules,
    /// The fleet's retries as a share of first tries; alone, each sidecar's.
    pub retries: f64,
    /// The share of a class that is let in however much is shed.
    pub class_floor: f64,
    /// Rules of residency at the start, by class: the regions that it may use. Empty: none.
    pub rules: Vec<(String, Vec<String>)>,
}

/// A class, its aim and deadline in milliseconds.
fn class(
    name: &str,
    share: f64,
    work: f64,
    worth: f64,
    [aim, deadline]: [f64; 2],
    effect: Idempotency,
) -> ClassSpec {
    let class = Class {
        latency_objective: aim,
        priority_weight: worth,
        late_weight: 0.2,
        idempotency: effect,
        policy: Default::default(),
    };
    ClassSpec { name: name.to_owned(), share, work, spread: 0.6, deadline, class }
}

impl Default for Spec {
    /// Twelve sidecars and six servers in two zones of one region, in a calm hour.
    fn default() -> Spec {
        let keyed = Idempotency::ByKey { scope: DedupScope::Cell, window: 2_000.0 };
        Spec {
            seed: 1,
            mode: Mode::Alone,
            members: 12,
            regions: regions(1, 2),
            servers: 3,
            cores: 4,
            waiting: 24,
            cell: 3,
            classes: vec![
                class("quote", 0.4, 40.0, 1.0, [300.0, 800.0], Idempotency::Idempotent),
                class("order", 0.2, 80.0, 8.0, [600.0, 1_500.0], keyed),
                class("payment", 0.1, 100.0, 12.0, [700.0, 2_000.0], Idempotency::NotIdempotent),
                class("browse", 0.3, 60.0, 0.4, [400.0, 1_000.0], Idempotency::Idempotent),
            ],
            load: 0.6,
            clients: Clients { tries: 3, heed: 0.8, uneven: 0.3 },
            delays: Delays { near: 0.5, zones: 1.5, regions: 15.0, jitter: 0.5 },
            discovery: DiscoverySpec { late: 20.0, calls_per_s: 2_000, must_ask_in: 10_000.0 },
            drift: 0.005,
            safety: SlowStartRules {
                initial_share: 0.2,
                warm_up: 10_000.0,
                overload_multiple: 2.5,
                overload_window: 2_000.0,
            },
            retries: 0.1,
            class_floor: 0.02,
            rules: Vec::new(),
        }
    }
}

/// Regions by the names that stories use, with so many zones each: `west` has `west-1`, `west-2` and so on.
pub fn regions(count: usize, zones: usize) -> Vec<Region> {
    let known = ["west", "east", "north", "south"];
    let name =
        |number: usize| known.get(number).map_or_else(|| format!("region{number}"), |n| (*n).to_owned());
    let zones = |name: &str| (1..=zones).map(|zone| format!("{name}-{zone}")).collect();
    (0..count).map(name).map(|name| Region { zones: zones(&name), name }).collect()
}

impl Spec {
    /// All zones in order, each with its region's number.
    pub fn zones(&self) -> Vec<(String, usize)> {
        let named = self.regions.iter().enumerate();
        named.flat_map(|(number, region)| region.zones.iter().map(move |z| (z.clone(), number))).collect()
    }

    /// Milliseconds of work of a mean request.
    pub fn mean_work(&self) -> f64 {
        let all: f64 = self.classes.iter().map(|class| class.share).sum();
        self.classes.iter().map(|class| class.share * class.work).sum::<f64>() / all
    }

    /// Requests a second that all servers can do.
    pub fn capacity(&self) -> f64 {
        (self.zones().len() * self.servers * self.cores) as f64 * 1e3 / self.mean_work()
    }

    /// Requests that all members together may send a server in the time in which it falls, while it has this share
    /// of its capacity. More than this and it falls.
    pub fn cold_bound(&self, warmth: f64) -> f64 {
        let requests = self.cold_requests(warmth);
        requests + 3.0 * requests.sqrt() + 3.0
    }

    /// The mean number of requests that the settings allow for the same.
    pub fn cold_requests(&self, warmth: f64) -> f64 {
        let per_ms = self.cores as f64 / self.mean_work();
        self.safety.overload_multiple * warmth * per_ms * self.safety.overload_window
    }

    /// What the module of a sidecar in this zone is told.
    pub fn settings(&self, zone: usize) -> Settings {
        Settings {
            classes: self.classes.iter().map(|spec| spec.class.clone()).collect(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            zone: ZoneId(zone as u64),
            sidecars: self.members as u32,
            cross_zone_cost: 0.01,
            load_poll_cost: 0.05,
            limits: Limits {
                max_attempts: 3,
                concurrent_attempts: true,
                load_polls: true,
                cancel: true,
                max_retry_after: 1_000.0,
                tick: 4.0,
            },
            slow_start: self.safety.clone(),
            weights_are_capacities: true,
            weight_per_work: false,
            retry_budget: Some(routes::policy::Budget {
                share: routes::units::Share(self.retries),
                burst: 10,
            }),
            hedge_budget: None,
        }
    }
}
