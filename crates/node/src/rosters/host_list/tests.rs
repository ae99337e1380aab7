//! Lists as discovery may write them.

use super::*;

fn read(text: &str) -> List {
    serde_json::from_str::<HostList>(text).expect("a list").to_list()
}

#[test]
fn a_broken_entry_leaves_the_others() {
    let list = read(
        r#"{"seq":4,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"ready"},
        {"host":"b","dial":"nowhere","health":"ready"},{"host":"c","dial":"127.0.0.1:1","health":"odd"},
        {"host":"d","dial":"127.0.0.1:1","health":"ready","share":null}, 7, [[]], "x", null, true,
        {"host":{"a":[1]},"dial":"127.0.0.1:1","health":"ready"}]}"#,
    );
    let names: Vec<&str> = list.entries.iter().map(|host| &*host.host).collect();
    assert_eq!(names, ["a"]);
    assert_eq!(list.unparsed, ["b", "c", "d"], "what cannot be read is not missing");
    assert_eq!((list.version, list.resume_from), (4, 0), "what was not read is asked for once more");
}

/// Guards against sending on to a server that drains, because something else of its entry is broken.
#[test]
fn what_drains_is_told_also_by_an_entry_that_is_broken_otherwise() {
    let list = read(
        r#"{"seq":4,"hosts":[{"host":"a","dial":7,"health":"draining"},{"host":"b","health":"gone"},
        {"host":"c","health":"ready"}]}"#,
    );
    assert_eq!((list.draining, list.unparsed), (vec!["a".to_owned(), "b".to_owned()], vec!["c".to_owned()]));
}

#[test]
fn a_list_holds_what_it_says_and_what_is_unknown_is_passed_over() {
    let list = read(
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

/// Guards against a process that is never ready: it asked what changed since a list that it did not have.
#[test]
fn after_a_list_of_nothing_the_whole_list_is_asked_for() {
    assert_eq!(read(r#"{"seq":41,"whole":true,"hosts":[]}"#).resume_from, 0);
    assert_eq!(read(r#"{"seq":41,"hosts":[]}"#).resume_from, 41, "nothing has changed");
}

#[test]
fn as_many_entries_as_there_may_be_are_read_and_no_more() {
    let entry = r#"{"host":"a","dial":"127.0.0.1:1","health":"ready"}"#;
    let of = |count: usize| format!(r#"{{"seq":1,"hosts":[{}]}}"#, vec![entry; count].join(","));
    assert_eq!(read(&of(MAX_ENTRIES)).entries.len(), MAX_ENTRIES);
    assert!(serde_json::from_str::<HostList>(&of(MAX_ENTRIES + 1)).is_err());
}
