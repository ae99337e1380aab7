//! A module that goes on from a checkpoint decides as the one that was checkpointed.

mod common;

use common::*;
use sagemast::Balancer;
use sagemast::api::*;

#[test]
fn a_checkpoint_holds_all_that_decides() {
    let mut stage = Harness::new(settings(), (1..6).map(listing).collect());
    let mut dice = oorandom::Rand64::new(3);
    let mut sent = Vec::new();
    for step in 0..400_u32 {
        stage.now += 10.0 * dice.rand_float();
        let text = serde_json::to_string(&stage.balancer).unwrap();
        let read: Balancer = serde_json::from_str(&text).unwrap();
        let mut resumed = read.resume(settings()).expect("the same settings");
        assert_eq!(serde_json::to_string(&resumed).unwrap(), text);
        let event = match (step % 3, sent.pop()) {
            (1, Some((request, upstream))) => Event::Finished(Finished {
                request,
                attempt: AttemptNo(0),
                upstream,
                outcome: if step % 4 == 0 { Outcome::Error } else { Outcome::Ok },
                latency: 50.0 * dice.rand_float(),
                closed: true,
                report: None,
            }),
            (2, _) => Event::Probed {
                upstream: UpstreamId(dice.rand_range(1..6)),
                answered: true,
                report: Some(Report {
                    in_flight: Some(dice.rand_float()),
                    utilisation: Some(dice.rand_float()),
                    ..Report::default()
                }),
            },
            _ => Event::Arrived {
                request: RequestId(u64::from(step)),
                class: ClassId(dice.rand_range(0..5) as usize),
                tenant: TenantId(0),
                time_left: 500.0,
                repeat: false,
            },
        };
        let mut again = Vec::new();
        resumed.handle(stage.now, event.clone(), &mut again);
        let did = stage.handle(event);
        assert_eq!(did, again, "step {step}");
        sent.extend(did.iter().filter_map(|action| match action {
            Action::Send { request, upstream, .. } => Some((*request, *upstream)),
            _ => None,
        }));
    }
}

#[test]
fn a_checkpoint_fits_no_other_classes_or_tenants() {
    let mut stage = Harness::new(settings(), (1..6).map(listing).collect());
    stage.arrive(GLOBALLY_KEYED);
    let text = serde_json::to_string(&stage.balancer).unwrap();
    let read = |text: &str| serde_json::from_str::<Balancer>(text).unwrap();
    let mut fewer = settings();
    fewer.classes.pop();
    assert!(read(&text).resume(fewer).is_none());
    let mut tenants = settings();
    tenants.tenants.push(Tenant { quota_per_s: 1.0 });
    assert!(read(&text).resume(tenants).is_none());
    assert!(text.contains("\"class\":4"), "{text}");
    let absurd = text.replace("\"class\":4", "\"class\":99");
    assert!(read(&absurd).resume(settings()).is_none(), "no module could look that class up");
}

#[test]
fn a_capture_holds_what_a_fleet_told_and_refusals_look_as_before() {
    let (upstream, request) = (UpstreamId(7), RequestId(1));
    let guidance = Guidance {
        admit: vec![0.5],
        retries: Some(Allowance { share: 0.1, burst: 3 }),
        probes: Some([upstream].into()),
        cold: Some([(upstream, ColdLease { requests: 2, until: 5.5 })].into()),
        come_back: Some([0.25, 0.5]),
        ..Guidance::default()
    };
    let rings = vec![[ZoneId(3)].into(), Default::default()];
    let residency = Residency { rings, classes: vec![Some(0), None], tenants: vec![Some(1)] };
    for event in [
        Event::Guided(Box::new(guidance)),
        Event::Reported { upstream, report: Report::default(), age: 2.5 },
        Event::Tried { upstream, well: true },
        Event::Within(residency),
    ] {
        let text = serde_json::to_string(&event).unwrap();
        assert_eq!(serde_json::from_str::<Event>(&text).unwrap(), event, "{text}");
    }
    let refuse = |reason| Action::Refuse { request, retry_after: 1.0, reason };
    let text = r#"{"refuse":{"request":1,"retry_after":1.0}}"#;
    assert_eq!(serde_json::to_string(&refuse(Reason::Overload)).unwrap(), text);
    assert_eq!(serde_json::from_str::<Action>(text).unwrap(), refuse(Reason::Overload));
    let text = serde_json::to_string(&refuse(Reason::Residency)).unwrap();
    assert_eq!(serde_json::from_str::<Action>(&text).unwrap(), refuse(Reason::Residency));
}
