//! The record of cordons, the orders that two processes exchange, and the calls and refusals at the operators' door are
//! what earlier versions wrote and read.
mod golden;

use golden::Golden;
use serde::{de::DeserializeOwned, Serialize};
use stairfront_admin_api::{record, Act, Call, CallFault, Done, Order, Scope, Verb, Word};

#[test]
fn the_record_of_cordons_is_as_pinned() {
    let mut golden = Golden::default();
    for (file, names) in [
        ("record.json", &["s-1", "s \"2\"", "s-\u{e9}"][..]),
        ("record_empty.json", &[]),
    ] {
        let written = record::write(names.iter().copied());
        let stored = golden.text(file, &written);
        assert_eq!(record::read(&stored).unwrap(), names, "{file}");
        assert_eq!(written, stored, "{file}");
    }
}

/// As JSON, which is how two processes of one balancer send them to each other.
fn check<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(file: &str, values: &[T]) {
    let mut golden = Golden::default();
    let written = serde_json::to_string(values).unwrap();
    let stored = golden.text(file, &written);
    assert_eq!(
        serde_json::from_str::<Vec<T>>(&stored).unwrap(),
        values,
        "{file}"
    );
    assert_eq!(written, stored, "{file}");
}

#[test]
fn every_order_is_as_pinned() {
    let values = [
        Order::Cordon("s-1".into()),
        Order::Uncordon("s-2".into()),
        Order::Hold("s-3".into()),
        Order::Release("s-4".into()),
        Order::Known("s-5".into()),
        Order::Use("s-6".into()),
    ];
    // Does not compile where a variant is missing; it is to be added above, too.
    values.iter().for_each(|value| match value {
        Order::Cordon(_) | Order::Uncordon(_) | Order::Hold(_) => {}
        Order::Release(_) | Order::Known(_) | Order::Use(_) => {}
    });
    check("orders.json", &values);
}

#[test]
fn every_answer_to_an_order_is_as_pinned() {
    let used = Done::Use {
        open: 301,
        sent: 302,
    };
    let values = [
        Done::Yes,
        Done::Unknown,
        Done::NotRecorded,
        Done::Held,
        used,
    ];
    values.iter().for_each(|value| match value {
        Done::Yes | Done::Unknown | Done::NotRecorded | Done::Held | Done::Use { .. } => {}
    });
    check("answers.json", &values);
}

#[test]
fn every_word_is_as_pinned() {
    let values = [Word::Operators, Word::Vouched];
    values.iter().for_each(|value| match value {
        Word::Operators | Word::Vouched => {}
    });
    check("words.json", &values);
}

/// Method and target of a call, and what it is read as.
fn calls() -> Vec<(&'static str, &'static str, Result<Call, CallFault>)> {
    let act = |verb, machine: &str, member: &str, why: &str| {
        let (machine, member, why) = (machine.into(), member.into(), why.into());
        Ok(Call::Act(Act {
            verb,
            plan: 41,
            machine,
            member,
            why,
            author: "ann".into(),
        }))
    };
    vec![
        ("GET", "/admin/health", Ok(Call::Health)),
        ("GET", "/admin/members", Ok(Call::Members)),
        ("GET", "/admin/maintenance", Ok(Call::Maintenance)),
        (
            "POST",
            "/admin/maintenance",
            Ok(Call::Plan { dry_run: false }),
        ),
        (
            "POST",
            "/admin/maintenance/dry-run",
            Ok(Call::Plan { dry_run: true }),
        ),
        (
            "POST",
            "/admin/cordon/s-1",
            Ok(Call::Cordon("s-1".into(), Scope::Own)),
        ),
        (
            "POST",
            "/admin/cordon/s%202?scope=group",
            Ok(Call::Cordon("s 2".into(), Scope::Group)),
        ),
        (
            "POST",
            "/admin/uncordon/s-3",
            Ok(Call::Uncordon("s-3".into(), Scope::Own)),
        ),
        (
            "POST",
            "/admin/uncordon/s-4?scope=group",
            Ok(Call::Uncordon("s-4".into(), Scope::Group)),
        ),
        (
            "POST",
            "/admin/maintenance/hold?plan=41&author=ann&why=late",
            act(Verb::Hold, "", "", "late"),
        ),
        (
            "POST",
            "/admin/maintenance/resume?plan=41&author=ann",
            act(Verb::Resume, "", "", ""),
        ),
        (
            "POST",
            "/admin/maintenance/skip?plan=41&author=ann&machine=m-1",
            act(Verb::Skip, "m-1", "", ""),
        ),
        (
            "POST",
            "/admin/maintenance/drop?plan=41&author=ann",
            act(Verb::Drop, "", "", ""),
        ),
        (
            "POST",
            "/admin/maintenance/done?plan=41&author=ann&machine=m-2",
            act(Verb::Done, "m-2", "", ""),
        ),
        (
            "POST",
            "/admin/maintenance/force?plan=41&author=ann&machine=m-3&member=b-3",
            act(Verb::Force, "m-3", "b-3", ""),
        ),
        ("GET", "/admin/other", Err(CallFault::Unknown)),
        ("POST", "/admin/health", Err(CallFault::Method("GET"))),
        ("GET", "/admin/cordon/s-1", Err(CallFault::Method("POST"))),
        ("POST", "/admin/cordon/", Err(CallFault::Name)),
        ("POST", "/admin/cordon/s-1?scope=all", Err(CallFault::Scope)),
        (
            "POST",
            "/admin/maintenance/drop?author=ann",
            Err(CallFault::Missing("plan")),
        ),
        (
            "POST",
            "/admin/maintenance/drop?plan=41",
            Err(CallFault::Missing("author")),
        ),
        (
            "POST",
            "/admin/maintenance/hold?plan=41&author=ann",
            Err(CallFault::Missing("why")),
        ),
        (
            "POST",
            "/admin/maintenance/skip?plan=41&author=ann",
            Err(CallFault::Missing("machine")),
        ),
        (
            "POST",
            "/admin/maintenance/force?plan=41&author=ann&machine=m-3",
            Err(CallFault::Missing("member")),
        ),
        (
            "POST",
            "/admin/maintenance/drop?plan=x&author=ann",
            Err(CallFault::Value("plan")),
        ),
    ]
}

/// Calls are only read here, and refusals only written: the file has a line for each call, with the refusal behind it.
#[test]
fn every_call_and_refusal_is_as_pinned() {
    let mut golden = Golden::default();
    let line = |method: &str, target: &str| match Call::read(method, target) {
        Ok(_) => format!("{method} {target}\n"),
        Err(fault) => format!("{method} {target} -> {fault}\n"),
    };
    let written: String = calls()
        .iter()
        .map(|(method, target, _)| line(method, target))
        .collect();
    let stored = golden.text("calls.txt", &written);
    assert_eq!(stored.lines().count(), calls().len());
    for (line, (.., wanted)) in stored.lines().zip(calls()) {
        let call = line.split(" -> ").next().unwrap();
        let (method, target) = call.split_once(' ').unwrap();
        assert_eq!(Call::read(method, target), wanted, "{line}");
    }
    assert_eq!(written, stored);
}
