//! The schema names the keys that the reader takes, and no others.

mod common;

use common::platform;
use routes::{Table, schema::Section};
use serde_json::{Value, json};

/// The keys that the reader is content with at a place, tried one by one: it may find fault with the value.
fn is_known(file: &Value) -> bool {
    let refused = Table::read(&file.to_string(), &platform()).err().unwrap_or_default();
    !refused.iter().any(|refusal| refusal.reason.starts_with("there is no such key"))
}

#[test]
fn the_schema_and_the_reader_have_the_same_keys() {
    let schema = serde_json::to_value(schemars::schema_for!(Section)).expect("a schema");
    let file = |place: &str, key: &str| match place {
        "Section" => json!({"routes": {"table": [], key: 7}}),
        "Route" => json!({"routes": {"table": [{key: 7}]}}),
        "Match" => json!({"routes": {"table": [{"match": {key: 7}}]}}),
        "Backoff" => json!({"routes": {"table": [{"backoff": {key: 7}}]}}),
        "Budget" => json!({"routes": {"retry_budget": {key: 7}, "table": []}}),
        "SecondCopy" => json!({"routes": {"table": [{"second_copy": {key: 7}}]}}),
        other => panic!("{other} is new: say where it stands"),
    };
    let mut keys = 0;
    let types = schema["$defs"].as_object().expect("definitions");
    let objects = types.iter().map(|(name, of)| (name.as_str(), of)).chain([("Section", &schema)]);
    for (name, of) in objects {
        let Some(properties) = of["properties"].as_object() else { continue };
        for key in properties.keys() {
            assert!(is_known(&file(name, key)), "{name}.{key} is in the schema alone");
            keys += 1;
        }
        assert!(!is_known(&file(name, "nonsense")), "{name} takes any key");
    }
    // The reader's own keys, by the pages that name them: one more there must come into the schema too.
    let reader = include_str!("../src/read.rs");
    let taken = reader.matches("fields.take(\"").count()
        + reader.matches("fields.need(reader, \"").count()
        + reader.matches("take(&mut fields, \"").count();
    assert_eq!(keys, taken);
}
