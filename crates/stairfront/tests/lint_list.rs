//! The check of the lint list, which CI goes by: no crate escapes the workspace's lints without being named, and the list
//! names no crate that meets them.
use std::path::Path;
use std::process::Command;

const INHERITS: &str = "[package]\nname = \"a\"\n\n[lints]\nworkspace = true\n";
const ESCAPES: &str = "[package]\nname = \"a\"\n\n[lints.rust]\nunsafe_code = \"forbid\"\n";

/// Whether the check passes for a workspace of one crate `a` with this manifest, and what it prints.
fn check(manifest: &str, list: &str) -> (bool, String) {
    let folder = tempfile::tempdir().unwrap();
    let write = |path: &str, text: &str| {
        let path = folder.path().join(path);
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(path, text).unwrap();
    };
    write("crates/a/Cargo.toml", manifest);
    write(".ci/unfinished-crates.txt", list);
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/check-lint-list");
    let output = Command::new("bash")
        .arg(script)
        .arg(folder.path())
        .output()
        .unwrap();
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.success(), printed)
}

#[test]
fn a_crate_that_inherits_the_lints_and_one_that_is_named_pass() {
    assert_eq!(check(INHERITS, ""), (true, String::new()));
    assert_eq!(check(ESCAPES, "a\n"), (true, String::new()));
}

#[test]
fn a_crate_that_escapes_the_lints_unnamed_fails() {
    let (passes, printed) = check(ESCAPES, "");
    assert!(
        !passes && printed.contains("crates/a/Cargo.toml"),
        "{printed}"
    );
}

#[test]
fn a_list_that_names_a_finished_or_an_unknown_crate_fails() {
    let (passes, printed) = check(INHERITS, "a\n");
    assert!(
        !passes && printed.contains("crates/a/Cargo.toml"),
        "{printed}"
    );
    let (passes, printed) = check(INHERITS, "b\n");
    assert!(!passes && printed.contains("no crate b"), "{printed}");
    // The last line may lack its line break.
    let (passes, printed) = check(INHERITS, "b");
    assert!(!passes && printed.contains("no crate b"), "{printed}");
}
