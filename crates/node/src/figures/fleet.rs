//! Figures of a sidecar that acts with a fleet or by rules of residency. Without either there are none of these.

use sagemast::api::Reason;

use super::{Collected, Figures};
use crate::operator::Format;

/// What a reason is called in a tag.
fn name_of(reason: Reason) -> &'static str {
    match reason {
        Reason::Overload => "overload",
        Reason::Residency => "residency",
        Reason::Shed => "shed",
    }
}

impl Figures {
    /// Counts a refusal by its reason.
    pub(super) fn refused(&self, class: usize, reason: Reason) {
        if self.fleet.is_some() {
            *self.collected().refused.entry((class, name_of(reason))).or_default() += 1;
        }
    }

    /// Adds the lines about the fleet.
    pub(super) fn put_fleet(&self, to: &mut Collected, now: u128) {
        let Some(fleet) = &self.fleet else { return };
        for ((class, reason), count) in std::mem::take(&mut to.refused) {
            let class = &self.classes[class];
            let line = match self.format {
                Format::Statsd => format!("harelock.refused:{count}|c|#class:{class},reason:{reason}\n"),
                Format::Influx => {
                    format!("harelock_refused,class={class},reason={reason} count={count}i {now}\n")
                }
            };
            self.put(to, &line);
        }
        let standings = fleet.borrow().clone();
        for (name, value) in standings.figures() {
            let line = match self.format {
                Format::Statsd => format!("harelock.fleet_{name}:{value}|g\n"),
                Format::Influx => format!("harelock_fleet_{name} value={value} {now}\n"),
            };
            self.put(to, &line);
        }
    }
}
