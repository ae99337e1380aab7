//! Routes round the module: what the platform says to them, the classes that they become, and which of these a
//! request is.

use std::collections::{HashMap, HashSet};

use concert::ClassNames;
use hyper::HeaderMap;
use routes::Table;
use routes::policy::{Budget, Effect, Platform, PlatformClass};
use sagemast::api::{self, Class, ClassId, Settings};
use sagemast::settings::PlatformSettings;

/// The platform, as routes are checked against it.
pub fn platform(settings: &PlatformSettings) -> Platform {
    let told = settings.settings();
    let class = |((name, effect), client_limit_ms): ((String, api::Idempotency), f64)| PlatformClass {
        name,
        effect: match effect {
            api::Idempotency::Idempotent => Effect::Repeatable,
            api::Idempotency::ByKey { window, .. } => Effect::ByKey { window_ms: window },
            api::Idempotency::NotIdempotent => Effect::Once,
        },
        client_limit_ms,
    };
    Platform {
        classes: settings.classes().into_iter().zip(settings.client_deadlines_ms()).map(class).collect(),
        max_attempts: told.limits.max_attempts,
        duplicates: told.limits.concurrent_attempts,
        connect_timeout_ms: settings.connect_timeout_ms(),
    }
}

/// The routes in force.
pub struct Routing {
    platform: Platform,
    table: Table,
    /// The platform's own classes as the module has them.
    own: Vec<Class>,
    /// The module's class for a route and a class of the platform.
    ids: HashMap<(usize, usize), ClassId>,
    /// The module's classes by name: the platform's own, and behind them `class/route`.
    names: Vec<String>,
}

/// What changes in the module with the routes.
pub struct Change {
    /// Where a class goes, what it is, and which one it begins with the knowledge of.
    pub classes: Vec<(ClassId, Class, ClassId)>,
    /// The budgets of all.
    pub retry_budget: Option<Budget>,
    /// Likewise.
    pub copy_budget: Option<Budget>,
}

impl Routing {
    /// Makes classes of routes: each route has one for each class of the platform that can come to it, behind the
    /// platform's own in the module's settings.
    pub fn new(table: Table, platform: Platform, settings: &mut Settings) -> Routing {
        let names = platform.classes.iter().map(|class| class.name.clone()).collect();
        let own = settings.classes.clone();
        let mut routing = Routing { platform, table: Table::default(), own, ids: HashMap::new(), names };
        let Change { classes, retry_budget, copy_budget } = routing.change(table, &[], |_| true);
        settings.classes.extend(classes.into_iter().map(|(_, class, _)| class));
        settings.retry_budget = retry_budget;
        settings.hedge_budget = copy_budget;
        routing
    }

    /// Goes over to another table. A class that stays as it was keeps its place; one that changes, or is new, gets
    /// the place of one that is gone and not in use, or one behind all others. `now` are the module's classes.
    pub fn change(&mut self, table: Table, now: &[Class], uses: impl Fn(ClassId) -> bool) -> Change {
        let mut ids = HashMap::new();
        let mut wanted = Vec::new();
        let held: HashMap<&str, ClassId> =
            self.ids.values().map(|id| (self.names[id.0].as_str(), *id)).collect();
        for (place, route) in table.routes.iter().enumerate() {
            for (index, class) in self.platform.classes.iter().enumerate() {
                if !route.matching.takes(index, class) {
                    continue;
                }
                let own = self.own[index].clone();
                let worth = route.policy.worth.unwrap_or(own.priority_weight);
                let becomes = Class { priority_weight: worth, policy: route.policy.clone(), ..own };
                let name = format!("{}/{}", class.name, route.name);
                // A route's name is its identity, whatever it matches.
                let before = held.get(name.as_str()).copied();
                match before.filter(|id| now.get(id.0) == Some(&becomes)) {
                    Some(id) => drop(ids.insert((place, index), id)),
                    None => wanted.push(((place, index), name, becomes, before.unwrap_or(ClassId(index)))),
                }
            }
        }
        let kept: HashSet<ClassId> = ids.values().copied().collect();
        // Whose knowledge another begins with must not be overwritten before it does.
        let known: HashSet<ClassId> = wanted.iter().map(|(.., known)| *known).collect();
        let gone = |id: &ClassId| !kept.contains(id) && !known.contains(id) && !uses(*id);
        let places: Vec<ClassId> = (self.own.len()..self.names.len()).map(ClassId).filter(gone).collect();
        let mut free = places.into_iter();
        let mut classes = Vec::new();
        for (key, name, class, known) in wanted {
            let id = free.next().unwrap_or(ClassId(self.names.len()));
            match self.names.get_mut(id.0) {
                Some(place) => *place = name,
                None => self.names.push(name),
            }
            classes.push((id, class, known));
            ids.insert(key, id);
        }
        self.ids = ids;
        let (retry_budget, copy_budget) = (table.retry_budget, table.copy_budget);
        self.table = table;
        Change { classes, retry_budget, copy_budget }
    }

    /// The module's class for a request of one of the platform's.
    pub fn class_of(&self, class: ClassId, path: &str, headers: &HeaderMap) -> ClassId {
        // Of a header that comes several times the first counts, and one that is no text is as if empty.
        let header = |name: &str| headers.get(name).map(|value| value.to_str().unwrap_or_default());
        let found = self.table.find(class.0, path, header);
        found.and_then(|place| self.ids.get(&(place, class.0))).copied().unwrap_or(class)
    }

    /// The same as those who rule by class and route name them.
    pub fn class_names(&self) -> Vec<ClassNames> {
        let own = &self.platform.classes;
        let named = |(place, name): (usize, &String)| {
            // The name of a class is a segment of a path: the first slash ends it.
            let (class, route) = match name.split_once('/') {
                Some((class, route)) if place >= own.len() => (class, Some(route.to_owned())),
                _ => (name.as_str(), None),
            };
            let base = own.iter().position(|own| own.name == class).unwrap_or(place);
            ClassNames { base: ClassId(base), class: class.to_owned(), route }
        };
        self.names.iter().enumerate().map(named).collect()
    }

    /// How many routes there are.
    pub fn count(&self) -> usize {
        self.table.routes.len()
    }

    /// The module's classes by name.
    pub fn names(&self) -> &[String] {
        &self.names
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use sagemast::Balancer;

    use super::*;

    pub(crate) const CONFIG: &str = r#"{"classes":[
        {"name":"bill","aim":600,"hard_limit":1500,"importance":3,"effect":"once"},
        {"name":"fetch","aim":500,"hard_limit":6000,"importance":2,"effect":"repeatable"}],
        "allowed":{"max_attempts":3,"connect_timeout":250},"peers_total":3,"membership_mode":"automatic",
        "telemetry":{},"invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500}}"#;

    /// A module under routes, each a name and its number of attempts.
    struct Stage {
        routing: Routing,
        module: Balancer,
    }

    fn table(platform: &Platform, routes: &[(&str, u32)]) -> Table {
        let route = |(name, attempts): &(&str, u32)| {
            format!(
                r#"{{"name": "{name}", "match": {{"path": "/fetch/{name}"}}, "attempts": {attempts},
                "attempt_timeout": "1s"}}"#
            )
        };
        let routes: Vec<String> = routes.iter().map(route).collect();
        let text = format!(r#"{{"routes": {{"table": [{}]}}}}"#, routes.join(","));
        Table::read(&text, platform).expect("they are sound")
    }

    impl Stage {
        fn new(routes: &[(&str, u32)]) -> Stage {
            let config: PlatformSettings = serde_json::from_str(CONFIG).expect("settings");
            let platform = platform(&config);
            let mut settings = config.settings();
            let routing = Routing::new(table(&platform, routes), platform, &mut settings);
            Stage { routing, module: Balancer::new(settings, 7) }
        }

        fn change(&mut self, routes: &[(&str, u32)], busy: &[usize]) {
            let table = table(&self.routing.platform, routes);
            let change = self.routing.change(table, self.module.classes(), |class| busy.contains(&class.0));
            change.classes.into_iter().for_each(|(id, class, known)| self.module.set_class(id, class, known));
        }

        /// The module's class for a path, and its attempts.
        fn of(&self, path: &str) -> (usize, Option<u32>) {
            let id = self.routing.class_of(ClassId(1), path, &HeaderMap::new());
            (id.0, self.module.classes()[id.0].policy.attempts)
        }
    }

    #[test]
    fn a_path_of_no_route_has_the_platforms_class() {
        let stage = Stage::new(&[("a", 1), ("b", 2)]);
        assert_eq!(stage.of("/fetch/c"), (1, None));
        assert_eq!((stage.of("/fetch/a").1, stage.of("/fetch/b").1), (Some(1), Some(2)));
        assert_eq!(stage.routing.names().len(), stage.module.classes().len());
    }

    #[test]
    fn what_stays_keeps_its_class_and_what_changes_leaves_one_in_use_alone() {
        let mut stage = Stage::new(&[("a", 1), ("b", 2)]);
        let (a, b) = (stage.of("/fetch/a").0, stage.of("/fetch/b").0);
        stage.change(&[("b", 3), ("a", 1)], &[b]);
        assert_eq!(stage.of("/fetch/a"), (a, Some(1)));
        let (other, attempts) = stage.of("/fetch/b");
        assert!(other != b && attempts == Some(3), "a request under way has the old class");
        assert_eq!(stage.module.classes()[b].policy.attempts, Some(2));
        assert_eq!(stage.routing.names().len(), stage.module.classes().len());
    }

    /// However often routes change, places that nobody uses any more are used again.
    #[test]
    fn classes_do_not_pile_up() {
        let mut stage = Stage::new(&[("a", 1), ("b", 2)]);
        for turn in 0..100 {
            stage.change(&[("a", 1 + turn % 3), ("c", 1 + turn % 2)], &[]);
            assert_eq!(stage.of("/fetch/a").1, Some(1 + turn % 3));
            assert_eq!(stage.of("/fetch/b"), (1, None), "it is gone");
        }
        assert!(stage.module.classes().len() <= 10, "{} classes", stage.module.classes().len());
        stage.change(&[], &[]);
        assert_eq!(stage.of("/fetch/a"), (1, None));
    }
}
