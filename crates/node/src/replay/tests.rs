use super::*;
use crate::capture::tests::{Stage, classes, settings, small};

/// Replays files with these texts; the tally and the differences.
pub fn of(files: &[&str], settings: Settings) -> (Tally, Vec<String>) {
    let mut replay = Replay::new(settings, classes());
    let mut out = Vec::new();
    for line in files.iter().flat_map(|text| text.split_inclusive('\n')) {
        let _ = replay.text(line.as_bytes(), &mut out).expect("the classes are the same");
    }
    let lines = String::from_utf8(out).expect("text").lines().map(str::to_owned).collect();
    (replay.tally, lines)
}

/// A capture from its start, and one whose ring is full.
fn captures() -> [String; 2] {
    let mut stage = Stage::new(&small(), 1_718_000_000_000.0);
    stage.run(48);
    let young = stage.text();
    assert!(young.contains("\"start\""));
    stage.run(3_000);
    [young, stage.text()]
}

#[test]
fn an_unchanged_replay_shows_no_differences() {
    for text in captures() {
        let (tally, lines) = of(&[&text], settings());
        assert!(tally.differences == 0 && tally.unread == 0, "{lines:?}");
        assert!(tally.events > 100 && tally.skipped <= 1, "{tally:?}");
    }
}

/// Wherever the oldest lines end, and wherever some are missing, nothing false is printed.
#[test]
fn no_gap_makes_false_differences() {
    let text = &captures()[1];
    let lines: Vec<&str> = text.split_inclusive('\n').collect();
    let mut replayed = 0;
    for cut in (0..lines.len()).step_by(7) {
        let (tally, told) = of(&[&lines[cut..].concat()], settings());
        assert_eq!(tally.differences, 0, "from line {cut}: {told:?}");
        let holed = [&lines[..cut], &lines[(cut + 2).min(lines.len())..]].concat().concat();
        let (holed, told) = of(&[&holed], settings());
        assert_eq!(holed.differences, 0, "without line {cut}: {told:?}");
        replayed += tally.events + holed.events;
    }
    assert!(replayed > 1_000, "{replayed} events");
}

#[test]
fn a_changed_setting_shows_its_lines_with_their_ids() {
    for text in captures() {
        let mut changed = settings();
        changed.limits.load_polls = false;
        let (tally, lines) = of(&[&text], changed);
        assert!(tally.differences > 0 && lines.len() as u64 == tally.differences, "{tally:?}");
        let whole = |line: &String| {
            line.starts_with("id=id-") && line.contains("captured=\"") && line.contains("replayed=\"")
        };
        assert!(lines.iter().all(whole), "{lines:?}");
        assert!(!lines.iter().any(|line| line.contains('#')), "all hosts have names: {lines:?}");
        assert!(lines.iter().any(|line| line.contains("probe ") && line.contains("replayed=\"nothing\"")));
    }
}

#[test]
fn a_changed_line_is_one_difference() {
    let text = &captures()[0];
    let send = text.lines().rfind(|line| line.contains("\"decision\":\"send\"")).expect("a send");
    let other = send.replace("\"timeout\":", "\"timeout\":1");
    let (tally, lines) = of(&[&text.replace(send, &other)], settings());
    assert_eq!((tally.differences, lines.len()), (1, 1), "{lines:?}");
    assert!(lines[0].contains("captured=\"send ") && lines[0].contains("replayed=\"send "), "{lines:?}");
}

#[test]
fn unknown_fields_and_the_log_are_passed_over_and_cut_lines_skipped() {
    let text = &captures()[0];
    let whole = of(&[text], settings()).0;
    let noted = text.replace("{\"t\":", "{\"colour\":{\"n\":[1,\"x\"]},\"t\":");
    assert_eq!(of(&[&noted], settings()).0, whole);
    let logged = text.replace('\n', "\nsagemast: a line\nharelock.in_flight:0|g|#class:other\n");
    assert_eq!(of(&[&logged], settings()).0, whole);
    let last_event = text.rfind("\"told\"").expect("an event");
    let cut = &text[..last_event];
    let tally = of(&[cut], settings()).0;
    assert_eq!((tally.events, tally.unread, tally.differences), (whole.events - 1, 1, 0));
}

#[test]
fn a_restart_begins_anew_and_nothing_is_replayed_twice() {
    let [young, old] = captures();
    let mut next = Stage::new(&small(), 1_718_000_900_000.0);
    next.run(40);
    let (first, second) = (of(&[&young], settings()).0, of(&[&next.text()], settings()).0);
    let (both, lines) = of(&[&young, &next.text()], settings());
    assert_eq!((both.events, both.differences), (first.events + second.events, 0), "{lines:?}");
    // The next run's start is gone, too: its numbers cannot be taken for the first one's.
    next.run(3_000);
    assert_eq!(of(&[&young, &next.text()], settings()).0.differences, 0);
    // Two dumps of one ring in one log.
    let once = of(&[&old], settings()).0;
    assert_eq!(of(&[&old, &old], settings()).0.events, once.events);
    assert_eq!(of(&[&young, &young], settings()).0.events, first.events);
}

#[test]
fn other_classes_are_refused() {
    let mut replay = Replay::new(settings(), vec!["fetch".to_owned()]);
    let text = &captures()[0];
    let line = text.lines().next().expect("a line");
    assert!(replay.text(line.as_bytes(), &mut Vec::new()).is_err());
}

/// What a kill, a disk that failed for a while or a lost page leaves is counted, and what follows is replayed.
#[test]
fn torn_lines_in_any_place_are_counted_and_make_no_differences() {
    let text = &captures()[1];
    let lines: Vec<&str> = text.split_inclusive('\n').collect();
    let cut = lines.len() / 2;
    let (before, torn, after) = (lines[..cut].concat(), lines[cut].trim_end(), lines[cut + 1..].concat());
    let half = &torn[..torn.len() / 2];
    let zeros = "\0".repeat(torn.len());
    for left in [format!("{half}\n"), format!("{zeros}\n"), format!("{zeros}{torn}\n"), "{\n".to_owned()] {
        let (tally, told) = of(&[&before, &left, &after], settings());
        assert_eq!((tally.differences, tally.unread), (0, 1), "{left}: {told:?}");
        assert!(tally.events > 100, "{left}: {tally:?}");
    }
    // The end of one file and the beginning of the next are no line.
    let (tally, told) = of(&[&format!("{before}{half}"), &after], settings());
    assert_eq!((tally.differences, tally.unread), (0, 1), "{told:?}");
}
