use super::*;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("class-{number}")).collect()
}

#[test]
fn the_log_line_shows_counts_by_name() {
    let mut counters = Counters::default();
    assert!(counters.is_idle());
    *counters.for_class(ClassId(0)) = RequestCounts { arrived: 3, refused: 1, ..RequestCounts::default() };
    counters.count_attempt(Outcome::Reset);
    counters.count_attempt(Outcome::Reset);
    let connections = ConnectionCounts { reused: 7, ..ConnectionCounts::default() };
    let line = counters.log_line(&connections, &names(1)).to_string();
    assert!(line.contains("arrived=3 ") && line.contains("refused=1 "), "{line}");
    assert!(line.contains("attempts reset=2;") && line.contains("reused=7 "), "{line}");
    assert!(!line.contains("class-0"), "a single class is not listed beside the total: {line}");
    assert!(!counters.is_idle());
}

/// Guards against a total that looks healthy and hides a class that is mostly not served.
#[test]
fn the_log_line_lists_classes_one_by_one() {
    let mut counters = Counters::default();
    *counters.for_class(ClassId(2)) =
        RequestCounts { arrived: 9, served: 9, late: 2, ..RequestCounts::default() };
    *counters.for_class(ClassId(0)) =
        RequestCounts { arrived: 4, refused: 4, unsent: 3, ..RequestCounts::default() };
    let line = counters.log_line(&ConnectionCounts::default(), &names(3)).to_string();
    assert!(line.contains("requests arrived=13 served=9 late=2 refused=4 unsent=3 "), "{line}");
    assert!(line.contains("; class-2 arrived=9 served=9 late=2 refused=0 "), "{line}");
    assert!(line.contains("; class-0 arrived=4 served=0 late=0 refused=4 unsent=3 "), "{line}");
    assert!(!line.contains("class-1"), "{line}");
}

/// Guards against log lines that grow with the number of routes in the operators' file.
#[test]
fn the_log_line_lists_only_the_busiest_of_hundreds_of_classes() {
    let mut counters = Counters::default();
    (0..300).for_each(|class| counters.for_class(ClassId(class)).arrived = 1 + class as u32);
    let line = counters.log_line(&ConnectionCounts::default(), &names(300)).to_string();
    assert!(line.contains("; class-299 arrived=300 ") && line.contains("; 292 more classes;"), "{line}");
    assert!(!line.contains("class-291 "), "{line}");
}
