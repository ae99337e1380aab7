//! Checkpoints and captures. A balancer that resumes from a checkpoint decides as the original does, and what
//! a capture stores can be read back.

mod common;

use common::*;
use sagemast::Balancer;
use sagemast::api::*;

/// Guards against state that a checkpoint leaves out. Before each of 400 events the balancer is written as
/// JSON and read back; the copy must be written alike and act alike.
#[test]
fn a_resumed_balancer_decides_as_the_original() {
    let mut harness = Harness::new(settings(), (1..6).map(listing).collect());
    let mut rng = oorandom::Rand64::new(3);
    let mut sent = Vec::new();
    for step in 0..400_u32 {
        harness.now += 10.0 * rng.rand_float();
        let checkpoint = serde_json::to_string(&harness.balancer).unwrap();
        let read: Balancer = serde_json::from_str(&checkpoint).unwrap();
        let mut resumed = read.resume(settings()).expect("the same settings");
        assert_eq!(serde_json::to_string(&resumed).unwrap(), checkpoint);
        let event = match (step % 3, sent.pop()) {
            (1, Some((request, upstream))) => Event::Finished(Finished {
                request,
                attempt: AttemptNo(0),
                upstream,
                outcome: if step % 4 == 0 { Outcome::Error } else { Outcome::Ok },
                latency: 50.0 * rng.rand_float(),
                request_closed: true,
                report: None,
            }),
            (2, _) => Event::LoadPolled {
                upstream: UpstreamId(rng.rand_range(1..6)),
                answered: true,
                report: Some(LoadReport {
                    in_flight: Some(rng.rand_float()),
                    utilisation: Some(rng.rand_float()),
                    ..LoadReport::default()
                }),
            },
            _ => Event::Arrived {
                request: RequestId(u64::from(step)),
                class: ClassId(rng.rand_range(0..5) as usize),
                tenant: TenantId(0),
                time_left: 500.0,
                is_retry: false,
            },
        };
        let mut resumed_actions = Vec::new();
        resumed.handle(harness.now, event.clone(), &mut resumed_actions);
        let actions = harness.handle(event);
        assert_eq!(actions, resumed_actions, "step {step}");
        sent.extend(actions.iter().filter_map(|action| match action {
            Action::Send { request, upstream, .. } => Some((*request, *upstream)),
            _ => None,
        }));
    }
}

/// Guards against a balancer that resumes with a class or tenant that its settings do not have.
#[test]
fn a_checkpoint_of_other_classes_or_tenants_is_rejected() {
    let mut harness = Harness::new(settings(), (1..6).map(listing).collect());
    harness.arrive(GLOBALLY_KEYED);
    let checkpoint = serde_json::to_string(&harness.balancer).unwrap();
    let read = |text: &str| serde_json::from_str::<Balancer>(text).unwrap();
    let mut fewer_classes = settings();
    fewer_classes.classes.pop();
    assert!(read(&checkpoint).resume(fewer_classes).is_none());
    let mut more_tenants = settings();
    more_tenants.tenants.push(Tenant { quota_per_s: 1.0 });
    assert!(read(&checkpoint).resume(more_tenants).is_none());
    assert!(checkpoint.contains("\"class\":4"), "{checkpoint}");
    let unknown_class = checkpoint.replace("\"class\":4", "\"class\":99");
    assert!(read(&unknown_class).resume(settings()).is_none(), "the settings have no such class");
}

/// Guards against captures that cannot be read back. Guidance may have absent parts. A refusal for overload
/// is stored without a `reason` field, as all refusals were before that field existed.
#[test]
fn captured_guidance_and_refusals_are_read_back() {
    let (upstream, request) = (UpstreamId(7), RequestId(1));
    let guidance = Guidance {
        admit_probability: vec![0.5],
        retry_budget: Some(Allowance { share: 0.1, burst: 3 }),
        load_poll_targets: Some([upstream].into()),
        slow_start_leases: Some([(upstream, SlowStartLease { requests: 2, until: 5.5 })].into()),
        retry_after_slice: Some([0.25, 0.5]),
        ..Guidance::default()
    };
    let zone_sets = vec![[ZoneId(3)].into(), Default::default()];
    let residency = Residency { zone_sets, classes: vec![Some(0), None], tenants: vec![Some(1)] };
    for event in [
        Event::Guided(Box::new(guidance)),
        Event::Reported { upstream, report: LoadReport::default(), age: 2.5 },
        Event::EjectionProbeEnded { upstream, recovered: true },
        Event::ResidencyChanged(residency),
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
