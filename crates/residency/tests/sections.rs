//! Sections of the operators' file: what is refused, with the exact words, and what is taken.

use std::collections::{BTreeMap, BTreeSet};

use residency::{ClassFacts, Context, RouteFacts, Rules, Scope, Section, Service};
use serde_json::{Value, json};

/// Classes with every scope; a route by path, two by headers, and one that takes a class whole; tenants; four zones.
fn context() -> Context {
    let class = |name: &str, scope| ClassFacts { name: name.to_owned(), scope };
    let route = |name: &str, classes: &[(&str, &str)], by_headers| RouteFacts {
        name: name.to_owned(),
        classes: classes.iter().map(|(class, example)| (class.to_string(), example.to_string())).collect(),
        by_headers,
    };
    Context {
        classes: vec![
            class("quote", Scope::Free),
            class("issue", Scope::Zone),
            class("settle", Scope::Cell),
            class("book", Scope::All),
        ],
        routes: vec![
            route("quotes-eu", &[("quote", "GET /quote/eu")], false),
            route("issues-gold", &[("issue", "POST /issue/x with tier: gold")], true),
            route("issues", &[("issue", "POST /issue/x")], false),
            route("settle-gold", &[("settle", "")], true),
        ],
        tenants: vec!["acme".to_owned(), "globex".to_owned()],
        zones: ["z1", "z2", "z3", "z4"].map(str::to_owned).into(),
        cells: BTreeMap::new(),
    }
}

fn section(rules: Value) -> Value {
    json!({ "generation": 7, "regions": { "west": ["z1", "z2"], "east": ["z3"] }, "rules": rules })
}

fn read_in(section: Value, context: &Context) -> Result<Rules, Vec<String>> {
    Rules::read(&serde_json::from_value::<Section>(section).expect("the form is right"), context)
}

fn west(kind: &str, name: &str) -> Value {
    json!({ kind: name, "regions": ["west"] })
}

/// Bad sections with all that is said of them.
fn bad() -> Vec<(Value, Vec<&'static str>)> {
    let with = |regions: Value| json!({ "generation": 1, "regions": regions, "rules": [] });
    vec![
        (
            json!({ "generation": 0, "regions": {}, "rules": [] }),
            vec!["residency.generation: 0 is not between 1 and 9007199254740991"],
        ),
        (
            json!({ "generation": 1u64 << 53, "regions": {}, "rules": [] }),
            vec!["residency.generation: 9007199254740992 is not between 1 and 9007199254740991"],
        ),
        (with(json!({ "": ["z1"] })), vec!["residency.regions: a region has no name"]),
        (with(json!({ "west": [] })), vec!["residency.regions.west: a region without a zone"]),
        (with(json!({ "west": ["z1", ""] })), vec!["residency.regions.west[1]: a zone has no name"]),
        (
            with(json!({ "west": ["z1", "zz2"] })),
            vec!["residency.regions.west[1]: there is no zone \"zz2\"; \"z2\" is meant?"],
        ),
        (with(json!({ "west": ["mars"] })), vec!["residency.regions.west[0]: there is no zone \"mars\""]),
        (
            with(json!({ "west": ["z1", "z1"] })),
            vec!["residency.regions.west[1]: zone \"z1\" is named twice"],
        ),
        (
            with(json!({ "east": ["z1"], "west": ["z2", "z1"] })),
            vec!["residency.regions.west[1]: zone \"z1\" is of region \"east\" already; it is of one only"],
        ),
        (
            section(json!([{ "regions": ["west"] }])),
            vec!["residency.rules[0]: for nobody: name a class, a route or a tenant"],
        ),
        (
            section(json!([{ "class": "quote", "tenant": "acme", "regions": ["west"] }])),
            vec![
                "residency.rules[0]: for class \"quote\" and tenant \"acme\": a rule is for one service only",
            ],
        ),
        (
            section(json!([west("class", "qoute")])),
            vec!["residency.rules[0].class: there is no class \"qoute\"; \"quote\" is meant?"],
        ),
        (
            section(json!([west("class", "weather")])),
            vec!["residency.rules[0].class: there is no class \"weather\""],
        ),
        (
            section(json!([west("class", "acme")])),
            vec!["residency.rules[0].class: there is no class \"acme\"; there is a tenant of that name"],
        ),
        (
            section(json!([west("route", "quotes-e")])),
            vec!["residency.rules[0].route: there is no route \"quotes-e\"; \"quotes-eu\" is meant?"],
        ),
        (
            section(json!([west("tenant", "acne")])),
            vec!["residency.rules[0].tenant: there is no tenant \"acne\"; \"acme\" is meant?"],
        ),
        (
            section(json!([{ "class": "quote", "regions": ["wset"] }])),
            vec!["residency.rules[0].regions[0]: there is no region \"wset\"; \"west\" is meant?"],
        ),
        (
            section(json!([{ "class": "quote", "regions": ["west", "east", "west"] }])),
            vec!["residency.rules[0].regions[2]: region \"west\" is named twice"],
        ),
        (
            section(json!([{ "class": "quote", "regions": [] }])),
            vec!["residency.rules[0].regions: it leaves nobody: no region is named"],
        ),
        (
            json!({ "generation": 1, "regions": { "west": [] }, "rules": [west("class", "quote")] }),
            vec![
                "residency.regions.west: a region without a zone",
                "residency.rules[0].regions: it leaves nobody: no zone in west",
            ],
        ),
        (
            section(json!([west("class", "quote"), west("class", "book"), west("class", "quote")])),
            vec!["residency.rules[2]: class \"quote\" has a rule already, rules[0]"],
        ),
        (
            section(json!([west("class", "quote"), west("tenant", "acme")])),
            vec![
                "residency.rules[1]: two rules for one request, this for tenant \"acme\" and rules[0] for class \
                 \"quote\": one of class \"quote\" from tenant \"acme\"",
            ],
        ),
        (
            section(json!([west("class", "quote"), west("route", "quotes-eu")])),
            vec![
                "residency.rules[1]: two rules for one request, this for route \"quotes-eu\" and rules[0] for class \
                 \"quote\": \"GET /quote/eu\" of class \"quote\" by route \"quotes-eu\"",
            ],
        ),
        (
            section(json!([west("route", "quotes-eu"), west("tenant", "globex")])),
            vec![
                "residency.rules[1]: two rules for one request, this for tenant \"globex\" and rules[0] for route \
                 \"quotes-eu\": \"GET /quote/eu\" of class \"quote\" by route \"quotes-eu\" from tenant \"globex\"",
            ],
        ),
        (
            section(json!([west("route", "issues-gold")])),
            vec![
                "residency.rules[0].route: repeats of class \"issue\" must stay in the zone of the first send, and \
                 \"POST /issue/x with tier: gold\", tried again with its key and other headers, comes to route \
                 \"issues\", which is not kept in the same zones",
            ],
        ),
        (
            section(json!([west("route", "settle-gold")])),
            vec![
                "residency.rules[0].route: repeats of class \"settle\" must stay in the cell of the first send, and a \
                 request, tried again with its key and other headers, comes to no route, and so to any zone",
            ],
        ),
        (
            section(json!([west("class", "qoute"), { "tenant": "acme", "regions": ["esat", "north"] }])),
            vec![
                "residency.rules[0].class: there is no class \"qoute\"; \"quote\" is meant?",
                "residency.rules[1].regions[0]: there is no region \"esat\"; \"east\" is meant?",
                "residency.rules[1].regions[1]: there is no region \"north\"",
            ],
        ),
    ]
}

#[test]
fn bad_sections_are_refused_whole_with_all_that_is_wrong() {
    let bad = bad();
    assert!(bad.len() >= 25);
    for (section, told) in bad {
        assert_eq!(read_in(section.clone(), &context()).expect_err("it is bad"), told, "{section}");
    }
}

#[test]
fn what_depends_on_cells_zones_and_size_is_refused_too() {
    let cells = BTreeMap::from([(4, ["z1", "z4"].map(str::to_owned).into())]);
    let faults = read_in(section(json!([west("class", "settle")])), &Context { cells, ..context() });
    let told = "residency.rules[0].regions: repeats of class \"settle\" must stay in the cell of the first send, and \
                cell 4 has servers in \"z1\" inside and in \"z4\" outside";
    assert_eq!(faults.expect_err("the cell is split"), [told]);

    let tenants = (0..520).map(|n| format!("t{n}")).collect::<Vec<String>>();
    let rules: Vec<Value> = tenants.iter().map(|name| west("tenant", name)).collect();
    let faults = read_in(section(json!(rules)), &Context { tenants, ..context() });
    let faults = faults.map(drop).expect_err("too much");
    assert_eq!(faults, ["residency.rules: 34 messages would be needed to tell them; 32 at most"]);

    let none = Context { tenants: Vec::new(), ..context() };
    let faults = read_in(section(json!([west("tenant", "acme")])), &none).expect_err("no tenants");
    assert_eq!(faults, ["residency.rules[0].tenant: there is no tenant \"acme\"; there is no tenant at all"]);
}

#[test]
fn what_has_the_wrong_form_is_refused_by_its_key() {
    let twice = r#"{"generation":1,"regions":{"west":["z1"],"west":["z2"]},"rules":[]}"#;
    let read =
        Rules::read(&serde_json::from_str(twice).expect("a map keeps what is given twice"), &context());
    assert_eq!(read.expect_err("twice"), ["residency.regions.west: another region has this name too"]);
    for (text, key) in [
        (r#"{"regions":{},"rules":[]}"#, "generation"),
        (r#"{"generation":1,"regions":{},"rules":[],"rule":[]}"#, "`rule`"),
        (r#"{"generation":1,"regions":{},"rules":[{"klass":"quote","regions":[]}]}"#, "`klass`"),
        (r#"{"generation":-1,"regions":{},"rules":[]}"#, "-1"),
        (r#"{"generation":1,"regions":["west"],"rules":[]}"#, "regions by name"),
        (r#"{"generation":1,"regions":{},"rules":[],"unruled":"nowhere"}"#, "`nowhere`"),
    ] {
        let error = serde_json::from_str::<Section>(text).expect_err(text).to_string();
        assert!(error.contains(key), "{text}: {error}");
    }
}

#[test]
fn sound_sections_say_where_services_may_go() {
    let gold = |regions: [&str; 1]| {
        json!([{ "route": "issues-gold", "regions": regions }, { "route": "issues", "regions": regions },
            { "class": "quote", "regions": ["west", "east"] }, { "class": "book", "regions": ["east"] }])
    };
    let rules = read_in(section(gold(["west"])), &context()).expect("sound");
    let zones = |names: &[&str]| names.iter().map(|name| name.to_string()).collect::<BTreeSet<String>>();
    let class = |name: &str| Service::Class(name.to_owned());
    assert_eq!(rules.generation(), 7);
    assert_eq!(rules.of(&class("quote")), Some(&zones(&["z1", "z2", "z3"])));
    assert_eq!(rules.of(&class("book")), Some(&zones(&["z3"])));
    assert_eq!(rules.of(&Service::Tenant("acme".to_owned())), None);
    assert_eq!((rules.region_of("z2"), rules.region_of("z4")), (Some("west"), None));
    let told = rules.explain(&[class("quote"), Service::Tenant("acme".to_owned())]);
    assert_eq!(
        told,
        "residency, generation 7: the rule of class \"quote\" keeps it in west, east: zones z1, z2, z3"
    );
    assert_eq!(rules.explain(&[class("settle")]), "residency, generation 7: no rule is for it: any zone");
    let summary = rules.summary();
    assert!(
        summary
            .starts_with("residency: generation 7, regions: 2, rules: 4\n  class \"book\": east: zones z3")
    );
    assert!(summary.ends_with("of no region, and so outside every rule: zones z4"), "{summary}");
}

#[test]
fn tenants_and_cells_that_lie_inside_are_sound_and_unknown_zones_are_let_be() {
    let rules =
        json!([{ "tenant": "acme", "regions": ["west"] }, { "tenant": "globex", "regions": ["east"] }]);
    let cells =
        BTreeMap::from([(1, ["z1", "z2"].map(str::to_owned).into()), (2, BTreeSet::from(["z3".into()]))]);
    assert!(read_in(section(rules.clone()), &Context { cells, ..context() }).is_ok());
    assert!(read_in(section(rules), &Context { zones: BTreeSet::new(), ..context() }).is_ok());
    assert!(read_in(json!({ "generation": 1, "regions": {}, "rules": [] }), &context()).is_ok());
}
