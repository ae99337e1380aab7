//! What a sidecar did, counted by the platform's classes from what the module was told and did.

use std::collections::BTreeMap;

use peers::api::ClassCounts;
use sagemast::api::*;

/// Weight of a period's mean work in the running mean.
const SMOOTH: f64 = 0.1;

/// A request without its answer.
#[derive(Debug)]
struct Open {
    base: usize,
    arrived: Millis,
    sends: u32,
}

/// What was done since it was last asked for.
#[derive(Debug)]
pub(crate) struct Counts {
    /// By the platform's classes: the aim, and whether later answers earn anything.
    aims: Vec<(Millis, bool)>,
    /// Which of these each class of the module is or was made of.
    bases: Vec<usize>,
    open: BTreeMap<RequestId, Open>,
    done: Vec<ClassCounts>,
    /// How long a mean server takes for the mean arrival.
    work: Option<Millis>,
}

impl Counts {
    pub fn new(classes: &[Class], bases: Vec<usize>) -> Counts {
        let aims: Vec<_> =
            classes.iter().map(|class| (class.latency_objective, class.late_weight > 0.0)).collect();
        let done = vec![ClassCounts::default(); aims.len()];
        Counts { aims, bases, open: BTreeMap::new(), done, work: None }
    }

    /// The module has other classes.
    pub fn classes(&mut self, bases: Vec<usize>) {
        self.bases = bases;
    }

    /// Which of the platform's classes a class of the module is or was made of.
    pub fn base(&self, class: ClassId) -> Option<usize> {
        self.bases.get(class.0).copied().filter(|base| *base < self.aims.len())
    }

    /// The same for all classes of the module.
    pub fn bases(&self) -> &[usize] {
        &self.bases
    }

    /// Sees what the module was told and did.
    pub fn observed(&mut self, now: Millis, event: &Event, actions: &[Action]) {
        let mut copy = false;
        match event {
            Event::Arrived { request, class, is_retry: repeat, .. } => {
                if let Some(base) = self.base(*class) {
                    let count = &mut self.done[base];
                    *(if *repeat { &mut count.client_retries } else { &mut count.first_attempts }) += 1;
                    self.open.entry(*request).or_insert(Open { base, arrived: now, sends: 0 });
                }
            }
            Event::Finished(end) if end.request_closed || end.outcome == Outcome::Ok => {
                if let Some(Open { base, arrived, .. }) = self.open.remove(&end.request) {
                    let (aim, late) = self.aims[base];
                    let count = &mut self.done[base];
                    let earns = end.outcome == Outcome::Ok && (late || now <= arrived + aim);
                    *(if earns { &mut count.served } else { &mut count.failed }) += 1;
                }
            }
            Event::Abandoned(request) => {
                if let Some(open) = self.open.remove(request) {
                    self.done[open.base].failed += 1;
                }
            }
            Event::Woke(token) => copy = token & 1 == 1,
            _ => {}
        }
        for action in actions {
            match action {
                Action::Send { request, .. } => {
                    let Some(open) = self.open.get_mut(request) else { continue };
                    let count = &mut self.done[open.base];
                    match open.sends {
                        0 => {}
                        _ if copy => count.hedges += 1,
                        _ => count.retries += 1,
                    }
                    open.sends += 1;
                }
                Action::Refuse { request, reason, .. } => {
                    // What residency forbids says nothing about the room that there is.
                    if let Some(open) = self.open.remove(request)
                        && *reason != Reason::Residency
                    {
                        self.done[open.base].rejected += 1;
                    }
                }
                Action::Fail(request) => {
                    if let Some(open) = self.open.remove(request) {
                        self.done[open.base].failed += 1;
                    }
                }
                _ => {}
            }
        }
    }

    /// What was done since the last call. `service` tells how long a mean server takes for each of the platform's
    /// classes, and whether answers have told so.
    pub fn take(&mut self, service: impl Fn(ClassId) -> Option<(Millis, bool)>) -> Vec<ClassCounts> {
        let mut held = vec![0; self.done.len()];
        self.open.values().for_each(|open| held[open.base] += 1);
        let (mut arrivals, mut work) = (0.0, 0.0);
        for (base, count) in self.done.iter_mut().enumerate() {
            let (time, known) = service(ClassId(base)).unwrap_or((0.0, false));
            count.in_flight = held[base];
            count.service_ms = if known { time } else { 0.0 };
            let came = f64::from(count.first_attempts) + f64::from(count.client_retries);
            (arrivals, work) = (arrivals + came, work + came * time);
        }
        if arrivals > 0.0 {
            let mean = work / arrivals;
            let known = self.work.get_or_insert(mean);
            *known += SMOOTH * (mean - *known);
        }
        std::mem::replace(&mut self.done, vec![ClassCounts::default(); self.aims.len()])
    }

    /// How long a mean server takes for the mean arrival; nothing before there were any.
    pub fn work(&self) -> Option<Millis> {
        self.work.filter(|work| *work > 0.0)
    }
}

#[cfg(test)]
mod tests;
