//! The platform that the files of these tests are written for.
#![allow(dead_code)]

use routes::policy::{Effect, Platform, PlatformClass};

pub fn platform() -> Platform {
    let class = |name: &str, effect, client_limit_ms| PlatformClass {
        name: name.to_owned(),
        effect,
        client_limit_ms,
    };
    Platform {
        classes: vec![
            class("statement-issue", Effect::Once, 1_500.0),
            class("contribution-post", Effect::ByKey { window_ms: 4_000.0 }, 6_000.0),
            class("archive-read", Effect::Repeatable, 2_000.0),
        ],
        max_attempts: 4,
        duplicates: true,
        connect_timeout_ms: 250.0,
    }
}
