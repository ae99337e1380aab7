//! From an operator's file to one checked table of routes, whole or nothing.

use jsonc_parser::ast::Value;

use crate::document::{Reader, Refusal, Rule, parse};
use crate::index::Index;
use crate::matching::{Match, Relation, Request, left_over, relation};
use crate::policy::{Budget, ClassIndex, CopyAfter, Effect, Failure, Platform, PlatformClass, Policy};
use crate::read::{Raw, RawRoute, section};
use crate::schedule::{Longest, longest, repeats_after};
use crate::units::Span;

/// A route that was found sound.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The requests that it is for.
    pub matching: Match,
    /// What it sets.
    pub policy: Policy,
}

/// All routes of an installation.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// The routes, in the order of the file.
    pub routes: Vec<Route>,
    /// How many retries there may be over all routes.
    pub retry_budget: Option<Budget>,
    /// How many second copies.
    pub copy_budget: Option<Budget>,
    /// By class.
    indexes: Vec<Index>,
}

impl Table {
    /// Reads and checks the `routes` section of an operator's file; a file without one has no routes. All that is
    /// wrong comes at once.
    pub fn read(text: &str, platform: &Platform) -> Result<Table, Vec<Refusal>> {
        let document = parse(text).map_err(|refusal| vec![refusal])?;
        let mut reader = Reader::new(text);
        let Some(value) = find_section(&mut reader, &document) else {
            let refusals = reader.finish();
            return if refusals.is_empty() { Ok(Table::default()) } else { Err(refusals) };
        };
        let raw = section(&mut reader, value, "routes", platform);
        let indexes = Check { reader: &mut reader, raw: &raw, platform }.run();
        if !reader.is_content() {
            return Err(reader.finish());
        }
        let Raw { retry_budget, copy_budget, routes } = raw;
        let route = |RawRoute { name, matching, policy, .. }| Route { name, matching, policy };
        let routes = routes.into_iter().map(route).collect();
        Ok(Table { routes, retry_budget, copy_budget, indexes })
    }

    /// The place of the route for a request of a class, if there is one: the narrowest that matches.
    pub fn find<'h>(
        &self,
        class: ClassIndex,
        path: &str,
        header: impl Fn(&str) -> Option<&'h str>,
    ) -> Option<usize> {
        self.indexes.get(class)?.find(path, header)
    }

    /// All routes that a request of a class matches, narrowest first.
    pub fn all<'h>(
        &self,
        class: ClassIndex,
        path: &str,
        header: impl Fn(&str) -> Option<&'h str>,
    ) -> Vec<usize> {
        self.indexes.get(class).map_or_else(Vec::new, |index| index.all(path, header))
    }
}

/// The `routes` section of a file. Whether its other sections are sound is not for here.
fn find_section<'t, 'v>(reader: &mut Reader<'t>, document: &'v Value<'t>) -> Option<&'v Value<'t>> {
    let mut fields = reader.fields(document, "")?;
    fields.take("routes").map(|(value, _)| value)
}

/// The checks of what a file's routes mean.
struct Check<'c, 't> {
    reader: &'c mut Reader<'t>,
    raw: &'c Raw,
    platform: &'c Platform,
}

impl Check<'_, '_> {
    /// Checks all, and makes the indexes of a table that is sound.
    fn run(mut self) -> Vec<Index> {
        self.names();
        for route in &self.raw.routes {
            self.alone(route);
        }
        let mut reached = vec![false; self.raw.routes.len()];
        let classes: Vec<Vec<bool>> = self.raw.routes.iter().map(|route| self.classes_of(route)).collect();
        let mut indexes = Vec::new();
        for (index, class) in self.platform.classes.iter().enumerate() {
            indexes.push(self.class(index, class, &classes, &mut reached));
        }
        // Where something else is wrong, why nothing comes here may be that; so it is said only of sound routes.
        if self.reader.is_content() {
            for (route, _) in self.raw.routes.iter().zip(reached).filter(|(_, reached)| !reached) {
                let reason = format!("no request can come to {:?}{}", route.name, self.why_not(route));
                self.reader.refuse(route.at("match"), Rule::Unreachable, reason);
            }
        }
        indexes
    }

    /// For which of the platform's classes a route has any requests at all.
    fn classes_of(&self, route: &RawRoute) -> Vec<bool> {
        let has = |(index, class): (usize, &PlatformClass)| {
            route.matching.takes(index, class) && !matches!(left_over(class, &route.matching, &[]), Ok(None))
        };
        self.platform.classes.iter().enumerate().map(has).collect()
    }

    fn names(&mut self) {
        let routes = &self.raw.routes;
        for (index, route) in routes.iter().enumerate().filter(|(_, route)| !route.name.is_empty()) {
            if routes[..index].iter().any(|earlier| earlier.name == route.name) {
                let reason = format!("another route is named {:?} too", route.name);
                self.reader.refuse(route.at("name"), Rule::Key, reason);
            }
        }
    }

    /// What can be told of a route without knowing which requests come to it.
    fn alone(&mut self, route: &RawRoute) {
        let Policy { attempt_timeout, overall, attempts, second_copy, .. } = &route.policy;
        let policy = &route.policy;
        let sends = policy.sends().unwrap_or(1);
        if sends > self.platform.max_attempts {
            let most = self.platform.max_attempts;
            let key = if policy.attempts.is_some() { "attempts" } else { "resends" };
            let reason = format!("{sends} sends in all, attempts and resends; the platform allows {most}");
            self.reader.refuse(route.at(key), Rule::Platform, reason);
        }
        if sends > 1 && attempt_timeout.is_none() {
            let reason =
                "more than one send needs \"attempt_timeout\": without it nothing says when they end";
            self.reader.refuse(route.at("attempts"), Rule::Value, reason);
        }
        if let (Some(timeout), Some(overall)) = (attempt_timeout, overall)
            && timeout > overall
        {
            let reason = format!("one attempt may take {timeout}, all together only {overall}");
            self.reader.refuse(route.at("attempt_timeout"), Rule::Value, reason);
        }
        if sends == 1 && policy.sends().is_some() {
            for (key, given) in [
                ("retry_on", policy.retry_on.as_ref().is_some_and(|on| !on.is_empty())),
                ("backoff", policy.backoff.is_some()),
                ("retry_budget", policy.retry_budget.is_some()),
            ] {
                if given {
                    let reason = "there is one send, and nothing that follows it";
                    self.reader.refuse(route.at(key), Rule::Value, reason);
                }
            }
        }
        if policy.retry_on.as_ref().is_some_and(Vec::is_empty) && sends > 1 {
            let reason = format!("{sends} sends, and no end after which another follows");
            self.reader.refuse(route.at("retry_on"), Rule::Value, reason);
        }
        if let Some(copy) = second_copy {
            if !self.platform.duplicates {
                let reason = "the platform does not allow two sends of one request at a time";
                self.reader.refuse(route.at("second_copy"), Rule::Platform, reason);
            }
            if attempts.is_some_and(|attempts| attempts < 2) {
                let reason = "a second copy is a second attempt, and \"attempts\" is 1";
                self.reader.refuse(route.at("second_copy"), Rule::Value, reason);
            }
            if let (CopyAfter::Fixed(after), Some(timeout)) = (copy.after, attempt_timeout)
                && after >= *timeout
            {
                let reason =
                    format!("the first is given up after {timeout}, before a copy after {after} goes out");
                self.reader.refuse(route.at("second_copy"), Rule::Value, reason);
            }
        }
        self.budgets(route, sends);
    }

    fn budgets(&mut self, route: &RawRoute, sends: u32) {
        let Raw { retry_budget, copy_budget, .. } = self.raw;
        let copies = route.policy.second_copy.map(|copy| copy.budget);
        for (key, own, shared, what) in [
            ("retry_budget", route.policy.retry_budget, retry_budget, "retries"),
            ("second_copy", copies, copy_budget, "second copies"),
        ] {
            let Some(own) = own else { continue };
            if own.is_nothing() {
                let reason = format!("a budget of nothing: no {what} can ever be taken from it");
                self.reader.refuse(route.at(key), Rule::Budget, reason);
            }
            if let Some(shared) = shared
                && (own.share > shared.share || own.burst > shared.burst)
            {
                let (share, burst) = (shared.share, shared.burst);
                let reason = format!(
                    "more than the {share} and {burst} at once that all routes have for {what} together"
                );
                self.reader.refuse(route.at(key), Rule::Budget, reason);
            }
        }
        let nothing = retry_budget.is_some_and(|shared| shared.is_nothing());
        if sends > 1 && nothing {
            let reason = "\"retry_budget\" of all routes is nothing, and this one has retries";
            self.reader.refuse(route.at("attempts"), Rule::Budget, reason);
        }
    }

    /// Checks the routes that a class's requests can come to, and makes its index.
    fn class(
        &mut self,
        index: ClassIndex,
        class: &PlatformClass,
        classes: &[Vec<bool>],
        reached: &mut [bool],
    ) -> Index {
        let routes = &self.raw.routes;
        let here: Vec<usize> = (0..routes.len()).filter(|place| classes[*place][index]).collect();
        // Whether a route is for fewer classes than another, and for none that the other is not for.
        let fewer = |one: usize, other: usize| {
            let mut pairs = classes[one].iter().zip(&classes[other]);
            classes[one] != classes[other] && pairs.all(|(one, other)| !one || *other)
        };
        // For each route the places of those whose requests lie inside its own.
        let mut inside: Vec<Vec<usize>> = vec![Vec::new(); routes.len()];
        for (nth, &second) in here.iter().enumerate() {
            for &first in &here[..nth] {
                match relation(class, &routes[first].matching, &routes[second].matching) {
                    Ok(Relation::Apart) => {}
                    Ok(Relation::Inside) => inside[second].push(first),
                    Ok(Relation::Around) => inside[first].push(second),
                    // Alike within this class: the one that is for fewer classes is the narrower.
                    Ok(Relation::Same(_)) if fewer(first, second) => inside[second].push(first),
                    Ok(Relation::Same(_)) if fewer(second, first) => inside[first].push(second),
                    Ok(Relation::Same(request)) => {
                        self.overlap(first, second, &request, "for the same requests")
                    }
                    Ok(Relation::Crossing(request)) => {
                        self.overlap(first, second, &request, "and neither is the narrower");
                    }
                    Err(_) => {
                        let reason = format!(
                            "its patterns and those of {:?} are too entangled to be compared",
                            routes[first].name
                        );
                        self.reader.refuse(routes[second].at("match"), Rule::Overlap, reason);
                    }
                }
            }
        }
        for &place in &here {
            let narrower: Vec<&Match> = inside[place].iter().map(|other| &routes[*other].matching).collect();
            match left_over(class, &routes[place].matching, &narrower) {
                Ok(Some(request)) => {
                    reached[place] = true;
                    self.effect(&routes[place], class, &request);
                }
                Ok(None) => {}
                Err(_) => {
                    let reason = "with those inside it, its patterns are too entangled to be compared";
                    self.reader.refuse(routes[place].at("match"), Rule::Overlap, reason);
                }
            }
        }
        // A route inside another has all that lie inside it there too, so that fewer mean narrower.
        let mut order = here;
        order.sort_by_key(|place| inside[*place].len());
        Index::new(order.into_iter().map(|place| (place, &routes[place].matching)))
    }

    fn overlap(&mut self, first: usize, second: usize, request: &Request, how: &str) {
        let (first, second) = (&self.raw.routes[first], &self.raw.routes[second]);
        let reason = format!("{request} is for {:?} and for {:?}, {how}", first.name, second.name);
        self.reader.refuse(second.at("match"), Rule::Overlap, reason);
    }

    /// What the effect of a class forbids the routes that its requests come to.
    fn effect(&mut self, route: &RawRoute, class: &PlatformClass, request: &Request) {
        let policy = &route.policy;
        // A route that does not name the class may be meant for others: then it is shown how it covers this one.
        let shown = match route.matching.class {
            Some(_) => String::new(),
            None => format!(", and {:?} is for it too, as in {request}", route.name),
        };
        let name = &class.name;
        if class.effect == Effect::Once {
            if policy.attempts.is_some_and(|attempts| attempts > 1) {
                let reason = format!("{name} must never run twice{shown}: one attempt is all it may have");
                self.reader.refuse(route.at("attempts"), Rule::Once, reason);
            }
            if policy.second_copy.is_some() {
                let reason = format!("{name} must never run twice{shown}: it may have no second copy");
                self.reader.refuse(route.at("second_copy"), Rule::Once, reason);
            }
            let named = policy.retry_on.iter().flatten().find(|failure| failure.may_have_run());
            if let Some(failure) = named {
                let failure = failure.name();
                let reason =
                    format!("{name} must never run twice{shown}: after {failure:?} it may have run already");
                self.reader.refuse(route.at("retry_on"), Rule::Once, reason);
            }
        }
        let limit = Span(class.client_limit_ms);
        if let Some(overall) = policy.overall
            && overall > limit
        {
            let reason = format!("clients of {name} wait {limit} at most{shown}; {overall} is longer");
            self.reader.refuse(route.at("overall"), Rule::ClientLimit, reason);
        }
        if let Some(timeout) = policy.attempt_timeout
            && timeout > limit
        {
            let reason = format!("clients of {name} wait {limit} at most{shown}; {timeout} is longer");
            self.reader.refuse(route.at("attempt_timeout"), Rule::ClientLimit, reason);
            return;
        }
        let Some(Longest { last_write_ms, end_ms }) = longest(policy, self.platform.connect_timeout_ms)
        else {
            return;
        };
        let (bound, whose) = match policy.overall {
            Some(overall) => (overall, "\"overall\""),
            None => (limit, "how long its clients wait"),
        };
        if end_ms > bound.0 {
            let sends = policy.sends().unwrap_or(1);
            let reason = format!(
                "time-outs and pauses of {sends} sends add up to {}, over {bound}, {whose}, for {name}{shown}",
                Span(end_ms)
            );
            self.reader.refuse(route.at("attempts"), Rule::ClientLimit, reason);
        }
        if let Effect::ByKey { window_ms } = class.effect
            && policy.attempts.is_some_and(|attempts| attempts > 1)
            && Failure::ALL
                .iter()
                .any(|(end, _)| end.may_have_run() && repeats_after(policy, class.effect, *end))
            && last_write_ms >= window_ms
        {
            let reason = format!(
                "the last send can be written {} after the first where its connection comes up late; repeats of \
                 {name} are dropped for {} only{shown}",
                Span(last_write_ms),
                Span(window_ms)
            );
            self.reader.refuse(route.at("attempts"), Rule::Window, reason);
        }
    }

    /// Why no request comes to a route, as far as that can be told in a word.
    fn why_not(&self, route: &RawRoute) -> String {
        let classes = || self.platform.classes.iter().enumerate();
        if !classes().any(|(index, class)| route.matching.takes(index, class)) {
            return ": no class has both its class and its method".to_owned();
        }
        if self.classes_of(route).contains(&true) {
            ": routes inside it take all of them".to_owned()
        } else {
            ": no class has such paths and headers".to_owned()
        }
    }
}
