//! The section `peers`, read and refused.

use super::*;
use crate::operator::Operator;

const SECTION: &str = r#"{"peers":{"members":[
    {"name":"s2","address":"10.0.0.2:7946","region":"west","zone":"z1"},
    {"name":"s1","address":"10.0.0.1:7946","region":"east","zone":"z2"}]}}"#;

fn read(text: &str) -> Result<Peers> {
    Ok(Operator::parse(text.as_bytes())?.peers.expect("a section"))
}

#[test]
fn one_file_serves_the_fleet() {
    let peers = read(SECTION).expect("sound");
    let settings = serde_json::from_str(crate::routing::tests::CONFIG).expect("settings");
    let config = peers.config(Some("s2"), &settings).expect("a member");
    assert_eq!(config.me, api::MemberId(1), "members stand in the order of their names");
    assert_eq!(config.regions, ["east", "west"]);
    assert_eq!((config.members[0].region, config.members[1].region), (api::RegionId(0), api::RegionId(1)));
    assert_eq!(config.classes.len(), 2);
    assert_eq!(config.timing, api::Timing::default());
    assert_eq!(peers.bind(Some("s1")).expect("a member"), "10.0.0.1:7946".parse().expect("an address"));
    for (me, environment) in [(None, None), (None, Some("s3")), (None, Some("")), (Some("s1"), Some("s2"))] {
        let peers = Peers { me: me.map(str::to_owned), ..peers.clone() };
        let refused = peers.config(environment, &settings).expect_err("nobody, a stranger or two");
        assert!(refused.to_string().contains("peers.me"), "{refused}");
    }
}

#[test]
fn a_section_that_cannot_work_is_refused_by_key() {
    for (from, to, key) in [
        (r#""name":"s2""#, r#""name":"s1""#, "peers.members[1].name"),
        (r#""name":"s2""#, r#""name":" ""#, "peers.members[0].name"),
        (r#""region":"west""#, r#""region":"""#, "peers.members[0].region"),
        (r#""zone":"z2""#, r#""zone":"""#, "peers.members[1].zone"),
        (r#""zone":"z2""#, r#""zone":"z2","rack":1"#, "rack"),
        ("10.0.0.2:7946", "10.0.0.1:7946", "peers.members[1].address"),
        ("10.0.0.2:7946", "10.0.0.2", "peers.members[0].address"),
        ("10.0.0.2:7946", "10.0.0.2:0", "peers.members[0].address"),
        ("10.0.0.2:7946", "0.0.0.0:7946", "peers.members[0].address"),
        (r#"{"peers":{"#, r#"{"peers":{"me":"s3","#, "peers.me"),
        (r#"{"peers":{"#, r#"{"peers":{"class_floor":1.5,"#, "peers.class_floor"),
        (r#"{"peers":{"#, r#"{"peers":{"budgets":{"retries":-0.1},"#, "peers.budgets.retries"),
        (r#"{"peers":{"#, r#"{"peers":{"timing":{"period_ms":0},"#, "peers.timing.period_ms"),
        (r#"{"peers":{"#, r#"{"peers":{"timing":{"lease_ms":799},"#, "peers.timing.lease_ms"),
        (r#"{"peers":{"#, r#"{"peers":{"timing":{"suspect_ms":100},"#, "peers.timing.suspect_ms"),
        (r#"{"peers":{"#, r#"{"peers":{"timing":{"drift":0.3},"#, "peers.timing.drift"),
        (r#"{"peers":{"#, r#"{"peers":{"timing":{"outage":1},"#, "outage"),
    ] {
        assert!(SECTION.contains(from), "{from}");
        let refused = read(&SECTION.replace(from, to)).expect_err(to);
        assert!(format!("{refused:#}").contains(key), "{to}: {refused:#}");
    }
    let none = read(r#"{"peers":{"members":[]}}"#).expect_err("nobody");
    assert!(none.to_string().contains("peers.members"), "{none}");
}
