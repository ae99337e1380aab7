use hyper::header::HeaderValue;

use super::*;

fn headers(date: &'static str) -> HeaderMap {
    HeaderMap::from_iter([(DATE, HeaderValue::from_static(date))])
}

#[test]
fn the_date_header_is_converted_to_unix_milliseconds() {
    let asked_at = Instant::now();
    let reading = clock_reading(&headers("Sun, 06 Nov 1994 08:49:37 GMT"), asked_at).expect("a reading");
    assert_eq!(reading.unix_ms, 784_111_777_000.0);
    assert_eq!(reading.asked_at, asked_at);
    assert!(reading.answered_at >= asked_at);
}

#[test]
fn a_missing_or_invalid_date_gives_no_reading() {
    assert_eq!(clock_reading(&HeaderMap::new(), Instant::now()), None);
    for date in ["", "now", "Sun, 99 Nov 1994 08:49:37 GMT"] {
        assert_eq!(clock_reading(&headers(date), Instant::now()), None, "{date:?}");
    }
}
