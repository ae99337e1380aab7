use super::*;

#[test]
fn the_command_line_contradicts_itself_nowhere() {
    Cli::command().debug_assert();
}

#[test]
fn the_old_calls_go_on_working() {
    let parse = |args: &[&str]| Cli::try_parse_from([&["harelock"], args].concat()).expect("it is sound");
    assert!(parse(&[]).command.is_none());
    let old = parse(&["--operator", "deploy/operator.json"]);
    assert!(old.command.is_none() && old.run.operator.is_some());
    let replay = parse(&["replay", "--config", "c", "--capture", "a", "--capture", "b"]);
    assert!(matches!(replay.command, Some(Command::Replay(replay)) if replay.captures.len() == 2));
}

#[test]
fn what_is_no_call_is_refused() {
    for args in [
        &["--operator"][..],
        &["--operator", "a", "--operator", "b"],
        &["--operator", "a", "run"],
        &["replay", "--config", "c"],
        &["explain", "--operator", "a", "--config", "c", "PUT", "/"],
        &["explain", "--operator", "a", "--config", "c", "GET", "/", "-H", "x"],
        &["sing"],
    ] {
        assert!(Cli::try_parse_from([&["harelock"], args].concat()).is_err(), "{args:?}");
    }
}
