use std::net::{SocketAddr, UdpSocket};

use super::udp::{DATAGRAM_BYTES, datagrams, in_turn};
use super::*;
use crate::operator::Collector;

fn start(settings: Settings) -> Arc<Figures> {
    let classes = ["statement-issue", "a b,c=d|e\\"];
    Figures::start(Settings { stderr: false, ..settings }, classes.into_iter(), None).expect("it starts")
}

/// All lines that are due, for a target that knows of no drops yet.
fn lines(figures: &Figures) -> Vec<String> {
    figures.flush(7);
    let drops = figures.drops.news(Told::default(), figures.format, 7).lines;
    let collector = figures.udp.as_ref().expect("a collector").socket();
    let receiver = RECEIVER.with_borrow(|receiver| receiver.as_ref().map(|r| r.try_clone().expect("it")));
    drop(collector);
    let mut lines: Vec<String> = drops.lines().map(str::to_owned).collect();
    let mut datagram = [0; 2 * DATAGRAM_BYTES];
    while let Some(Ok(size)) = receiver.as_ref().map(|receiver| receiver.recv(&mut datagram)) {
        assert!(size <= DATAGRAM_BYTES && datagram[size - 1] == b'\n', "whole lines that fit");
        let text = std::str::from_utf8(&datagram[..size]).expect("text");
        lines.extend(text.lines().map(str::to_owned));
    }
    lines
}

thread_local! {
    static RECEIVER: std::cell::RefCell<Option<UdpSocket>> = const { std::cell::RefCell::new(None) };
}

/// Listens on an address that no other socket of a test has; loopback delivers at once.
fn listen(address: &str) -> Collector {
    let receiver = UdpSocket::bind(address).expect("a socket");
    receiver.set_nonblocking(true).expect("it can");
    let to = receiver.local_addr().expect("an address").to_string();
    RECEIVER.set(Some(receiver));
    to.try_into().expect("host and port")
}

#[test]
fn lines_of_statsd() {
    let figures = start(Settings { udp: Some(listen("127.0.0.1:0")), ..Settings::default() });
    let (first, second) = (figures.begin(Some(0)), figures.begin(Some(0)));
    let third = figures.begin(Some(1));
    first.answered(200);
    assert_eq!(
        lines(&figures),
        [
            "harelock.answer_ms:0|ms|#class:statement-issue,outcome:200",
            "harelock.requests:1|c|#class:statement-issue,outcome:200",
            "harelock.in_flight:1|g|#class:statement-issue",
            "harelock.in_flight:1|g|#class:a b_c=d_e_",
            "harelock.in_flight:0|g|#class:other",
        ]
    );
    // A client that leaves is counted, and has no answer time.
    drop(second);
    third.answered(503);
    let told = lines(&figures);
    assert!(told.contains(&"harelock.requests:1|c|#class:statement-issue,outcome:gone".to_owned()));
    assert_eq!(told.iter().filter(|line| line.contains("answer_ms")).count(), 1, "{told:?}");
    assert_eq!(told.iter().filter(|line| line.contains("in_flight:0|g")).count(), 3, "{told:?}");
    assert!(lines(&figures).iter().all(|line| line.contains("in_flight:0|g")), "nothing is told twice");
}

#[test]
fn lines_of_influxdb() {
    let udp = Some(listen("127.0.0.1:0"));
    let figures = start(Settings { udp, format: Format::Influx, ..Settings::default() });
    let took = Duration::from_micros(87_600);
    figures.count(&mut figures.collected(), 0, Some(503), took, 1_718_000_000_000_000_000);
    figures.count(&mut figures.collected(), 1, None, took, 5);
    assert_eq!(
        lines(&figures),
        [
            "harelock_answer,class=statement-issue,outcome=503 ms=88i 1718000000000000000",
            "harelock_requests,class=statement-issue,outcome=503 count=1i 7",
            "harelock_requests,class=a\\ b\\,c\\=d|e_,outcome=gone count=1i 7",
            "harelock_in_flight,class=statement-issue value=0i 7",
            "harelock_in_flight,class=a\\ b\\,c\\=d|e_ value=0i 7",
            "harelock_in_flight,class=other value=0i 7",
        ]
    );
}

#[test]
fn a_full_buffer_drops_its_oldest_lines_and_says_so() {
    let figures = start(Settings { udp: Some(listen("127.0.0.1:0")), buffer_kb: 1, ..Settings::default() });
    for status in 0..100 {
        figures.count(&mut figures.collected(), 0, Some(100 + status), Duration::ZERO, 1);
    }
    assert!(figures.collected().lines.size() <= 1024);
    let told = lines(&figures);
    let drops: u64 = told[0].strip_prefix("harelock.figures_dropped:").expect("it says so")[..]
        .split('|')
        .next()
        .and_then(|count| count.parse().ok())
        .expect("a count");
    assert!(told[0].ends_with("|c|#target:buffer"), "{}", told[0]);
    // 100 timers, 100 counters and 3 gauges came; the news of drops stand twice in `told`.
    assert_eq!(told.len() as u64 - 2 + drops, 203);
    assert!(told.iter().any(|line| line.contains("outcome:199")), "the newest are kept");
    let mut buffer = Buffer::new(4);
    assert_eq!([buffer.push("12345\n"), buffer.push("12\n"), buffer.push("34\n")], [1, 0, 1]);
    let Lines { bytes, count } = buffer.take();
    assert_eq!((bytes, count), (b"34\n".to_vec(), 1));
}

#[test]
fn a_collector_is_looked_up_by_name_and_its_addresses_take_turns() {
    let Collector { port, .. } = listen("127.0.0.1:0");
    let udp = Some(Collector { host: "localhost".to_owned(), port });
    let figures = start(Settings { udp, ..Settings::default() });
    figures.flush(7);
    assert_eq!(figures.drops.count(Place::Udp), 3, "not looked up yet");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let udp = figures.udp.as_ref().expect("a collector");
    runtime.block_on(async {
        let found = async {
            while udp.socket().is_none() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::select! {
            () = udp.keep_up() => {}
            () = found => {}
        }
    });
    assert_eq!(lines(&figures).iter().filter(|line| line.contains("in_flight:0|g")).count(), 3);
    let [four, six, other] =
        ["10.0.0.1:1", "[::1]:1", "10.0.0.2:1"].map(|text| text.parse::<SocketAddr>().expect("an address"));
    let order = |round| in_turn(vec![six, four, other], round).collect::<Vec<_>>();
    assert_eq!([order(0), order(1), order(5)], [[four, other, six], [other, six, four], [six, four, other]]);
    assert_eq!(in_turn(Vec::new(), 3).count(), 0);
}

#[test]
fn datagrams_hold_whole_lines() {
    let text: String = (0..500).map(|n| format!("line {n}{}\n", "x".repeat(n % 90))).collect();
    let cut: Vec<&[u8]> = datagrams(text.as_bytes()).collect();
    assert!(cut.iter().all(|datagram| datagram.len() <= DATAGRAM_BYTES && datagram.ends_with(b"\n")));
    assert!(cut.len() <= text.len() / (DATAGRAM_BYTES - 100) + 1, "none is cut short");
    assert_eq!(cut.concat(), text.as_bytes());
}

/// No one listens at first: each line is dropped and counted, until someone does.
#[test]
fn what_no_one_receives_is_counted() {
    let collector = listen("127.0.83.1:0");
    let address = collector.address().expect("an address").to_string();
    RECEIVER.set(None);
    let figures = start(Settings { udp: Some(collector), ..Settings::default() });
    for _ in 0..200 {
        figures.begin(Some(0)).answered(200);
    }
    figures.flush(7);
    // 200 timers, one counter and three gauges, over many datagrams.
    assert_eq!(figures.drops.count(Place::Udp), 204);
    figures.flush(7);
    assert_eq!(figures.drops.count(Place::Udp), 207, "news of drops are no figures");
    listen(&address);
    figures.begin(Some(0)).answered(200);
    let told = lines(&figures);
    assert!(told.contains(&"harelock.requests:1|c|#class:statement-issue,outcome:200".to_owned()));
    assert_eq!(told.iter().filter(|line| line.contains("dropped:207|c|#target:udp")).count(), 2, "{told:?}");
    assert_eq!(figures.drops.count(Place::Udp), 207, "all came through");
}

#[test]
fn a_file_that_cannot_be_written_leaves_the_others_be() {
    let udp = Some(listen("127.0.0.1:0"));
    // A folder cannot be opened for writing.
    let file = Some(std::env::temp_dir());
    let figures = start(Settings { udp, file, ..Settings::default() });
    figures.flush(7);
    let target = figures.file.as_ref().expect("a file target");
    assert!(target.finish(Duration::from_secs(30)));
    assert_eq!(figures.drops.count(Place::File), 3);
    figures.begin(None).answered(404);
    let told = lines(&figures);
    assert!(told.contains(&"harelock.requests:1|c|#class:other,outcome:404".to_owned()), "{told:?}");
    assert!(told.contains(&"harelock.figures_dropped:3|c|#target:file".to_owned()), "{told:?}");
    assert!(target.finish(Duration::from_secs(30)));
    assert_eq!(
        figures.drops.count(Place::File),
        8,
        "it was tried again: a timer, a counter and three gauges"
    );
}

/// All that the file has, once its thread has written it.
fn written(figures: &Figures, path: &std::path::Path) -> String {
    let target = figures.file.as_ref().expect("a file target");
    assert!(target.finish(Duration::from_secs(30)), "it is written");
    std::fs::read_to_string(path).unwrap_or_default()
}

#[test]
fn a_file_that_fails_for_a_while_gets_lines_again_and_is_told_what_it_missed() {
    // Given a file whose folder is missing
    let parent = tempfile::tempdir().expect("a folder");
    let folder = parent.path().join("later");
    let path = folder.join("figures");
    let figures = start(Settings { file: Some(path.clone()), ..Settings::default() });
    figures.flush(7);
    figures.flush(7);
    assert_eq!(written(&figures, &path), "");
    // When the folder is there
    std::fs::create_dir(&folder).expect("a folder");
    figures.begin(Some(0)).answered(200);
    figures.flush(7);
    // Then the file has all lines from then on, and the count of those before
    let text = written(&figures, &path);
    assert!(text.contains("harelock.requests:1|c|#class:statement-issue,outcome:200\n"), "{text}");
    assert!(text.ends_with("harelock.figures_dropped:6|c|#target:file\n"), "{text}");
    figures.flush(7);
    assert_eq!(written(&figures, &path).matches("dropped").count(), 1, "told once");
}

#[test]
fn lines_begin_behind_a_half_line_that_a_killed_process_left() {
    // Given a file that ends in half a line
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("figures");
    std::fs::write(&path, "harelock.requests:3|c|#class:oth").expect("a file");
    // When the next process writes to it
    let figures = start(Settings { file: Some(path.clone()), ..Settings::default() });
    figures.flush(7);
    // Then no line of its own stands behind the half one
    let text = written(&figures, &path);
    let whole = text.lines().filter(|line| line.starts_with("harelock.in_flight:0|g|#class:")).count();
    assert_eq!((whole, text.lines().count()), (3, 4), "{text}");
}
