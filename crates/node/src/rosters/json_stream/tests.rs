//! Tests of decoding streams of values with any chunks and whitespace.

use super::*;
use serde_json::Value;

/// Guards against splitting the stream by lines, which once left an indented list undecoded.
#[test]
fn values_are_decoded_with_any_chunks_and_whitespace() {
    let text = "{\"a\":1}\n\n{\n  \"b\": [\n    {\"c\": \"}\\\"{ü\"}\n  ]\n}\n{\"d\":2}{\"e\":[]} \n{\"f\"";
    for size in 1..text.len() {
        let mut stream = JsonStream::<Value>::default();
        let mut found = Vec::new();
        for chunk in text.as_bytes().chunks(size) {
            found.extend(stream.push(chunk).expect("valid values"));
        }
        let keys: Vec<String> =
            found.iter().flat_map(|value| value.as_object().expect("an object").keys().cloned()).collect();
        assert_eq!(keys, ["a", "b", "d", "e"], "chunks of {size}");
        assert!(stream.has_partial_value(), "the last value is incomplete");
    }
}

#[test]
fn whitespace_is_no_value_and_invalid_json_fails_at_once() {
    let mut stream = JsonStream::<Value>::default();
    assert!(stream.push(b"\n \r\n").expect("whitespace").is_empty() && !stream.has_partial_value());
    for text in ["x", "{]", "}", "{\"a\" 1}", "{\"a\":1}\nnone"] {
        assert!(JsonStream::<Value>::default().push(text.as_bytes()).is_err(), "{text}");
    }
}

/// Guards against decoding in time quadratic in the length of a value, and against unlimited memory for a
/// value that never ends.
#[test]
fn a_long_value_is_decoded_in_linear_time_and_an_endless_one_is_rejected() {
    let mut stream = JsonStream::<Value>::default();
    let entry = b"{\"host\":\"a\"},";
    assert!(stream.push(b"[").expect("a beginning").is_empty());
    // Parsing from the start of the value at each chunk would read some 10^11 bytes and take minutes.
    for _ in 0..MAX_VALUE_BYTES / entry.len() {
        assert!(stream.push(entry).expect("a chunk").is_empty());
    }
    assert!(stream.push(entry).is_err());
}
