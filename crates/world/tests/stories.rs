//! Stories of fleets, given-when-then, in `features`: what operators may rely on while parts fail. The steps are in `story`.

mod story;

use cucumber::World as _;

#[tokio::main]
async fn main() {
    let features = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/features");
    // A step that nobody wrote is a failure: a story that is not played proves nothing.
    story::Story::cucumber().fail_on_skipped().run_and_exit(features).await;
}
