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
        for (name, value) in standings.metrics() {
            let line = match self.format {
                Format::Statsd => format!("harelock.fleet_{name}:{value}|g\n"),
                Format::Influx => format!("harelock_fleet_{name} value={value} {now}\n"),
            };
            self.put(to, &line);
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use concert::View;
    use tokio::sync::watch;

    use super::*;
    use crate::engine::ClusterStatus;
    use crate::operator::Figures as Settings;

    /// The lines of a flush, as far as they are of a fleet.
    fn lines(format: Format, fleet: Option<watch::Receiver<ClusterStatus>>) -> Vec<String> {
        let settings = Settings { format, stderr: false, ..Settings::default() };
        let figures = Figures::start(settings, ["bill"].into_iter(), fleet).expect("it starts");
        let in_flight = figures.begin(Some(0));
        in_flight.refused(Reason::Residency);
        in_flight.answered(503);
        let mut collected = figures.collected();
        figures.count(&mut collected, 0, Some(503), Duration::ZERO, 7);
        figures.put_fleet(&mut collected, 7);
        let text = String::from_utf8(collected.lines.take().bytes).expect("text");
        text.lines().filter(|line| !line.contains("answer")).map(str::to_owned).collect()
    }

    #[test]
    fn a_refusal_has_its_reason_and_without_a_fleet_there_is_no_line() {
        let view = View { generation: Some(7), writes_refused: 2, ..View::default() };
        let (_told, fleet) = watch::channel(ClusterStatus { view, ..ClusterStatus::default() });
        assert_eq!(
            lines(Format::Statsd, Some(fleet.clone())),
            [
                "harelock.refused:1|c|#class:bill,reason:residency",
                "harelock.fleet_rules:7|g",
                "harelock.fleet_writes_refused:2|g"
            ]
        );
        assert_eq!(
            lines(Format::Influx, Some(fleet))[..2],
            ["harelock_refused,class=bill,reason=residency count=1i 7", "harelock_fleet_rules value=7 7"]
        );
        assert_eq!(lines(Format::Statsd, None), Vec::<String>::new());
    }
}
