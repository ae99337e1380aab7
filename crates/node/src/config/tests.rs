//! What a configuration must hold, and how one that is wrong is refused.

use sagemast::Balancer;
use sagemast::api::{
    CellId, ClassId, Event, KindId, Lifecycle, ListUpdate, Listing, RequestId, TenantId, UpstreamId, ZoneId,
};
use serde_json::{Value, json};

use super::*;
use crate::module_settings::module_settings;

const MINIMAL: &str = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{
    "classes":[{"name":"a","aim":250.0,"hard_limit":900.0,"importance":2.0,"effect":"repeatable"}],
    "allowed":{"max_attempts":3},"peers_total":3,"membership_mode":"automatic","telemetry":{},
    "invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500.0}}}"#;

#[test]
fn a_minimal_configuration_is_enough() {
    let config = Config::parse(MINIMAL.as_bytes()).expect("it holds all that is needed");
    assert_eq!(config.limits.clients(), 341, "a third of the descriptors");
    assert_eq!(config.limits.upstreams(), 659);
    let scarce = Limits { memory_mb: 16, ..config.limits };
    assert_eq!((scarce.clients(), scarce.upstreams()), (64, 64), "memory binds before sockets");
    assert!(config.known.is_none());
}

#[test]
fn nonsense_is_told_from_a_configuration() {
    for (from, to) in [
        (r#""aim":250.0"#, r#""aim":-1"#),
        (r#""name":"a""#, r#""name":"""#),
        (r#""max_attempts":3"#, r#""max_attempts":0"#),
        (r#""listen":"127.0.0.1:0""#, r#""listen":"here""#),
        (r#""cold_share":0.1"#, r#""cold_share":0"#),
        (r#""classes":["#, r#""klasses":["#),
    ] {
        assert!(MINIMAL.contains(from), "{from}");
        assert!(Config::parse(MINIMAL.replace(from, to).as_bytes()).is_err(), "{to}");
    }
}

/// Clients, upstreams and the process's own descriptors fit into the limit, whatever it is, and discovery's two watches
/// are among the process's own.
#[test]
fn the_descriptors_of_all_sides_sum_to_the_limit() {
    for sockets in MIN_SOCKETS..5_000 {
        let limits = Limits { sockets, memory_mb: 1 << 20 };
        let spent = limits.clients() + limits.upstreams() + OWN_SOCKETS;
        assert!(spent <= sockets, "{sockets}: {spent}");
    }
}

/// Guards against limits that connections and messages exceed together.
#[test]
fn the_memory_of_all_parts_sums_to_the_limit() {
    for memory_mb in 32..=512 {
        for (sockets, tls) in [(256, false), (1_024, false), (1_024, true), (65_536, true)] {
            let limits = Limits { sockets, memory_mb };
            let memory = limits.message_memory(tls);
            let pools = memory.requests.bytes() + memory.answers.bytes() + memory.read_ahead.bytes();
            let client_kib = CLIENT_KIB + if tls { TLS_KIB } else { 0 };
            let connections_kib = limits.clients() * client_kib + limits.upstreams() * UPSTREAM_KIB;
            let spent_kib = PROCESS_KIB + connections_kib + pools / 1_024;
            assert!(spent_kib <= memory_mb * 1_024, "{memory_mb} MB, {sockets} descriptors: {spent_kib} KiB");
        }
    }
}

/// A configuration with every field that the program reads.
const COMPLETE: &str = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f","limits":{"memory_mb":64,
"sockets":256},"known":{"seq":1,"whole":true,"hosts":[]},"settings":{"classes":[
{"name":"a","aim":250.0,"hard_limit":900.0,"importance":2.0,"late_worth":0.1,"effect":"repeatable"},
{"name":"b","aim":250.0,"hard_limit":900.0,"importance":2.0,"effect":"by_key","dedup_scope":"zone","window":900.0}],
"tenants":[{"name":"t","quota_per_s":10.0},{"name":"u","quota_per_s":20.0}],"over_share_worth":0.1,"zone":1,
"azs":["x","y"],"kinds":["k","l"],"peers_total":3,"fees":{"probe":0.01},"allowed":{"max_attempts":3,
"may_duplicate":true,"probes":true,"cancel":true,"peers":false,"retry_after":true,"max_retry_after":900.0,
"keepalive":9000.0,"connect_timeout":250.0},"invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,
"fall":1500.0,"must_ask_in":5000.0},"period":5.0,"membership_mode":"subscribe","weights":"rough",
"counted_by":"work","telemetry":{"how":"pull","columns":["qps"]}}}"#;

/// Fields without which there is no start.
const REQUIRED: [&str; 17] = [
    "listen",
    "discovery",
    "settings",
    "settings.classes",
    "settings.classes[1].name",
    "settings.classes[1].aim",
    "settings.classes[1].hard_limit",
    "settings.classes[1].importance",
    "settings.classes[1].effect",
    "settings.peers_total",
    "settings.allowed",
    "settings.invariants",
    "settings.invariants.warm_up",
    "settings.invariants.fall",
    "settings.invariants.must_ask_in",
    "settings.membership_mode",
    "settings.telemetry",
];

/// Fields that hold a number.
const NUMBERS: [&str; 21] = [
    "limits.memory_mb",
    "limits.sockets",
    "known.seq",
    "settings.classes[1].aim",
    "settings.classes[1].hard_limit",
    "settings.classes[1].importance",
    "settings.classes[0].late_worth",
    "settings.classes[1].window",
    "settings.tenants[1].quota_per_s",
    "settings.over_share_worth",
    "settings.zone",
    "settings.peers_total",
    "settings.allowed.max_attempts",
    "settings.allowed.max_retry_after",
    "settings.allowed.keepalive",
    "settings.allowed.connect_timeout",
    "settings.invariants.cold_share",
    "settings.invariants.warm_up",
    "settings.invariants.fall_multiple",
    "settings.invariants.must_ask_in",
    "settings.period",
];

fn complete() -> Value {
    serde_json::from_str(COMPLETE).expect("JSON")
}

/// A field by its path, such as `settings.classes[1].aim`.
fn field<'v>(value: &'v mut Value, path: &str) -> &'v mut Value {
    let pointer = format!("/{}", path.replace(['.', '['], "/").replace(']', ""));
    value.pointer_mut(&pointer).unwrap_or_else(|| panic!("there is no {path}"))
}

fn without(path: &str) -> Value {
    let mut config = complete();
    let (object, name) = path.rsplit_once('.').unwrap_or(("", path));
    let object = if object.is_empty() { &mut config } else { field(&mut config, object) };
    object.as_object_mut().expect("an object").remove(name).expect("it was there");
    config
}

fn with(path: &str, value: Value) -> Value {
    let mut config = complete();
    *field(&mut config, path) = value;
    config
}

fn parse(config: &Value) -> Result<Config> {
    Config::parse(config.to_string().as_bytes())
}

/// What is said of a configuration that is refused. It has to begin with the field at fault, or with a field inside it
/// where an object is expected, and to be one short line.
fn assert_refused(config: &str, path: &str) {
    let refused = format!("{:#}", Config::parse(config.as_bytes()).err().expect(path));
    let named = refused.strip_prefix(path).is_some_and(|rest| rest.starts_with([':', '.', '[']));
    assert!(named, "{path}: {refused}");
    assert!(refused.lines().count() == 1 && refused.len() < 2_000, "{path}: {refused}");
}

/// Sends a request to a server by the settings of a configuration that was taken.
fn try_out(config: &Config) {
    let (settings, _) = module_settings(&config.settings, routes::Table::default());
    let mut module = Balancer::new(settings, config.seed());
    let mut actions = Vec::new();
    let listing = Listing {
        upstream: UpstreamId(1),
        zone: ZoneId(0),
        cell: CellId(0),
        kind: KindId(0),
        lifecycle: Lifecycle::Serving,
        weight: 1.0,
        started: Some(0.0),
    };
    module.handle(1.0, Event::Listed(ListUpdate::Complete(vec![listing])), &mut actions);
    for request in 0..3 {
        let arrived = Event::Arrived {
            request: RequestId(request),
            class: ClassId(1),
            tenant: TenantId(1),
            time_left: 500.0,
            is_retry: false,
        };
        module.handle(2.0 + request as f64, arrived, &mut actions);
    }
    assert!(!actions.is_empty(), "a request is sent or refused");
    assert!(config.limits.clients() > 0 && config.limits.upstreams() > 0);
}

#[test]
fn a_complete_configuration_and_unknown_fields_are_taken() {
    try_out(&parse(&complete()).expect("sound"));
    let text = COMPLETE.replace(r#""listen""#, r#""later":{"x":[1,null]},"listen""#);
    let text =
        text.replace(r#""aim""#, r#""aim_stretch":2,"aim""#).replace(r#""fall""#, r#""rise":1,"fall""#);
    try_out(&Config::parse(text.as_bytes()).expect("sound, with fields of a later version"));
}

#[test]
fn a_missing_field_is_named() {
    for path in REQUIRED {
        assert_refused(&without(path).to_string(), path);
    }
}

#[test]
fn a_field_of_another_type_is_named() {
    for path in REQUIRED.iter().chain(&NUMBERS) {
        for value in [json!(null), json!([[]]), json!(true)] {
            assert_refused(&with(path, value).to_string(), path);
        }
    }
    for path in NUMBERS {
        for value in [json!({}), json!("7")] {
            assert_refused(&with(path, value).to_string(), path);
        }
    }
}

#[test]
fn a_value_that_cannot_work_is_named() {
    for (path, value) in [
        ("listen", json!("here")),
        ("discovery", json!("localhost")),
        ("limits.sockets", json!(10)),
        ("settings.classes", json!([])),
        ("settings.classes[1].name", json!("")),
        ("settings.classes[1].name", json!("a")),
        ("settings.classes[1].effect", json!("twice")),
        ("settings.classes[1].effect", json!("a\nb")),
        ("settings.classes[1].dedup_scope", json!("rack")),
        ("settings.tenants[1].name", json!("t")),
        ("settings.azs[1]", json!("x")),
        ("settings.kinds[1]", json!("k")),
        ("settings.membership_mode", json!("sometimes")),
        ("settings.allowed.max_attempts", json!(0)),
        ("settings.invariants.must_ask_in", json!(0)),
        ("settings.fees.probe", json!("dear")),
    ] {
        assert_refused(&with(path, value).to_string(), path);
    }
}

/// A number is refused by its field, or it can be worked with.
#[test]
fn absurd_numbers_are_named_or_harmless() {
    for path in NUMBERS {
        for number in
            ["0", "-1", "1e-300", "5e-324", "0.5", "1e308", "-1e308", "4294967295", "18446744073709551615"]
        {
            let number: Value = serde_json::from_str(number).expect("JSON");
            let config = with(path, number.clone());
            match parse(&config) {
                Ok(config) => try_out(&config),
                Err(_) => assert_refused(&config.to_string(), path),
            }
        }
    }
    let beyond = COMPLETE.replace(r#""warm_up":2e4"#, r#""warm_up":1e999"#);
    assert_refused(&beyond, "settings.invariants.warm_up");
    assert!(Config::parse(COMPLETE.replace("2e4", "NaN").as_bytes()).is_err());
}

#[test]
fn a_megabyte_of_junk_is_refused_in_a_short_line() {
    let letters = "x".repeat(1 << 20);
    assert_refused(
        &with("settings.classes[0].effect", json!(letters)).to_string(),
        "settings.classes[0].effect",
    );
    for junk in [
        letters.clone(),
        "[".repeat(1 << 20),
        "{\"a\":".repeat(1 << 18),
        format!("\"{letters}\""),
        "\0".repeat(1 << 20),
    ] {
        let refused = format!("{:#}", Config::parse(junk.as_bytes()).err().expect("junk"));
        assert!(refused.len() < 2_000 && refused.lines().count() == 1, "{refused}");
    }
    let trailing = format!("{COMPLETE}{letters}");
    assert!(Config::parse(trailing.as_bytes()).is_err(), "nothing may follow");
}

/// One that is no number still makes a number.
#[test]
fn any_seed_is_a_seed() {
    for seed in ["", "8c1f30d27a5be964", "zzzz", &"\u{ff}z9~".repeat(4_096)] {
        let config = parse(&with("seed", json!(seed))).expect("sound");
        try_out(&config);
    }
    let zone = "\u{ff}~".repeat(4_096);
    assert!(parse(&complete()).expect("sound").settings.zone_number(&zone) > 1, "one that is not listed");
}
