//! The module stays small enough to be read in a sitting, and for the operators to run it.

#[test]
fn the_module_keeps_its_limits() {
    let brain = include_str!("../src/brain.rs");
    let [fleet, state] = [include_str!("../src/fleet.rs"), include_str!("../src/state.rs")];
    let full = |text: &str| text.lines().filter(|line| !line.trim().is_empty()).count();
    let lines = full(brain) + full(fleet) + full(state);
    assert!(lines <= 1_200, "{lines} lines");
    for (number, line) in brain.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too long", number + 1);
    }
    assert!(brain.lines().next().is_some_and(|line| line.contains("src/api.rs")));
}
