//! The form of the `routes` section as types, for the JSON Schema that editors complete and check by. The reader tells
//! more, and more exactly, than a schema can; a test holds the two to the same keys.
//!
//! Nothing is ever made of these types: only their schema is asked for.
#![allow(dead_code)]

use std::collections::BTreeMap;

use schemars::JsonSchema;

/// Policies by route.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Section {
    /// Retries over all routes; 10% and 10 at once without it.
    retry_budget: Option<Budget>,
    /// Second copies over all routes.
    copy_budget: Option<Budget>,
    /// The routes. Where several match a request the narrowest wins; their order means nothing.
    table: Vec<Route>,
}

/// A time: `250ms`, `1.5s` or `2m`.
#[derive(JsonSchema)]
struct Time(#[schemars(regex(pattern = r"^[0-9.]+(ms|s|m)$"))] String);

/// A share: `20%`.
#[derive(JsonSchema)]
struct Share(#[schemars(regex(pattern = r"^[0-9.]+%$"))] String);

#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Route {
    /// For log lines and messages.
    #[schemars(regex(pattern = r"^[a-z0-9-]{1,64}$"))]
    name: String,
    /// Which requests it is for.
    #[schemars(rename = "match")]
    matching: Match,
    /// When one send is given up.
    attempt_timeout: Option<Time>,
    /// When the request has its final answer at the latest.
    overall: Option<Time>,
    /// Sends that may have run, the first included.
    #[schemars(range(min = 1, max = 100))]
    attempts: Option<u32>,
    /// Further sends after one that certainly never ran.
    #[schemars(range(max = 100))]
    resends: Option<u32>,
    /// Ends after which another send follows.
    retry_on: Option<Vec<Failure>>,
    /// Pauses before sends that follow others.
    backoff: Option<Backoff>,
    /// Further sends of this route.
    retry_budget: Option<Budget>,
    /// Second copies.
    second_copy: Option<SecondCopy>,
    /// What an answer in time is worth.
    worth: Option<f64>,
}

/// All that is given must hold.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Match {
    /// A class of the platform.
    class: Option<String>,
    /// Its method.
    method: Option<Method>,
    /// Segments as they are, `{name}` for any one, `**` at the end for any number.
    #[schemars(regex(pattern = "^/"))]
    path: Option<String>,
    /// Paths that begin with these segments.
    #[schemars(regex(pattern = "^/"))]
    path_prefix: Option<String>,
    /// Headers by name: a pattern with `*`, true (there) or false (not there).
    headers: Option<BTreeMap<String, Header>>,
}

#[derive(JsonSchema)]
#[schemars(rename_all = "UPPERCASE")]
enum Method {
    Get,
    Post,
}

#[derive(JsonSchema)]
#[schemars(untagged)]
enum Header {
    Like(String),
    There(bool),
}

#[derive(JsonSchema)]
#[schemars(rename_all = "lowercase")]
enum Failure {
    /// Turned away unseen.
    Full,
    /// No connection.
    Unreachable,
    /// An error answer.
    Error,
    /// No answer in time.
    Timeout,
    /// The connection broke.
    Reset,
}

#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Backoff {
    /// Before the second send.
    first: Time,
    /// Each further pause is so many times the one before; 2 without it.
    #[schemars(range(min = 1, max = 10))]
    factor: Option<f64>,
    /// The longest; ten times the first without it.
    most: Option<Time>,
    /// Up to this share is added at random; 50% without it.
    jitter: Option<Share>,
}

#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct Budget {
    /// Of first sends.
    share: Share,
    /// So many at once after a quiet time; 1 without it.
    burst: Option<u32>,
}

/// Either `after` or `percentile` says when.
#[derive(JsonSchema)]
#[schemars(deny_unknown_fields)]
struct SecondCopy {
    /// After so long.
    after: Option<Time>,
    /// At this percentile of the times of answers, from 50 and below 100.
    #[schemars(range(min = 50, max = 100))]
    percentile: Option<f64>,
    /// How many.
    budget: Budget,
}
