//! Regions, and rules by service for where its requests may go: read and checked whole or nothing, and held among the
//! members of a fleet as shared facts of which the newest generation binds. No I/O, no clock; it knows neither the members'
//! protocol nor the module that decides.

mod binding;
mod codec;
mod content;
mod keeper;
mod names;
mod rules;
mod section;

pub use binding::{Binding, Stand, Verdict};
pub use codec::{BODY_BYTES, GENERATION_MOST, PIECES};
pub use content::{Content, Filter, key_of, zone_key};
pub use keeper::{Keeper, LISTEN_MOST_MS, LISTEN_MS};
pub use names::{ClassFacts, Context, RouteFacts, Scope, Service};
pub use rules::{Fault, Rules};
pub use section::{Regions, Rule, Section, Unruled};
