//! `harelock replay`: feeds captured events to the module again, and prints each decision that differs.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, bail};
use sagemast::Balancer;
use sagemast::api::*;

use crate::capture::line::{Line, Module, What};
use crate::config::Config;
use crate::module_settings::module_settings;
use crate::operator::Operator;
use crate::routing::platform;

/// What a replay came to.
#[derive(Debug, Default, PartialEq)]
pub struct Tally {
    /// Events that the module was fed.
    pub events: u64,
    /// Decisions that differ.
    pub differences: u64,
    /// Events that nothing leads up to: what came before them is not in the capture.
    pub skipped: u64,
    /// Lines that cannot be read.
    pub unread: u64,
    /// Lines that had no room in the capture.
    pub left_out: u64,
    /// The longest of them, in bytes.
    pub longest: usize,
    /// What there was room for then.
    pub room: usize,
}

/// Replays captures, in the order given, under a platform's configuration and the routes of an operators' file.
/// Differences go to `out`, a line each,
/// and warnings to `warn`.
pub fn replay(
    config: &Path,
    operator: Option<&Path>,
    captures: &[PathBuf],
    out: &mut dyn Write,
    warn: &mut dyn Write,
) -> Result<Tally> {
    let text = std::fs::read(config).with_context(|| format!("cannot read {}", config.display()))?;
    let config =
        Config::parse(&text).with_context(|| format!("bad configuration in {}", config.display()))?;
    let operator = Operator::read(operator)?;
    let (told, routing) = module_settings(&config.settings, operator.table(&platform(&config.settings))?);
    let mut replay = Replay::new(told, routing.names().to_vec());
    for path in captures {
        let shown = path.display();
        let file = File::open(path).with_context(|| format!("cannot read {shown}"))?;
        let mut reader = BufReader::new(file);
        let mut bytes = Vec::new();
        for number in 1.. {
            bytes.clear();
            if reader.read_until(b'\n', &mut bytes).with_context(|| format!("cannot read {shown}"))? == 0 {
                break;
            }
            let whole = bytes.ends_with(b"\n");
            match replay.text(&bytes, out)? {
                Ok(()) => {}
                Err(_) if !whole => writeln!(warn, "{shown}:{number}: the last line is cut and skipped")?,
                Err(error) => writeln!(warn, "{shown}:{number}: skipped, it cannot be read: {error}")?,
            }
        }
    }
    Ok(replay.tally)
}

/// A replay on its way.
struct Replay {
    settings: Settings,
    classes: Vec<String>,
    /// The module, once a start or a checkpoint was met.
    module: Option<Balancer>,
    /// The number that the next line must have to follow on.
    next: u64,
    /// The number of the start that the lines at hand come from, where it was met.
    start: Option<u64>,
    ids: HashMap<RequestId, String>,
    hosts: HashMap<UpstreamId, String>,
    tally: Tally,
}

impl Replay {
    fn new(settings: Settings, classes: Vec<String>) -> Replay {
        Replay {
            settings,
            classes,
            module: None,
            next: 0,
            start: None,
            ids: HashMap::new(),
            hosts: HashMap::new(),
            tally: Tally::default(),
        }
    }

    /// Takes one line of a file. The log may stand between captured lines: it is passed over. A line of zeros is not of the
    /// log: a machine that lost its power may have them in place of captured lines.
    fn text(&mut self, bytes: &[u8], out: &mut dyn Write) -> Result<serde_json::Result<()>> {
        if !bytes.starts_with(b"{") && !bytes.starts_with(b"\0") {
            return Ok(Ok(()));
        }
        match serde_json::from_slice(bytes) {
            Ok(line) => self.line(line, out).map(Ok),
            Err(error) => {
                self.tally.unread += 1;
                Ok(Err(error))
            }
        }
    }

    fn line(&mut self, line: Line<'_>, out: &mut dyn Write) -> Result<()> {
        let follows = self.module.is_some() && line.n == self.next;
        // The same lines twice, as in two dumps of one ring.
        let seen = self.module.is_some() && line.n < self.next;
        match line.what {
            What::Start { .. } if seen && self.start == Some(line.n) => return Ok(()),
            // Under other routes the module would decide otherwise: what follows is passed over.
            What::Start { classes, .. } | What::Checkpoint { classes, .. }
                if !self.same_routes(&classes)? =>
            {
                self.module = None;
            }
            What::Start { seed, .. } => {
                self.module = Some(Balancer::new(self.settings.clone(), seed));
                self.start = Some(line.n);
                // Its ids begin anew.
                self.ids.clear();
                self.hosts.clear();
            }
            What::Checkpoint { .. } | What::Told { .. } | What::LeftOut { .. } if seen => return Ok(()),
            // What changed settings have led to goes on.
            What::Checkpoint { .. } if follows => {}
            What::Checkpoint { module, .. } => {
                let Module::Read(module) = module else { return Ok(()) };
                let resumed = module.resume(self.settings.clone());
                self.module = Some(resumed.context("a checkpoint does not fit the configuration")?);
                self.start = None;
            }
            What::LeftOut { checkpoint, bytes, most } => {
                self.tally.left_out += 1;
                if bytes > self.tally.longest {
                    (self.tally.longest, self.tally.room) = (bytes, most);
                }
                // Without a checkpoint a replay that comes from the lines before goes on, and no other begins.
                self.module = self.module.take().filter(|_| checkpoint && follows);
            }
            What::Told { at, event } => {
                for named in &line.hosts {
                    self.hosts.insert(named.upstream, named.host.clone().into_owned());
                }
                if let (Some(id), Some(request)) = (&line.id, about(&event)) {
                    self.ids.insert(request, id.clone().into_owned());
                }
                let Some(module) = self.module.as_mut().filter(|_| follows) else {
                    // Fed with a gap before it, the module would decide by what it was never told.
                    self.module = None;
                    self.tally.skipped += 1;
                    return Ok(());
                };
                let mut did = Vec::new();
                let request = about(&event);
                module.handle(at, event, &mut did);
                did.retain(|action| !matches!(action, Action::Log { .. }));
                self.tally.events += 1;
                self.next = line.n + 1;
                return self.compare(line.t, request, line.did, did, out);
            }
        }
        for named in line.hosts {
            self.hosts.insert(named.upstream, named.host.into_owned());
        }
        self.next = line.n + 1;
        Ok(())
    }

    /// Whether a capture was made under these routes. Classes are numbers to the module: under other names they
    /// would be other classes, and with other classes of the platform nothing can be replayed at all.
    fn same_routes(&self, classes: &[String]) -> Result<bool> {
        let own = |names: &[String]| -> Vec<String> {
            names.iter().filter(|name| !name.contains('/')).cloned().collect()
        };
        if own(classes) != own(&self.classes) {
            bail!("the capture has the classes {classes:?}, the configuration {:?}", self.classes);
        }
        Ok(classes == self.classes)
    }

    /// Prints the decisions on one event that are not in both lists, those on the same matter side by side.
    fn compare(
        &mut self,
        t: u64,
        request: Option<RequestId>,
        captured: Vec<Action>,
        mut replayed: Vec<Action>,
        out: &mut dyn Write,
    ) -> Result<()> {
        let mut only_captured = Vec::new();
        for action in captured {
            match replayed.iter().position(|other| *other == action) {
                Some(same) => drop(replayed.remove(same)),
                None => only_captured.push(action),
            }
        }
        let mut pairs: Vec<(Option<Action>, Option<Action>)> = Vec::new();
        for action in only_captured {
            let other = replayed.iter().position(|other| matter(other) == matter(&action));
            pairs.push((Some(action), other.map(|at| replayed.remove(at))));
        }
        pairs.extend(replayed.into_iter().map(|action| (None, Some(action))));
        for (captured, replayed) in pairs {
            let of = [&captured, &replayed].into_iter().flatten().find_map(request_of).or(request);
            let id = match of.map(|request| (request, self.ids.get(&request))) {
                Some((_, Some(id))) => id.clone(),
                Some((request, None)) => format!("#{}", request.0),
                None => "-".to_owned(),
            };
            let [captured, replayed] = [captured, replayed].map(|action| self.shown(action.as_ref()));
            writeln!(out, "id={id} t={t} captured=\"{captured}\" replayed=\"{replayed}\"")?;
            self.tally.differences += 1;
        }
        Ok(())
    }

    /// A decision in words.
    fn shown(&self, action: Option<&Action>) -> String {
        let host = |id: &UpstreamId| self.hosts.get(id).cloned().unwrap_or_else(|| format!("#{}", id.0));
        match action {
            None => "nothing".to_owned(),
            Some(Action::Send { upstream, timeout, .. }) => {
                format!("send {} timeout={timeout}", host(upstream))
            }
            Some(Action::Cancel { attempt, .. }) => format!("cancel attempt={}", attempt.0),
            Some(Action::Refuse { retry_after, .. }) => format!("refuse retry_after={retry_after}"),
            Some(Action::Fail(_)) => "fail".to_owned(),
            Some(Action::PollLoad(upstream)) => format!("probe {}", host(upstream)),
            Some(Action::WakeAt { at, token }) => format!("wake token={token} at={at}"),
            Some(Action::Log { text, .. }) => format!("log {text}"),
        }
    }
}

/// The request that an event is about.
pub fn about(event: &Event) -> Option<RequestId> {
    match event {
        Event::Arrived { request, .. } | Event::Abandoned(request) => Some(*request),
        Event::Finished(end) => Some(end.request),
        Event::LoadPolled { .. }
        | Event::Listed(_)
        | Event::Woke(_)
        | Event::Guided(_)
        | Event::Reported { .. }
        | Event::EjectionProbeEnded { .. }
        | Event::ResidencyChanged(_) => None,
    }
}

fn request_of(action: &Action) -> Option<RequestId> {
    match action {
        Action::Send { request, .. } | Action::Cancel { request, .. } | Action::Refuse { request, .. } => {
            Some(*request)
        }
        Action::Fail(request) => Some(*request),
        Action::PollLoad(_) | Action::WakeAt { .. } | Action::Log { .. } => None,
    }
}

/// What a decision is about: two on the same matter stand in each other's place.
fn matter(action: &Action) -> (u8, Option<RequestId>) {
    let kind = match action {
        Action::Send { .. } | Action::Refuse { .. } | Action::Fail(_) => 0,
        Action::Cancel { .. } => 1,
        Action::PollLoad(_) => 2,
        Action::WakeAt { .. } => 3,
        Action::Log { .. } => 4,
    };
    (kind, request_of(action))
}

#[cfg(test)]
pub(crate) mod tests;
