//! A company under peers that say anything, and two that hear each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use peers::api::{
    Budgets, ChangeReason, ClassPriority, Config, MemberId, Reachability, RegionId, ServerKey, ServerState,
    Timing,
};
use proptest::prelude::*;
use residency::{ClassFacts, Context, Keeper, Rules};
use sagemast::api::{
    Action, AttemptNo, CellId, Class, Finished, Idempotency, KindId, Lifecycle, Limits, ListUpdate, Listing,
    Outcome, RequestId, Settings, SlowStartRules, ZoneId,
};

use super::*;
use crate::api::{Input, Output};

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn settings() -> Settings {
    let class = Class {
        latency_objective: 400.0,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        policy: Default::default(),
    };
    Settings {
        classes: vec![class.clone(), class],
        sidecars: 3,
        limits: Limits { max_attempts: 4, load_polls: true, tick: 5.0, ..Limits::default() },
        slow_start: SlowStartRules {
            initial_share: 0.3,
            warm_up: 8_000.0,
            overload_multiple: 3.0,
            overload_window: 2_000.0,
        },
        ..Settings::default()
    }
}

fn address(member: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + member))
}

fn config(me: u16) -> Config {
    let member = |id: u16| peers::api::Member {
        name: format!("s{id}"),
        address: address(id),
        region: RegionId(0),
        zone: "a".to_owned(),
    };
    Config {
        me: MemberId(me),
        members: (0..3).map(member).collect(),
        regions: vec!["west".to_owned()],
        classes: vec![ClassPriority { priority_weight: 1.0, per_work_unit: false }; 2],
        class_floor: 0.02,
        budgets: Budgets { retries: 0.1, hedges: 0.0 },
        timing: Timing::default(),
    }
}

/// Class `bill` is kept in these zones, `note` is not ruled.
fn rules(generation: u64, zones: &[&str]) -> Rules {
    let text = format!("{zones:?}");
    let section = format!(
        r#"{{"generation": {generation}, "regions": {{"west": {text}}}, "rules": [{{"class": "bill", "regions": ["west"]}}]}}"#
    );
    let section = serde_json::from_str(&section).expect("a section");
    let class = |name: &str| ClassFacts { name: name.to_owned(), ..ClassFacts::default() };
    let context = Context { classes: vec![class("bill"), class("note")], ..Context::default() };
    Rules::read(&section, &context).expect("sound rules")
}

fn setup(me: u16, settings: &Settings, residency: Option<Rules>) -> Setup<'_> {
    let names =
        |(id, class): (usize, &str)| ClassNames { base: ClassId(id), class: class.to_owned(), route: None };
    Setup {
        peers: Some(config(me)),
        incarnation: 1,
        residency,
        seed: u64::from(me),
        settings,
        classes: ["bill", "note"].into_iter().enumerate().map(names).collect(),
        tenants: Vec::new(),
        // The last zone is a stranger to the settings.
        zones: ZONES[..3].iter().map(|zone| (*zone).to_owned()).collect(),
    }
}

fn entry(server: u64, zone: usize, standing: ServerState, started_ms: f64) -> ServerEntry {
    ServerEntry {
        host: format!("h{server}"),
        dial: address(100 + server as u16),
        zone: ZONES[zone].to_owned(),
        kind: "k".to_owned(),
        cell: 0,
        state: standing,
        weight: 2.0,
        started_ms,
    }
}

/// A sidecar: its module, its company and what its process holds.
struct Sidecar {
    company: Company,
    module: Balancer,
    now: Millis,
    zones: Vec<String>,
    servers: BTreeMap<UpstreamId, ServerEntry>,
    /// What its own discovery told last, with the server's life.
    own: BTreeMap<String, (ServerState, f64)>,
    requests: u64,
    sent: Vec<(RequestId, UpstreamId)>,
    out: Vec<(SocketAddr, Vec<u8>)>,
    events: Vec<Event>,
}

impl Sidecar {
    fn new(me: u16, residency: Option<Rules>) -> Sidecar {
        let settings = settings();
        let setup = setup(me, &settings, residency);
        let zones = setup.zones.clone();
        let company = Company::new(setup, 0.0).expect("a sound setup");
        let mut sidecar = Sidecar {
            company,
            module: Balancer::new(settings, 5),
            now: 0.0,
            zones,
            servers: BTreeMap::new(),
            own: BTreeMap::new(),
            requests: 0,
            sent: Vec::new(),
            out: Vec::new(),
            events: Vec::new(),
        };
        sidecar.input(Input::Woke);
        sidecar
    }

    fn input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.company.handle(self.now, &self.module, input, &mut out);
        for output in out {
            match output {
                Output::Event(event) => drop(self.event(event)),
                Output::Entry { entry, .. } => self.apply(entry),
                Output::Send { to, bytes } => self.out.push((to, bytes)),
                Output::WakeAt(_) | Output::Ask(_) | Output::Note(_) => {}
            }
        }
    }

    fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.module.handle(self.now, event.clone(), &mut actions);
        self.company.observed(self.now, &event, &actions);
        self.events.push(event);
        actions
    }

    fn listing(&self, id: UpstreamId, entry: &ServerEntry) -> Listing {
        Listing {
            upstream: id,
            zone: ZoneId(sagemast::settings::number_of_name(&self.zones, &entry.zone)),
            cell: CellId(entry.cell),
            kind: KindId(0),
            lifecycle: if entry.state == ServerState::Serving {
                Lifecycle::Serving
            } else {
                Lifecycle::Draining
            },
            weight: entry.weight,
            started: None,
        }
    }

    fn apply(&mut self, entry: ServerEntry) {
        if let Some((told, life)) = self.own.get(&entry.host) {
            let resurrects = entry.state == ServerState::Serving && *told != ServerState::Serving;
            assert!(!resurrects || entry.started_ms > *life, "{entry:?} was told {told:?}");
        }
        let id = UpstreamId(entry.host[1..].parse().expect("a number"));
        self.servers.insert(id, entry.clone());
        let listing = self.listing(id, &entry);
        self.input(Input::Applied(vec![(id, entry)]));
        self.event(Event::Listed(ListUpdate::Changed(vec![listing])));
    }

    fn list(&mut self, whole: bool, entries: Vec<ServerEntry>) {
        if whole {
            let named = |host: &String| entries.iter().any(|entry| entry.host == *host);
            self.own
                .iter_mut()
                .filter(|(host, _)| !named(host))
                .for_each(|(_, own)| own.0 = ServerState::Gone);
        }
        let id = |entry: &ServerEntry| UpstreamId(entry.host[1..].parse().expect("a number"));
        let entries: Vec<_> = entries.into_iter().map(|entry| (id(&entry), entry)).collect();
        for (id, entry) in &entries {
            self.own.insert(entry.host.clone(), (entry.state, entry.started_ms));
            self.servers.insert(*id, entry.clone());
        }
        let listings = entries.iter().map(|(id, entry)| self.listing(*id, entry)).collect();
        self.input(Input::Listed { version: 1, whole, entries });
        let news = if whole { ListUpdate::Complete(listings) } else { ListUpdate::Changed(listings) };
        self.event(Event::Listed(news));
    }

    /// A request comes; where it was sent, which has to be inside its rings.
    fn request(&mut self, class: ClassId) -> Option<UpstreamId> {
        self.requests += 1;
        let request = RequestId(self.requests);
        let (tenant, time_left) = (TenantId(0), 900.0);
        let actions = self.event(Event::Arrived { request, class, tenant, time_left, is_retry: false });
        self.acted(class, &actions)
    }

    fn acted(&mut self, class: ClassId, actions: &[Action]) -> Option<UpstreamId> {
        let mut to = None;
        for action in actions {
            if let Action::Send { request, upstream, .. } = action {
                let zone = self.servers[upstream].zone.clone();
                assert!(class.0 == 1 || zone == "a" || zone == "b", "{class:?} to {zone}");
                assert!(self.company.may_write(class, TenantId(0), &zone), "what is sent may be written");
                self.sent.push((*request, *upstream));
                to = Some(*upstream);
            }
        }
        to
    }

    fn end(&mut self, outcome: Outcome) {
        let Some((request, upstream)) = self.sent.pop() else { return };
        let (attempt, latency, closed) = (AttemptNo(0), 5.0, outcome == Outcome::Ok);
        let end =
            Finished { request, attempt, upstream, outcome, latency, request_closed: closed, report: None };
        // Which class it was of does not matter here: what follows is checked by the stricter one.
        let actions = self.event(Event::Finished(end));
        let again = actions.iter().find_map(|action| match action {
            Action::Send { upstream, .. } => Some(self.servers[upstream].zone.clone()),
            _ => None,
        });
        if let Some(zone) = again {
            assert!(self.company.may_write(ClassId(1), TenantId(0), &zone));
        }
    }
}

/// What peers may say, and what happens around it.
#[derive(Debug, Clone)]
enum Step {
    Said(Said),
    Listed(bool, Vec<(u64, usize, ServerState, f64)>),
    Request(usize),
    End(bool),
    Wait(f64),
}

#[derive(Debug, Clone)]
enum Said {
    Server(u64, usize, ServerState, f64, ChangeReason),
    Guidance(f64, f64, Vec<u64>),
    Tried(u64, bool),
    Report(u64, f32),
    Fact(u16, u64, Vec<u8>),
    Rules(u64, usize),
}

fn standing() -> impl Strategy<Value = ServerState> {
    prop_oneof![2 => Just(ServerState::Serving), 1 => Just(ServerState::Draining), 1 => Just(ServerState::Gone)]
}

fn said() -> impl Strategy<Value = Said> {
    let why = prop_oneof![
        Just(ChangeReason::NewerList),
        Just(ChangeReason::Withdrawn),
        Just(ChangeReason::Restored)
    ];
    let figure = || prop_oneof![Just(f64::NAN), Just(-1.0), Just(1e300), 0.0..1.0];
    prop_oneof![
        4 => (0..9_u64, 0..4_usize, standing(), 0..3_u32, why)
            .prop_map(|(id, zone, standing, life, why)| Said::Server(id, zone, standing, f64::from(life), why)),
        2 => (figure(), figure(), prop::collection::vec(0..12_u64, 0..6))
            .prop_map(|(one, other, ids)| Said::Guidance(one, other, ids)),
        1 => (0..12_u64, any::<bool>()).prop_map(|(id, well)| Said::Tried(id, well)),
        1 => (0..12_u64, any::<f32>()).prop_map(|(id, figure)| Said::Report(id, figure)),
        1 => (0..4_u16, 0..4_u64, prop::collection::vec(any::<u8>(), 0..170))
            .prop_map(|(owner, key, body)| Said::Fact(owner, key, body)),
        1 => (4..9_u64, 1..3_usize).prop_map(|(generation, zones)| Said::Rules(generation, zones)),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let entry = || (0..9_u64, 0..4_usize, standing(), (0..3_u32).prop_map(f64::from));
    prop_oneof![
        4 => said().prop_map(Step::Said),
        1 => (any::<bool>(), prop::collection::vec(entry(), 0..6)).prop_map(|(w, l)| Step::Listed(w, l)),
        6 => (0..2_usize).prop_map(Step::Request),
        3 => any::<bool>().prop_map(Step::End),
        2 => (1.0..400.0).prop_map(Step::Wait),
    ]
}

impl Sidecar {
    fn say(&mut self, said: Said) {
        let now = self.now;
        let key = |id: u64| ServerKey::of(&format!("h{id}"));
        let mut told = Vec::new();
        match said {
            Said::Server(id, zone, standing, life, why) => {
                told.push(peers::Output::ServerChanged { entry: entry(id, zone, standing, life), why })
            }
            Said::Guidance(one, other, ids) => {
                let keys: Vec<ServerKey> = ids.iter().map(|id| key(*id)).collect();
                let lease = peers::api::SlowStartLease { requests: 3, until: ms(now) + 300 };
                told.push(peers::Output::Guidance(peers::api::Guidance {
                    admit: vec![one, other],
                    retries: Some(peers::api::Allowance { share: one, burst: 2 }),
                    load_polls: Some(keys.clone()),
                    ejection_probes: Some(keys.clone()),
                    slow_start: Some(keys.into_iter().map(|key| (key, lease)).collect()),
                    retry_after_range: Some([one, other]),
                    ..peers::api::Guidance::default()
                }));
            }
            Said::Tried(id, well) => {
                told.push(peers::Output::EjectionProbeEnded { server: key(id), succeeded: well })
            }
            Said::Report(id, figure) => {
                let report = peers::api::LoadReport {
                    in_flight: Some(figure),
                    utilisation: Some(figure),
                    served_per_s: None,
                };
                told.push(peers::Output::LoadReport { server: key(id), report, age: 30 });
            }
            Said::Fact(owner, key, body) => {
                let fact = Fact { kind: FactKind::RESIDENCY_RULES, key, body };
                told.push(peers::Output::FactReceived { owner: MemberId(owner), fact });
            }
            Said::Rules(generation, zones) => {
                let keeper = Keeper::among(&rules(generation, &["a", "b"][..zones]), 1, 9, 0);
                let fact = |(key, body)| Fact { kind: FactKind::RESIDENCY_RULES, key, body };
                let heard = |fact| peers::Output::FactReceived { owner: MemberId(1), fact };
                told.extend(keeper.facts().into_iter().map(fact).map(heard));
            }
        }
        told.into_iter().for_each(|output| self.company.told(now, output));
        self.input(Input::Woke);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::with_cases(300)
    })]

    /// Guards against peers that widen what a sidecar's own rules and discovery say: whatever they say, every send stays in
    /// its rings, no server comes back that its own discovery said leaves, and the module gets figures that are numbers.
    #[test]
    fn whatever_peers_say_rings_and_drains_hold(steps in prop::collection::vec(step(), 1..80)) {
        let mut sidecar = Sidecar::new(0, Some(rules(5, &["a", "b"])));
        sidecar.list(true, (0..8).map(|id| entry(id, id as usize % 4, ServerState::Serving, 0.0)).collect());
        sidecar.now = 5_000.0;
        for step in steps {
            match step {
                Step::Said(said) => sidecar.say(said),
                Step::Listed(whole, list) => {
                    // A list names each server once.
                    let entries: BTreeMap<u64, ServerEntry> = list
                        .into_iter()
                        .map(|(id, zone, standing, life)| (id, entry(id, zone, standing, life)))
                        .collect();
                    sidecar.list(whole, entries.into_values().collect());
                }
                Step::Request(class) => drop(sidecar.request(ClassId(class))),
                Step::End(well) => sidecar.end(if well { Outcome::Ok } else { Outcome::Unreachable }),
                Step::Wait(by) => {
                    sidecar.now += by;
                    sidecar.input(Input::Woke);
                }
            }
        }
        for event in &sidecar.events {
            let text = serde_json::to_string(event).expect("an event");
            let read: Event = serde_json::from_str(&text).expect("an event that a capture holds");
            prop_assert_eq!(&read, event);
        }
    }
}

/// Carries datagrams between two for so long.
fn play(pair: &mut [Sidecar; 2], for_ms: u64) {
    for _ in 0..for_ms / 20 {
        for me in 0..2 {
            pair[me].now += 20.0;
            pair[me].input(Input::Woke);
            for (to, bytes) in std::mem::take(&mut pair[me].out) {
                if to == address(1 - me as u16) {
                    pair[1 - me].input(Input::Datagram { from: address(me as u16), bytes: &bytes });
                }
            }
        }
    }
}

#[test]
fn two_sidecars_share_rules_duties_and_drains() {
    let mut pair = [Sidecar::new(0, Some(rules(5, &["a"]))), Sidecar::new(1, None)];
    let list = || (0..6).map(|id| entry(id, id as usize % 2, ServerState::Serving, 0.0)).collect();
    pair.iter_mut().for_each(|sidecar| sidecar.list(true, list()));
    assert!(pair[1].request(ClassId(0)).is_some(), "it knows of no rules yet");
    pair[1].end(Outcome::Ok);
    play(&mut pair, 6_000);
    for sidecar in &mut pair {
        assert_eq!(sidecar.company.view().generation, Some(5));
        assert_eq!(sidecar.company.view().peers.map(|view| view.living), Some(2));
        for _ in 0..20 {
            let to = sidecar.request(ClassId(0)).expect("there is room");
            assert_eq!(to.0 % 2, 0, "zone a");
            sidecar.end(Outcome::Ok);
        }
        assert!(!sidecar.company.may_write(ClassId(0), TenantId(0), "b"));
        assert_eq!(sidecar.company.view().writes_refused, 1);
        let guided = sidecar.events.iter().rev().find_map(|event| match event {
            Event::Guided(guidance) => Some(guidance.clone()),
            _ => None,
        });
        let duties = guided.and_then(|guidance| guidance.load_poll_targets).expect("duties");
        assert_eq!(duties.len(), 6, "two ask each server, and there are two");
    }
    // The first one's list is newer and says that a server drains.
    let drains = [entry(3, 1, ServerState::Draining, 0.0)];
    let entries = drains.iter().map(|entry| (UpstreamId(3), entry.clone())).collect();
    pair[0].input(Input::Listed { version: 2, whole: false, entries });
    pair[1].input(Input::Reach(Reachability::Down));
    play(&mut pair, 4_000);
    assert_eq!(pair[1].servers[&UpstreamId(3)].state, ServerState::Draining, "told by a peer");
}
