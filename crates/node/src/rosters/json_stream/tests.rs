//! Streams of values, however they are chunked and laid out.

use super::*;
use serde_json::Value;

/// Guards against cutting by lines: an indented list was once never read.
#[test]
fn values_are_found_however_they_are_chunked_and_laid_out() {
    let text = "{\"a\":1}\n\n{\n  \"b\": [\n    {\"c\": \"}\\\"{ü\"}\n  ]\n}\n{\"d\":2}{\"e\":[]} \n{\"f\"";
    for size in 1..text.len() {
        let mut values = JsonStream::<Value>::default();
        let mut found = Vec::new();
        for chunk in text.as_bytes().chunks(size) {
            found.extend(values.push(chunk).expect("all can be read"));
        }
        let keys: Vec<String> =
            found.iter().flat_map(|value| value.as_object().expect("one").keys().cloned()).collect();
        assert_eq!(keys, ["a", "b", "d", "e"], "pieces of {size}");
        assert!(values.has_partial_value(), "the last has begun");
    }
}

#[test]
fn space_is_no_value_and_nonsense_is_told_at_once() {
    let mut values = JsonStream::<Value>::default();
    assert!(values.push(b"\n \r\n").expect("space").is_empty() && !values.has_partial_value());
    for text in ["x", "{]", "}", "{\"a\" 1}", "{\"a\":1}\nnone"] {
        assert!(JsonStream::<Value>::default().push(text.as_bytes()).is_err(), "{text}");
    }
}

/// Guards against work that grows with the square of a value's length, and against one that never ends.
#[test]
fn a_long_value_in_small_pieces_is_read_once_and_an_endless_one_ends() {
    let mut values = JsonStream::<Value>::default();
    let entry = b"{\"host\":\"a\"},";
    assert!(values.push(b"[").expect("a beginning").is_empty());
    // Anew at each chunk it would be some 10^11 bytes: minutes.
    for _ in 0..MAX_VALUE_BYTES / entry.len() {
        assert!(values.push(entry).expect("a chunk").is_empty());
    }
    assert!(values.push(entry).is_err());
}
