//! The program's commands, as a process.

use std::process::{Command, Output};

use tempfile::TempDir;

const CONFIG: &str = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{
"classes":[{"name":"statement-issue","aim":600,"hard_limit":1500,"importance":3,"effect":"once"},
{"name":"contribution-post","aim":500,"hard_limit":6000,"importance":2,"effect":"by_key","dedup_scope":"all",
"window":4000}],
"allowed":{"max_attempts":3,"connect_timeout":250},"peers_total":3,"membership_mode":"automatic","telemetry":{},
"invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500}}}"#;

/// Files of one test, removed with it.
struct Files(TempDir);

impl Files {
    fn new() -> Files {
        Files(TempDir::new().expect("a folder"))
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.path().join(name);
        std::fs::write(&path, text).expect("written");
        path.display().to_string()
    }
}

fn harelock(args: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_harelock"));
    let Output { status, stdout, stderr } =
        command.args(args).env_remove("ROUTER_CONFIG").output().expect("it starts");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (status.code(), text(stdout), text(stderr))
}

const BAD: &str = r#"{"routes": {"table": [
  {"name": "statements", "match": {"class": "statement-issue"}, "attempts": 2, "attempt_timeout": "300ms"},
  {"name": "posts", "match": {"class": "contribution-post"}, "attempts": 3, "attempt_timeout": "2s"}
]}}"#;

#[test]
fn a_bad_file_is_refused_with_all_that_is_wrong() {
    let files = Files::new();
    let (config, bad) = (files.file("config.json", CONFIG), files.file("operator.json", BAD));
    let (code, out, _) = harelock(&["check", &bad, "--config", &config]);
    assert_eq!(code, Some(2), "{out}");
    assert!(out.contains(":2:77: routes.table[0].attempts: ") && out.contains("[once]"), "{out}");
    assert!(out.contains("routes.table[1].attempts: ") && out.contains("[window]"), "{out}");
    assert_eq!(out.lines().count(), 2, "{out}");
    let (code, out, _) = harelock(&["check", &bad, "--config", &config, "--json"]);
    assert_eq!(code, Some(2));
    assert!(out.lines().all(|line| line.starts_with("{\"file\":") && line.ends_with('}')), "{out}");
    assert!(out.contains(r#""line":2,"column":77,"path":"routes.table[0].attempts","rule":"once""#), "{out}");
}

#[test]
fn other_sections_are_checked_as_well() {
    let files = Files::new();
    let config = files.file("config.json", CONFIG);
    let bad = files.file("operator.json", r#"{"tls": {"port": 70000}, "routes": {"table": []}}"#);
    let (code, out, _) = harelock(&["check", &bad, "--config", &config]);
    assert_eq!(code, Some(2));
    assert!(out.contains("tls.port"), "{out}");
    let sound = files.file("sound.json", r#"{"figures": {"stderr": false}}"#);
    let (code, out, _) = harelock(&["check", &sound]);
    assert_eq!((code, out.ends_with(": sound\n")), (Some(0), true), "{out}");
    let routes = files.file("routes.json", r#"{"routes": {"table": []}}"#);
    let (code, _, log) = harelock(&["check", &routes]);
    assert!(code == Some(2) && log.contains("--config"), "routes need a platform: {log}");
}

/// A sidecar does not start with routes that break a rule, and says which.
#[test]
fn nothing_is_served_by_a_bad_file() {
    let files = Files::new();
    let (config, bad) = (files.file("config.json", CONFIG), files.file("operator.json", BAD));
    let output = Command::new(env!("CARGO_BIN_EXE_harelock"))
        .args(["run", "--operator", &bad])
        .env("ROUTER_CONFIG", config)
        .output()
        .expect("it starts");
    let log = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(log.contains("operator.json") && log.contains("routes.table[0].attempts"), "{log}");
}

#[test]
fn the_route_of_a_request_is_explained() {
    let files = Files::new();
    let config = files.file("config.json", CONFIG);
    let operator = files.file(
        "operator.json",
        r#"{"routes": {"table": [
  {"name": "posts", "match": {"class": "contribution-post"}, "overall": "5s"},
  {"name": "nightly", "match": {"class": "contribution-post", "headers": {"X-Batch": "nightly-*"}},
   "attempts": 2, "resends": 1, "attempt_timeout": "1s", "backoff": {"first": "100ms", "jitter": "50%"}}
]}}"#,
    );
    let explain = |args: &[&str]| {
        harelock(&[&["explain", "--operator", &operator, "--config", &config], args].concat())
    };
    let (code, out, _) = explain(&["POST", "/contribution-post?k=1", "-H", "X-Batch: nightly-7"]);
    assert_eq!(code, Some(0), "{out}");
    assert!(out.contains("route nightly: the narrowest that matches; wider ones are posts"), "{out}");
    assert!(
        out.contains("send 3: at 2450 ms at the latest, written by 2700 ms, given up by 3450 ms"),
        "{out}"
    );
    let (_, out, _) = explain(&["POST", "/contribution-post"]);
    assert!(out.contains("route posts: the only one that matches"), "{out}");
    let (_, out, _) = explain(&["POST", "/statement-issue/p1"]);
    assert!(out.contains("must never run twice") && out.contains("no route matches"), "{out}");
    let (code, out, _) = explain(&["GET", "/contribution-post"]);
    assert!(code == Some(1) && out.contains("405"), "{out}");
    let (code, out, _) = explain(&["GET", "/nowhere"]);
    assert!(code == Some(1) && out.contains("404"), "{out}");
}

#[test]
fn completions_and_the_manual_name_the_commands() {
    for args in [&["completions", "bash"][..], &["manual"]] {
        let (code, out, _) = harelock(args);
        assert_eq!(code, Some(0));
        assert!(["check", "explain", "replay"].iter().all(|command| out.contains(command)), "{out}");
    }
}

#[test]
fn the_schema_names_every_section() {
    let (code, out, _) = harelock(&["schema"]);
    assert_eq!(code, Some(0));
    let schema: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    let sections: Vec<&str> =
        schema["properties"].as_object().expect("keys").keys().map(String::as_str).collect();
    assert_eq!(sections, ["address_lists", "capture", "figures", "peers", "residency", "routes", "tls"]);
    assert_eq!(schema["additionalProperties"], false);
}

/// The platform of the section `residency`: zones and tenants have names.
fn zoned() -> String {
    CONFIG.replace(r#""peers_total":3"#, r#""peers_total":3,"azs":["z1","z2"],"tenants":[{"name":"acme"}]"#)
}

const RULED: &str = r#"{
  "peers": {"members": [
    {"name": "s1", "address": "10.0.0.1:7946", "region": "west", "zone": "z1"},
    {"name": "s2", "address": "10.0.0.2:7946", "region": "east", "zone": "z2"}]},
  "residency": {"generation": 7, "regions": {"west": ["z1"], "east": ["z2"]},
    "rules": [{"class": "statement-issue", "regions": ["west"]}]}
}"#;

#[test]
fn rules_of_residency_are_checked_and_explained() {
    let files = Files::new();
    let config = files.file("config.json", &zoned());
    let sound = files.file("operator.json", RULED);
    let (code, out, _) = harelock(&["check", &sound, "--config", &config]);
    assert!(code == Some(0) && out.contains("sound") && out.contains("generation 7"), "{out}");
    let (code, _, errors) = harelock(&["check", &sound]);
    assert!(code == Some(2) && errors.contains("--config"), "zones are the platform's: {errors}");
    let explain =
        |path: &str| harelock(&["explain", "--operator", &sound, "--config", &config, "POST", path]).1;
    let ruled = explain("/statement-issue");
    assert!(ruled.contains("keeps it in west: zones z1"), "{ruled}");
    assert!(explain("/contribution-post").contains("no rule is for it"));
    for (from, to, path) in [
        (r#""regions": ["west"]}]"#, r#""regions": ["north"]}]"#, "residency.rules[0].regions[0]"),
        (r#""class": "statement-issue""#, r#""class": "statements""#, "residency.rules[0].class"),
        (r#""west": ["z1"]"#, r#""west": ["z9"]"#, "residency.regions"),
        (r#""zone": "z1""#, r#""zone": "z2""#, "peers.members[0].zone"),
    ] {
        let text = RULED.replace(from, to);
        assert_ne!(text, RULED, "{from}");
        let bad = files.file("bad.json", &text);
        let (code, out, _) = harelock(&["check", &bad, "--config", &config, "--json"]);
        assert!(code == Some(2) && out.contains(&format!(r#""path":"{path}"#)), "{to}: {out}");
        assert!(out.contains(r#""rule":"residency""#), "{out}");
    }
    let bad = files.file("bad.json", &RULED.replace("10.0.0.2", "10.0.0.1"));
    let (code, out, _) = harelock(&["check", &bad, "--config", &config]);
    assert!(code == Some(2) && out.contains("peers.members[1].address"), "{out}");
}

#[test]
fn the_schema_shows_both_sections_of_a_fleet() {
    let (code, out, _) = harelock(&["schema"]);
    let schema: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(code, Some(0));
    for section in ["peers", "residency"] {
        assert!(schema["properties"][section].is_object(), "{section}");
    }
    assert!(out.contains("HARELOCK_MEMBER") && out.contains("election_ms") && out.contains("generation"));
}
