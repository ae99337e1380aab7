//! What counts as having found no room.

use sagemast::api::{Action, Class, ClassId, Event, Idempotency, Reason, RequestId, TenantId};

use super::Counts;

/// How many of three requests count as refused, if the module refuses them for this reason.
fn refused(reason: Reason) -> u32 {
    let class = Class {
        latency_objective: 100.0,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        policy: Default::default(),
    };
    let mut counts = Counts::new(&[class], vec![0]);
    for request in (0..3).map(RequestId) {
        let (class, tenant) = (ClassId(0), TenantId(0));
        let arrived = Event::Arrived { request, class, tenant, time_left: 500.0, is_retry: false };
        counts.observed(0.0, &arrived, &[Action::Refuse { request, retry_after: 0.0, reason }]);
    }
    counts.take(|_| None).iter().map(|count| count.rejected).sum()
}

#[test]
fn requests_that_residency_forbids_did_not_lack_room() {
    assert_eq!(refused(Reason::Residency), 0);
}

#[test]
fn requests_that_found_no_room_or_were_shed_count_as_refused() {
    assert_eq!(refused(Reason::Overload), 3);
    assert_eq!(refused(Reason::Shed), 3);
}
