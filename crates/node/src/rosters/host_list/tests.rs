//! Tests of decoding lists, with invalid and unknown content.

use super::*;

fn parse(text: &str) -> List {
    serde_json::from_str::<HostList>(text).expect("a list").to_list()
}

#[test]
fn an_invalid_entry_does_not_affect_the_others() {
    let list = parse(
        r#"{"seq":4,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"ready"},
        {"host":"b","dial":"nowhere","health":"ready"},{"host":"c","dial":"127.0.0.1:1","health":"odd"},
        {"host":"d","dial":"127.0.0.1:1","health":"ready","share":null}, 7, [[]], "x", null, true,
        {"host":{"a":[1]},"dial":"127.0.0.1:1","health":"ready"}]}"#,
    );
    let names: Vec<&str> = list.entries.iter().map(|host| &*host.host).collect();
    assert_eq!(names, ["a"]);
    assert_eq!(list.unparsed, ["b", "c", "d"], "a server with an invalid entry does not count as missing");
    assert_eq!((list.version, list.resume_from), (4, 0), "the complete list is requested again");
}

/// Guards against forwarding requests to a draining server because another field of its entry is invalid.
#[test]
fn draining_is_recognised_in_an_otherwise_invalid_entry() {
    let list = parse(
        r#"{"seq":4,"hosts":[{"host":"a","dial":7,"health":"draining"},{"host":"b","health":"gone"},
        {"host":"c","health":"ready"}]}"#,
    );
    assert_eq!((list.draining, list.unparsed), (vec!["a".to_owned(), "b".to_owned()], vec!["c".to_owned()]));
}

#[test]
fn known_fields_are_decoded_and_unknown_ones_ignored() {
    let list = parse(
        r#"{"seq":9,"whole":true,"more":[{}],"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"draining","site":"x",
        "class":"m","block":3,"share":2,"born_ms":17.5,"tags":{"a":[1,{}]},"host":"b"}]}"#,
    );
    let expected = Entry {
        host: "b".to_owned(),
        dial: "127.0.0.1:1".parse().expect("an address"),
        zone: "x".to_owned(),
        kind: "m".to_owned(),
        cell: 3,
        serving: false,
        weight: 2.0,
        started_ms: 17.5,
    };
    assert_eq!((list.entries, list.complete, list.resume_from), (vec![expected], true, 9));
}

/// Guards against a process that never becomes ready because it requests the changes since a list that it
/// does not have.
#[test]
fn after_an_empty_complete_list_the_complete_list_is_requested() {
    assert_eq!(parse(r#"{"seq":41,"whole":true,"hosts":[]}"#).resume_from, 0);
    assert_eq!(parse(r#"{"seq":41,"hosts":[]}"#).resume_from, 41, "an empty set of changes is valid");
}

#[test]
fn a_list_may_have_the_maximum_number_of_entries_and_no_more() {
    let entry = r#"{"host":"a","dial":"127.0.0.1:1","health":"ready"}"#;
    let list_json = |count: usize| format!(r#"{{"seq":1,"hosts":[{}]}}"#, vec![entry; count].join(","));
    assert_eq!(parse(&list_json(MAX_ENTRIES)).entries.len(), MAX_ENTRIES);
    assert!(serde_json::from_str::<HostList>(&list_json(MAX_ENTRIES + 1)).is_err());
}
