use super::*;

#[test]
fn spans_are_read_and_shown_with_their_units() {
    for (text, ms) in [("250ms", 250.0), ("1.5s", 1_500.0), ("2m", 120_000.0), ("0ms", 0.0), ("0.5ms", 0.5)] {
        let span: Span = text.parse().expect(text);
        assert_eq!((span.0, span.to_string().as_str()), (ms, text));
    }
    for (text, part) in [
        ("250", "no unit"),
        ("1h", "no unit of time"),
        ("ms", "begin with a number"),
        ("-1s", "no unit of time"),
        ("1e3ms", "no unit of time"),
        ("1.2.3s", "begin with a number"),
        ("2000m", "longer than a day"),
        ("", "no unit"),
    ] {
        let error = text.parse::<Span>().expect_err(text);
        assert!(error.contains(part), "{text}: {error}");
    }
}

#[test]
fn shares_are_percentages() {
    for (text, share) in [("20%", 0.2), ("0.5%", 0.005), ("100%", 1.0), ("0%", 0.0)] {
        let read: Share = text.parse().expect(text);
        assert_eq!((read.0, read.to_string().as_str()), (share, text));
    }
    for text in ["0.2", "20", "101%", "%", "2 0%", "x%"] {
        assert!(text.parse::<Share>().is_err(), "{text}");
    }
}
