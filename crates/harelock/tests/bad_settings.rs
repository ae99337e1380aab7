//! The program under configuration files that are wrong: at the start it ends and says why, and on SIGHUP it goes on by
//! the file that it has.

mod loopback;

use std::io::Read;
use std::process::Child;

use loopback::*;

/// Ends the program and tells its status and its log.
fn ended(mut child: Child) -> (Option<i32>, String) {
    let mut log = String::new();
    child.stderr.take().expect("a pipe").read_to_string(&mut log).expect("text");
    (child.wait().expect("it has ended").code(), log)
}

/// Settings that are wrong, and the field that must be named.
fn faulty_settings() -> [(String, &'static str); 4] {
    let effect = r#""effect":"once","#;
    let renamed = r#""name":"log""#;
    assert!(SETTINGS.contains(effect) && SETTINGS.contains(renamed));
    [
        (SETTINGS.replace(effect, ""), "settings.classes[2].effect"),
        (SETTINGS.replace("\"once\"", "\"twice\""), "settings.classes[2].effect"),
        (SETTINGS.replace(renamed, r#""name":"fetch""#), "settings.classes[1].name"),
        (SETTINGS.replace("\"peers_total\":3,", ""), "settings.peers_total"),
    ]
}

fn configuration(settings: &str) -> String {
    config("127.0.0.1:0", "127.0.0.1:1".parse().expect("an address"), "null", 1024, settings)
}

#[test]
fn a_start_with_faulty_settings_ends_and_names_the_field() {
    for (settings, field) in faulty_settings() {
        let (status, log) = ended(spawn(&configuration(&settings)));
        assert_eq!(status, Some(1), "{field}: {log}");
        assert!(log.contains(field) && !log.contains("panicked"), "{field}: {log}");
        assert_eq!(log.lines().count(), 1, "{field}: {log}");
    }
}

#[test]
fn sighup_with_faulty_settings_leaves_the_old_ones_in_force() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let (mut sidecar, _discovery) = Sidecar::with(&[&upstream]);
    let stayed = ["SIGHUP: the configuration stays as it was"];
    let junk = ("x".repeat(1 << 20), "expected value");
    for (settings, said) in faulty_settings().into_iter().chain([junk]) {
        let (stayed_before, lines_before) = (sidecar.count(&stayed), sidecar.count(&["SIGHUP"]));
        std::fs::write(&sidecar.path, configuration(&settings)).expect("written");
        sidecar.signal("-HUP");
        until("it has read the file", || sidecar.count(&stayed) > stayed_before);
        assert!(sidecar.has_said(&[stayed[0], said]), "{said}");
        assert_eq!(sidecar.count(&["SIGHUP"]), lines_before + 1, "one line for each signal");
        assert_eq!(Client::to(sidecar.address).ask("fetch").status(), 200, "{said}");
    }
    assert!(sidecar.child.try_wait().expect("its status").is_none(), "it runs on");
}
