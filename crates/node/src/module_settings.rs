//! What the module is told of the platform's settings and the operators' routes.

use routes::Table;
use sagemast::api::Settings;
use sagemast::settings::PlatformSettings;

use crate::routing::{Routing, platform};

/// The settings in the module's terms, as they hold on real sockets, and the routes that became classes in them.
pub fn module_settings(settings: &PlatformSettings, table: Table) -> (Settings, Routing) {
    let mut told = settings.settings();
    // The module keeps one tick in hand before a key's window ends, since in the simulator a send is on
    // its way at once. Here it may first have to connect.
    told.limits.tick = told.limits.tick.max(settings.connect_timeout_ms());
    let routing = Routing::new(table, platform(settings), &mut told);
    (told, routing)
}
