//! `harelock check`, `explain` and `schema`: the operators' file looked at without serving.

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

use anyhow::{Context, Result, bail};
use node::config::Config;
use node::operator::{Facts, Operator};
use node::routing::platform;
use residency::Service;
use routes::policy::{Backoff, CopyAfter, Failure, Platform, PlatformClass, Policy};
use routes::schedule::{repeats_after, steps};
use routes::{Refusal, Table};
use serde::Serialize;

use crate::cli::{Check, Explain, Method};

/// The status for a file that is refused.
const REFUSED: u8 = 2;

/// One thing that is wrong, as `--json` tells it.
#[derive(Serialize)]
struct Told<'a> {
    file: &'a str,
    /// From 1 on; 0 where the place is not known.
    line: usize,
    column: usize,
    path: &'a str,
    rule: &'a str,
    reason: &'a str,
}

impl Told<'_> {
    /// Writes it, a line.
    fn write(&self, as_json: bool, out: &mut dyn Write) -> Result<()> {
        let Told { file, line, column, path, rule, reason } = self;
        if as_json {
            serde_json::to_writer(&mut *out, self).context("cannot write")?;
            return Ok(writeln!(out)?);
        }
        write!(out, "{file}:")?;
        if *line > 0 {
            write!(out, "{line}:{column}:")?;
        }
        if !path.is_empty() {
            write!(out, " {path}:")?;
        }
        Ok(writeln!(out, " {reason} [{rule}]")?)
    }
}

/// What a platform's configuration says to routes and to rules of residency.
struct Ground {
    platform: Platform,
    facts: Facts,
}

impl Ground {
    fn read(config: &Path) -> Result<Ground> {
        let shown = config.display();
        let text = std::fs::read(config).with_context(|| format!("cannot read {shown}"))?;
        let config = Config::parse(&text).with_context(|| format!("bad configuration in {shown}"))?;
        Ok(Ground { platform: platform(&config.settings), facts: Facts::new(&config.settings) })
    }
}

/// Checks a file, and tells all that is wrong with it on `out`.
pub fn check(check: &Check, out: &mut dyn Write) -> Result<ExitCode> {
    let shown = check.operator.display().to_string();
    let text = std::fs::read_to_string(&check.operator).with_context(|| format!("cannot read {shown}"))?;
    let ground = check.config.as_deref().map(Ground::read).transpose()?;
    // The other sections, each by its own feature's rules.
    let operator = Operator::parse(text.as_bytes());
    let needs_ground = |operator: &Operator| operator.routes.is_some() || operator.residency.is_some();
    if ground.is_none() && operator.as_ref().is_ok_and(needs_ground) {
        bail!("routes and residency are checked against a platform: name its configuration with --config");
    }
    let table = ground.as_ref().map_or(Ok(Table::default()), |ground| Table::read(&text, &ground.platform));
    let file = shown.as_str();
    for Refusal { line, column, path, rule, reason } in table.as_ref().err().into_iter().flatten() {
        let told = Told { file, line: *line, column: *column, path, rule: rule.name(), reason };
        told.write(check.json, out)?;
    }
    let mut sound = table.is_ok();
    let mut summary = String::new();
    match (&operator, &table) {
        // Rules name routes: without sound ones they cannot be looked at. What is no JSON was told already.
        (_, Err(_)) => {}
        (Err(error), Ok(_)) => {
            sound = false;
            let reason = &format!("{error:#}");
            Told { file, line: 0, column: 0, path: "", rule: "section", reason }.write(check.json, out)?;
        }
        (Ok(operator), Ok(table)) => {
            let rules = ground.map(|Ground { platform, facts }| operator.residency(&facts, &platform, table));
            match rules {
                None | Some(Ok(None)) => {}
                Some(Ok(Some(rules))) => summary = rules.summary(),
                Some(Err(faults)) => {
                    sound = false;
                    for fault in &faults {
                        let (path, reason) = fault.split_once(": ").unwrap_or(("", fault));
                        let told = Told { file, line: 0, column: 0, path, rule: "residency", reason };
                        told.write(check.json, out)?;
                    }
                }
            }
        }
    }
    if sound && !check.json {
        writeln!(out, "{shown}: sound")?;
        summary.lines().try_for_each(|line| writeln!(out, "{line}"))?;
    }
    Ok(if sound { ExitCode::SUCCESS } else { ExitCode::from(REFUSED) })
}

/// The JSON Schema of the operators' file.
pub fn schema(out: &mut dyn Write) -> Result<ExitCode> {
    let schema = schemars::schema_for!(Operator);
    serde_json::to_writer_pretty(&mut *out, &schema).context("cannot write")?;
    writeln!(out)?;
    Ok(ExitCode::SUCCESS)
}

/// Tells which route a request takes and why, and its schedule.
pub fn explain(explain: &Explain, out: &mut dyn Write) -> Result<ExitCode> {
    let Ground { platform, facts } = Ground::read(&explain.config)?;
    let shown = explain.operator.display();
    let text = std::fs::read_to_string(&explain.operator).with_context(|| format!("cannot read {shown}"))?;
    let table = match Table::read(&text, &platform) {
        Ok(table) => table,
        Err(refusals) => {
            for refusal in refusals {
                writeln!(out, "{shown}:{refusal}")?;
            }
            return Ok(ExitCode::from(REFUSED));
        }
    };
    let operator = Operator::read(Some(&explain.operator))?;
    let rules = match operator.residency(&facts, &platform, &table) {
        Ok(rules) => rules,
        Err(faults) => {
            faults.iter().try_for_each(|fault| writeln!(out, "{shown}: {fault}"))?;
            return Ok(ExitCode::from(REFUSED));
        }
    };
    let path = explain.path.split(['?', '#']).next().unwrap_or_default();
    let first = routes::matching::segments(path).next().unwrap_or_default();
    let Some(index) = platform.classes.iter().position(|class| class.name == first) else {
        writeln!(out, "no class has the path {path}: it is answered 404, and no server sees it")?;
        return Ok(ExitCode::FAILURE);
    };
    let class = &platform.classes[index];
    let method = if explain.method == Method::Get { "GET" } else { "POST" };
    if method != class.effect.method() {
        let right = class.effect.method();
        writeln!(out, "{} takes {right}: {method} is answered 405, and no server sees it", class.name)?;
        return Ok(ExitCode::FAILURE);
    }
    let header =
        |name: &str| explain.headers.iter().find(|(own, _)| own == name).map(|(_, value)| value.as_str());
    // What every request of a class has goes without saying.
    let with_class = |name: &str| header(name).or((name == "x-priority-class").then_some(&*class.name));
    let matching = table.all(index, path, with_class);
    writeln!(out, "class {}: {}", class.name, effect(class))?;
    match matching.split_first() {
        None => writeln!(out, "no route matches: the module decides all")?,
        Some((first, wider)) => {
            let route = &table.routes[*first];
            let wider: Vec<&str> = wider.iter().map(|other| table.routes[*other].name.as_str()).collect();
            let why = match &wider[..] {
                [] => "the only one that matches".to_owned(),
                wider => format!("the narrowest that matches; wider ones are {}", wider.join(", ")),
            };
            writeln!(out, "route {}: {why}", route.name)?;
            policy(out, &route.policy, class, &platform)?;
        }
    }
    if let Some(rules) = rules {
        let route = matching.first().map(|place| Service::Route(table.routes[*place].name.clone()));
        let tenant = header("x-tenant-id").map(|name| Service::Tenant(name.to_owned()));
        let services: Vec<Service> =
            [Some(Service::Class(class.name.clone())), route, tenant].into_iter().flatten().collect();
        writeln!(out, "{}", rules.explain(&services))?;
    }
    Ok(ExitCode::SUCCESS)
}

fn effect(class: &PlatformClass) -> String {
    use routes::policy::Effect;
    match class.effect {
        Effect::Repeatable => "may be repeated".to_owned(),
        Effect::ByKey { window_ms } => format!("repeats are dropped by key for {window_ms} ms"),
        Effect::Once => "must never run twice".to_owned(),
    }
}

/// What a route sets, and when its sends go out at the latest.
fn policy(out: &mut dyn Write, policy: &Policy, class: &PlatformClass, platform: &Platform) -> Result<()> {
    if let Some(worth) = policy.worth {
        writeln!(out, "  an answer in time is worth {worth}")?;
    }
    if let Some(overall) = policy.overall {
        writeln!(out, "  final answer after {overall} at the latest")?;
    }
    match policy.sends() {
        None => {
            writeln!(out, "  the module decides how many sends there are, {} at most", platform.max_attempts)?
        }
        Some(sends) => {
            let ends = Failure::ALL.iter().map(|(failure, _)| *failure);
            let after = ends.filter(|failure| repeats_after(policy, class.effect, *failure));
            let after: Vec<&str> = after.map(Failure::name).collect();
            let attempts = policy.attempts.unwrap_or(1);
            writeln!(
                out,
                "  {sends} sends at most, {attempts} of them after one that may have run; another follows {}",
                after.join(", ")
            )?;
        }
    }
    if let Some(Backoff { first, factor, most, jitter }) = policy.backoff {
        writeln!(
            out,
            "  pauses from {first}, {factor} times as long each, {most} at most, up to {jitter} added"
        )?;
    }
    if let Some(copy) = policy.second_copy {
        let after = match copy.after {
            CopyAfter::Fixed(after) => format!("after {after}"),
            CopyAfter::Percentile(percentile) => format!("at the {percentile}th percentile of answers"),
        };
        writeln!(
            out,
            "  a second copy {after}, {} of requests and {} at once",
            copy.budget.share, copy.budget.burst
        )?;
    }
    for step in steps(policy, platform.connect_timeout_ms).iter().flatten() {
        writeln!(
            out,
            "  send {}: at {:.0} ms at the latest, written by {:.0} ms, given up by {:.0} ms",
            step.send, step.at_ms, step.written_ms, step.until_ms
        )?;
    }
    Ok(())
}
