//! How client connections end: clients that leave, pipelined requests, requests that cross a close, and idle clients that
//! hold all connections. The order of events is forced by stopping the process while both sides act.

mod loopback;

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use loopback::*;

/// What happens to a stopped process: all of it is there once it goes on.
fn while_stopped(sidecar: &Sidecar, act: impl FnOnce()) {
    sidecar.signal("-STOP");
    until("it has stopped", || {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", sidecar.child.id())).unwrap();
        stat.rsplit(") ").next().unwrap().starts_with('T')
    });
    act();
    sidecar.signal("-CONT");
}

/// Requests of a class, one after the other.
fn pipeline(class: &str, count: usize) -> Vec<u8> {
    (0..count).flat_map(|_| request(class, 8_000).into_bytes()).collect()
}

#[test]
fn a_client_that_leaves_behind_pipelined_bytes_takes_its_attempt_with_it() {
    for half in [false, true] {
        let silent = Upstream::new(|_| Deed::Silence);
        let (sidecar, _discovery) = Sidecar::with(&[&silent]);
        let mut client = Client::to(sidecar.address);
        client.write(&pipeline("bill", 3));
        until("the first has arrived", || silent.requests().len() == 1);
        client.write(&pipeline("bill", 2));
        if half {
            client.reader.get_ref().shutdown(Shutdown::Write).unwrap();
        } else {
            drop(client);
        }
        let connection = silent.requests()[0].connection;
        until("the attempt is closed", || silent.closed(connection).is_some());
        assert_eq!(silent.requests().len(), 1, "nothing of what came behind it was sent on");
    }
}

#[test]
fn a_client_that_leaves_behind_more_than_is_read_ahead_takes_its_attempt_with_it() {
    let silent = Upstream::new(|_| Deed::Silence);
    let (sidecar, _discovery) = Sidecar::with(&[&silent]);
    let mut client = Client::to(sidecar.address);
    client.send("bill", 600_000);
    until("it has arrived", || silent.requests().len() == 1);
    client.write(&vec![b'x'; 256 << 10]);
    drop(client);
    let connection = silent.requests()[0].connection;
    until("the attempt is closed", || silent.closed(connection).is_some());
}

#[test]
fn nothing_is_sent_for_a_client_that_left_before_it_was_heard() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let (sidecar, _discovery) = Sidecar::with(&[&upstream]);
    let mut known = Client::to(sidecar.address);
    assert_eq!(known.ask("fetch").status(), 200);
    let before = upstream.requests().len();
    while_stopped(&sidecar, || {
        for class in ["fetch", "log", "bill"] {
            // On new connections, which wait to be accepted, whole and closed or half closed.
            let mut gone = Client::to(sidecar.address);
            gone.send(class, 8_000);
            drop(gone);
            let mut half = Client::to(sidecar.address);
            half.send(class, 8_000);
            half.reader.get_ref().shutdown(Shutdown::Write).unwrap();
        }
        known.send("bill", 8_000);
        drop(known);
    });
    let mut other = Client::to(sidecar.address);
    assert_eq!(other.ask("fetch").status(), 200);
    assert_eq!(upstream.requests().len(), before + 1, "only the one whose client waits");
}

#[test]
fn pipelined_requests_are_answered_in_their_order_however_they_come() {
    let upstream = Upstream::new(|message| Deed::ok(message.header("x-request-id").unwrap_or("none")));
    let (sidecar, _discovery) = Sidecar::with(&[&upstream]);
    for (count, step) in [(300, usize::MAX), (300, 4_096), (40, 1)] {
        let mut client = Client::to(sidecar.address);
        let sent = pipeline("fetch", count);
        let mut writer = client.reader.get_ref().try_clone().unwrap();
        let bytes = sent.clone();
        let writing = std::thread::spawn(move || {
            bytes.chunks(step.min(bytes.len())).for_each(|piece| writer.write_all(piece).unwrap());
        });
        let ids: Vec<String> = String::from_utf8(sent)
            .unwrap()
            .lines()
            .filter_map(|line| line.strip_prefix("X-Request-ID: ").map(str::to_owned))
            .collect();
        for id in ids {
            let answer = client.read().expect("an answer for each");
            assert_eq!((answer.status(), answer.body), (200, id.into_bytes()));
        }
        writing.join().unwrap();
    }
}

#[test]
fn pipelined_requests_that_cross_the_end_are_all_answered() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    for signal_first in [true, false] {
        let (mut sidecar, _discovery) = Sidecar::with(&[&upstream]);
        let mut client = Client::to(sidecar.address);
        assert_eq!(client.ask("fetch").status(), 200);
        while_stopped(&sidecar, || {
            if signal_first {
                sidecar.signal("-TERM");
            }
            client.write(&pipeline("fetch", 5));
            if !signal_first {
                sidecar.signal("-TERM");
            }
        });
        for number in 0..5 {
            let answer = client.read().unwrap_or_else(|| panic!("no answer to {number}, {signal_first}"));
            assert_eq!(answer.status(), 200);
        }
        assert!(client.read().is_none(), "then it is closed");
        assert!(sidecar.wait_exit().success());
    }
}

/// Guards against a close between two turns of the HTTP server, which answers so many pipelined requests in each.
#[test]
fn more_pipelined_requests_than_a_turn_takes_are_all_answered_at_the_end() {
    const REQUESTS: usize = 200;
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let (mut sidecar, _discovery) = Sidecar::with(&[&upstream]);
    let mut client = Client::to(sidecar.address);
    assert_eq!(client.ask("fetch").status(), 200);
    while_stopped(&sidecar, || {
        sidecar.signal("-TERM");
        client.write("GET /up HTTP/1.1\r\nHost: a\r\n\r\n".repeat(REQUESTS).as_bytes());
    });
    for number in 0..REQUESTS {
        let answer = client.read().unwrap_or_else(|| panic!("no answer to {number}"));
        assert_eq!(answer.status(), 200);
    }
    assert!(client.read().is_none(), "then it is closed");
    assert!(sidecar.wait_exit().success());
}

/// Guards against a close over a request that was read in part while its client was still writing it.
#[test]
fn a_head_that_is_half_read_at_the_end_is_answered_once_it_is_whole() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let (mut sidecar, _discovery) = Sidecar::with(&[&upstream]);
    let mut client = Client::to(sidecar.address);
    assert_eq!(client.ask("fetch").status(), 200);
    let text = request("fetch", 8_000);
    let (head, last) = text.split_at(text.len() - 1);
    client.write(head.as_bytes());
    std::thread::sleep(Duration::from_millis(100));
    sidecar.signal("-TERM");
    until("it ends", || sidecar.has_said(&["SIGTERM"]));
    std::thread::sleep(Duration::from_millis(100));
    client.write(last.as_bytes());
    assert_eq!(client.read().map(|answer| answer.status()), Some(200));
    assert_eq!(upstream.requests().len(), 2);
    assert!(sidecar.wait_exit().success());
}

#[test]
fn a_request_whose_last_byte_crosses_the_end_is_answered_or_never_sent_on() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    for signal_first in [true, false] {
        let (mut sidecar, _discovery) = Sidecar::with(&[&upstream]);
        let mut client = Client::to(sidecar.address);
        assert_eq!(client.ask("bill").status(), 200);
        let text = request("bill", 8_000);
        let (head, last) = text.split_at(text.len() - 1);
        client.write(head.as_bytes());
        let before = upstream.requests().len();
        while_stopped(&sidecar, || {
            if signal_first {
                sidecar.signal("-TERM");
            }
            client.write(last.as_bytes());
            if !signal_first {
                sidecar.signal("-TERM");
            }
        });
        let answer = client.read();
        let sent_on = upstream.requests().len() - before;
        assert_eq!((answer.map(|answer| answer.status()), sent_on), (Some(200), 1));
        assert!(sidecar.wait_exit().success());
    }
}

#[test]
fn an_answer_outlives_a_close_over_unread_bytes() {
    let go = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let wait = go.clone();
    let upstream = Upstream::new(move |_| Deed::Wait(wait.clone()));
    let (mut sidecar, _discovery) = Sidecar::with(&[&upstream]);
    let mut client = Client::to(sidecar.address);
    client.send("bill", 8_000);
    until("it has arrived", || upstream.requests().len() == 1);
    sidecar.signal("-TERM");
    until("it ends", || sidecar.has_said(&["SIGTERM"]));
    go.store(1, std::sync::atomic::Ordering::SeqCst);
    // The answer is there, and the connection is shut, before the client sends again and reads.
    let mut byte = [0];
    assert_eq!(client.reader.get_ref().peek(&mut byte).unwrap(), 1);
    client.send("bill", 8_000);
    // Time for a reset to come back, if the bytes just written were answered by one.
    std::thread::sleep(Duration::from_millis(100));
    let answer = client.read().expect("the answer to the first");
    assert_eq!(answer.status(), 200);
    drop(client);
    assert!(sidecar.wait_exit().success());
    assert_eq!(upstream.requests().len(), 1, "what came after the close was not sent on");
}

#[test]
fn idle_clients_that_fill_all_connections_make_room() {
    const SOCKETS: usize = 96;
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let known = ready(&[&upstream]);
    let discovery = Discovery::new(&known);
    let text = config("127.0.0.1:0", discovery.address, &known, SOCKETS, SETTINGS);
    let sidecar = Sidecar::start_with(&text, Some(SOCKETS as u32));
    sidecar.wait_up();
    // Each has asked once, so that it counts as a client that may come again.
    let idle: Vec<TcpStream> = (0..SOCKETS)
        .map(|_| {
            let mut stream = TcpStream::connect(sidecar.address).unwrap();
            stream.write_all(b"GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n").unwrap();
            stream
        })
        .collect();
    let begun = Instant::now();
    let mut client = Client::to(sidecar.address);
    assert_eq!(client.ask("fetch").status(), 200);
    // Idle ones are let go after two seconds, and those that waited behind them two seconds later.
    assert!(begun.elapsed() < Duration::from_secs(9), "served after {:?}", begun.elapsed());
    drop(idle);
}

/// Guards against requests that are forwarded because their client's close lies behind more than is read ahead: the answer
/// to the first of them is reset, and that is seen before the next one is sent. One that its client sends again elsewhere
/// would run twice.
#[test]
fn nothing_more_is_forwarded_for_a_client_that_left_with_much_unread() {
    for (class, count) in [("fetch", 3_000), ("log", 3_000), ("bill", 3_000), ("bill", 300)] {
        let go = Arc::new(AtomicUsize::new(0));
        let wait = go.clone();
        let upstream = Upstream::new(move |_| Deed::Wait(wait.clone()));
        let (sidecar, _discovery) = Sidecar::with(&[&upstream]);
        let stream = TcpStream::connect(sidecar.address).unwrap();
        let mut writer = stream.try_clone().unwrap();
        let (first, second, rest) = (request(class, 8_000), request(class, 8_000), pipeline(class, count));
        let bytes = [first.as_bytes(), second.as_bytes(), &rest].concat();
        let writing = std::thread::spawn(move || writer.write_all(&bytes));
        until("the first has arrived", || upstream.requests().len() == 1);
        std::thread::sleep(Duration::from_millis(200));
        // What is not written yet is never written, and the end is behind all that was.
        stream.shutdown(Shutdown::Both).unwrap();
        drop(stream);
        let _ = writing.join().unwrap();
        std::thread::sleep(Duration::from_millis(200));
        go.store(1, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(300));
        let mut again = Client::to(sidecar.address);
        again.write(second.as_bytes());
        assert_eq!(again.read().map(|answer| answer.status()), Some(200));
        let ids: Vec<_> =
            upstream.requests().iter().map(|got| got.header("x-request-id").map(str::to_owned)).collect();
        assert_eq!(ids.len(), 2, "of {count} requests of {class} and one that came again ran {ids:?}");
    }
}

/// Guards against retries for a client whose close nobody can see, because the kernel has no room for it behind what is
/// unread. A client that stays is answered all the same.
#[test]
fn nothing_is_retried_for_a_client_that_may_have_left_behind_a_full_buffer() {
    for leaves in [true, false] {
        let arrived = Arc::new(AtomicUsize::new(0));
        let upstreams = [0, 1].map(|_| {
            let arrived = arrived.clone();
            Upstream::new(move |_| {
                arrived.fetch_add(1, Ordering::SeqCst);
                std::thread::sleep(Duration::from_millis(400));
                Deed::Close
            })
        });
        let (sidecar, _discovery) = Sidecar::with(&upstreams.each_ref());
        let mut client = Client::to(sidecar.address);
        let mut writer = client.reader.get_ref().try_clone().unwrap();
        let writing = std::thread::spawn(move || writer.write_all(&pipeline("fetch", 20_000)));
        until("the first has arrived", || arrived.load(Ordering::SeqCst) == 1);
        std::thread::sleep(Duration::from_millis(200));
        if !leaves {
            assert!(client.read().is_some_and(|answer| answer.status() >= 500), "it is answered");
        }
        let before = arrived.load(Ordering::SeqCst);
        client.reader.get_ref().shutdown(Shutdown::Both).unwrap();
        drop(client);
        let _ = writing.join().unwrap();
        std::thread::sleep(Duration::from_millis(1_000));
        let forwarded = arrived.load(Ordering::SeqCst) - before;
        assert!(forwarded <= usize::from(!leaves), "{forwarded} requests were forwarded, leaves: {leaves}");
    }
}
