//! The sections of the operators' file, read and refused.

use super::*;

/// What is wrong with a file, in one line.
fn complaint(text: &str) -> String {
    format!("{:#}", Operator::parse(text.as_bytes()).expect_err(text))
}

#[test]
fn what_is_not_named_is_off() {
    let operator = Operator::parse(b"{}").expect("an empty file is sound");
    assert!(operator.address_lists.is_none() && operator.figures.is_none());
    assert!(operator.capture.is_none() && operator.tls.is_none() && operator.peers.is_none());
    assert!(Operator::read(None).expect("no file").address_lists.is_none());
}

#[test]
fn the_address_lists_are_read() {
    let text = br#"{"address_lists":{"deny":["10.8.1.0/24","::ffff:10.9.0.0/112"]}}"#;
    let lists = Operator::parse(text).expect("sound").address_lists.expect("on");
    assert_eq!((lists.allow.len(), lists.deny.len(), lists.proxy_trusted.len()), (0, 2, 0));
}

#[test]
fn tls_is_read() {
    let tls = |text: &str| Operator::parse(text.as_bytes()).expect("sound").tls.expect("a section");
    let usual = tls(r#"{"tls":{}}"#);
    assert_eq!((usual.port, usual.min_version, usual.reload_s), (None, Version::Tls12, 30));
    assert_eq!(tls(r#"{"tls":{"port":7443,"min_version":"1.3"}}"#).min_version, Version::Tls13);
}

#[test]
fn the_capture_is_read() {
    let capture = Operator::parse(br#"{"capture":{}}"#).expect("sound").capture.expect("on");
    assert_eq!((capture.ring_kb, capture.files, capture.file_kb), (768, 8, 1_024));
    assert!(capture.folder.is_none());
}

#[test]
fn the_figures_are_read() {
    let figures = |text: &str| Operator::parse(text.as_bytes()).expect("sound").figures.expect("on");
    let usual = figures(r#"{"figures":{}}"#);
    assert_eq!((usual.format, usual.stderr, usual.flush_ms), (Format::Statsd, true, 1_000));
    assert!(usual.buffer_kb == 64 && usual.file.is_none() && usual.udp.is_none());
    for (text, host, address) in [
        ("127.0.0.1:8125", "127.0.0.1", true),
        ("[::1]:8125", "::1", true),
        ("collector.internal:8125", "collector.internal", false),
    ] {
        let udp = figures(&format!(r#"{{"figures":{{"format":"influx","udp":"{text}"}}}}"#)).udp;
        let udp = udp.expect("a collector");
        assert_eq!((udp.host.as_str(), udp.port, udp.address().is_some()), (host, 8125, address));
    }
}

#[test]
fn a_complaint_names_the_key() {
    for (text, key) in [
        (r#"{"addres_lists":{}}"#, "addres_lists"),
        (r#"{"address_lists":{"denny":[]}}"#, "denny"),
        (r#"{"address_lists":{"deny":["10.8.1.0/24","10.8.1.0/33"]}}"#, "address_lists.deny[1]"),
        (r#"{"address_lists":{"allow":"10.8.1.0/24"}}"#, "address_lists.allow"),
        (r#"{"address_lists":{"proxy_trusted":["front"]}}"#, "address_lists.proxy_trusted[0]"),
        (r#"{"address_lists":{"deny":[],"deny":[]}}"#, "deny"),
        (r#"{"tls":{"port":70000}}"#, "tls.port"),
        (r#"{"tls":{"min_version":"1.1"}}"#, "tls.min_version"),
        (r#"{"tls":{"reload_s":0}}"#, "tls.reload_s"),
        (r#"{"tls":{"cert":"x"}}"#, "cert"),
        (r#"{"capture":{"ring_kb":0}}"#, "capture.ring_kb"),
        (r#"{"capture":{"files":"8"}}"#, "capture.files"),
        (r#"{"capture":{"file_kb":1.5}}"#, "capture.file_kb"),
        (r#"{"capture":{"folder":7}}"#, "capture.folder"),
        (r#"{"capture":{"ring":1}}"#, "ring"),
        (r#"{"figures":{"format":"graphite"}}"#, "figures.format"),
        (r#"{"figures":{"flush_ms":0}}"#, "figures.flush_ms"),
        (r#"{"figures":{"buffer_kb":-1}}"#, "figures.buffer_kb"),
        (r#"{"figures":{"stderr":"yes"}}"#, "figures.stderr"),
        (r#"{"figures":{"udp":"collector"}}"#, "figures.udp"),
        (r#"{"figures":{"udp":"::1:8125x"}}"#, "figures.udp"),
        (r#"{"figures":{"udp":":8125"}}"#, "figures.udp"),
    ] {
        let complaint = complaint(text);
        assert!(complaint.contains(key), "{text}: {complaint}");
    }
    assert!(Operator::parse(b"{} {}").is_err(), "nothing may follow");
    let missing = Operator::read(Some(Path::new("/nowhere/operator.json"))).expect_err("it is missing");
    assert!(format!("{missing:#}").contains("/nowhere/operator.json"), "{missing:#}");
}
