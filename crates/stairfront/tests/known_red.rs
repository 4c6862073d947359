//! The script that judges a test run in CI: it passes over exactly the tests that are known to be red.
use std::process::Command;

const GOOD: &str = "     Running tests/one.rs (target/debug/deps/one-0a1b)
test a ... ok
test b ... ok

test result: ok. 2 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.01s
";
const BAD: &str = "     Running tests/two.rs (target/debug/deps/two-9f00)
test c ... ok
test d ... FAILED

failures:

failures:
    d

test result: FAILED. 1 passed; 1 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.01s
";
const ABORTED: &str = "     Running tests/three.rs (target/debug/deps/three-77)
test e ... ok
error: test failed, to rerun pass `--test three` (signal: 6, SIGABRT: process abort signal)
";

/// Outcome of the script that judges a test run.
#[derive(Debug, PartialEq, Eq)]
struct Judgement {
    passes: bool,
    printed: String,
}

/// Judges the log of a test run that ended with this status, with this list of tests known to be red.
fn judge(log: &str, list: Option<&str>, status: i32) -> Judgement {
    let directory = tempfile::tempdir().unwrap();
    let (log_path, list_path) = (directory.path().join("log"), directory.path().join("list"));
    std::fs::write(&log_path, log).unwrap();
    if let Some(list) = list {
        std::fs::write(&list_path, list).unwrap();
    }
    let output = Command::new("bash")
        .arg(concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/../../.ci/judge-tests"
        ))
        .args([log_path, list_path])
        .arg(status.to_string())
        .output()
        .unwrap();
    let printed = [output.stdout, output.stderr].concat();
    Judgement {
        passes: output.status.success(),
        printed: String::from_utf8(printed).unwrap(),
    }
}

fn assert_fails(log: &str, list: Option<&str>, status: i32, reason: &str) {
    let Judgement { passes, printed } = judge(log, list, status);
    assert!(
        !passes && printed.contains(reason),
        "{reason:?} in {printed:?}"
    );
}

/// A failed run must not pass, and a test that passes again must not stay listed, where it could fail unnoticed.
#[test]
fn a_run_passes_only_if_exactly_the_tests_known_to_be_red_fail() {
    let red = "two::d, it is slow there, issue 37\n";
    let both = [GOOD, BAD].concat();
    let all_pass = Judgement {
        passes: true,
        printed: String::new(),
    };
    assert_eq!(judge(GOOD, None, 0), all_pass);
    let Judgement { passes, printed } = judge(&both, Some(red), 101);
    assert!(passes && printed.contains(red.trim()), "{printed}");

    let same_name = "one::d, same name elsewhere, 37";
    assert_fails(&both, None, 101, "failed: two::d");
    assert_fails(&both, Some(same_name), 101, "failed: two::d");
    let mended = both.replace("d ... FAILED", "d ... ok");
    assert_fails(&mended, Some(red), 0, "two::d passes");
    assert_fails(GOOD, Some(red), 0, "there is no test two::d");
    assert_fails(GOOD, None, 101, "status 101");
    let not_compiled = "error: could not compile";
    assert_fails(not_compiled, None, 101, "no test has passed");
    assert_fails("", None, 0, "no test has passed");
    for log in [[&both, ABORTED].concat(), [ABORTED, &both].concat()] {
        assert_fails(&log, Some(red), 101, "not brought to its end: three");
    }
    let unnamed = both.replace("test d ... FAILED", "");
    assert_fails(&unnamed, Some(red), 101, "without a name");
    let no_commas = "two::d because it is slow";
    assert_fails(&both, Some(no_commas), 101, "target::test, cause, issue");
    let four: String = (1..=4).map(|i| format!("two::d{i}, x, 37\n")).collect();
    assert_fails(&both, Some(&four), 101, "three at most");
}
