//! Processes whose calls are interrupted, those of their runtime included, by a library loaded before the C library.

use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

/// One call in so many is interrupted.
const ONE_IN: u32 = 10;

/// The library, built once a test process.
fn library() -> &'static PathBuf {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let name = format!("libinterrupt-{}.so", std::process::id());
        let library = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/preload/interrupt.c");
        let built = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o"])
            .arg(&library)
            .args([source, "-ldl"])
            .status()
            .expect("a C compiler");
        assert!(built.success());
        library
    })
}

/// Starts something in the environment of a process whose calls are interrupted, by a sequence drawn from the seed.
pub fn interrupted<T>(seed: u64, start: impl FnOnce(&[(&str, &str)]) -> T) -> T {
    let library = library().to_str().expect("a path in text");
    let (one_in, seed) = (ONE_IN.to_string(), seed.to_string());
    start(&[("LD_PRELOAD", library), ("INTERRUPT_ONE_IN", &one_in), ("INTERRUPT_SEED", &seed)])
}
