//! Routes round the module: what the platform says to them, the classes that they become, and which of these a
//! request is.

use std::collections::HashMap;

use hyper::HeaderMap;
use routes::Table;
use routes::policy::{Effect, Platform, PlatformClass};
use sagemast::api::{self, Class, ClassId, Settings};
use sagemast::settings::Config;

/// The platform, as routes are checked against it.
pub fn platform(settings: &Config) -> Platform {
    let told = settings.settings();
    let class = |((name, effect), client_limit_ms): ((String, api::Effect), f64)| PlatformClass {
        name,
        effect: match effect {
            api::Effect::Repeatable => Effect::Repeatable,
            api::Effect::ByKey { window, .. } => Effect::ByKey { window_ms: window },
            api::Effect::Once => Effect::Once,
        },
        client_limit_ms,
    };
    Platform {
        classes: settings.classes().into_iter().zip(settings.client_limits_ms()).map(class).collect(),
        max_attempts: told.limits.max_attempts,
        duplicates: told.limits.duplicates,
        connect_timeout_ms: settings.connect_timeout_ms(),
    }
}

/// The routes in force.
#[derive(Default)]
pub struct Routing {
    table: Table,
    /// The module's class for a route and a class of the platform.
    ids: HashMap<(usize, usize), ClassId>,
    /// The module's classes by name: the platform's own, and behind them `class/route`.
    names: Vec<String>,
}

impl Routing {
    /// Makes classes of routes: each route has one for each class of the platform that can come to it, behind the
    /// platform's own in the module's settings.
    pub fn new(table: Table, platform: &Platform, settings: &mut Settings) -> Routing {
        let mut routing = Routing {
            names: platform.classes.iter().map(|class| class.name.clone()).collect(),
            ..Routing::default()
        };
        for (place, route) in table.routes.iter().enumerate() {
            for (index, class) in platform.classes.iter().enumerate() {
                if !route.matching.takes(index, class) {
                    continue;
                }
                let base = settings.classes[index].clone();
                let worth = route.policy.worth.unwrap_or(base.worth);
                routing.ids.insert((place, index), ClassId(settings.classes.len()));
                routing.names.push(format!("{}/{}", class.name, route.name));
                settings.classes.push(Class { worth, policy: route.policy.clone(), ..base });
            }
        }
        settings.retry_budget = table.retry_budget;
        settings.copy_budget = table.copy_budget;
        Routing { table, ..routing }
    }

    /// The module's class for a request of one of the platform's.
    pub fn class_of(&self, class: ClassId, path: &str, headers: &HeaderMap) -> ClassId {
        // Of a header that comes several times the first counts, and one that is no text is as if empty.
        let header = |name: &str| headers.get(name).map(|value| value.to_str().unwrap_or_default());
        let found = self.table.find(class.0, path, header);
        found.and_then(|place| self.ids.get(&(place, class.0))).copied().unwrap_or(class)
    }

    /// The module's classes by name.
    pub fn names(&self) -> &[String] {
        &self.names
    }
}
