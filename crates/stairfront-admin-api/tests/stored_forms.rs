//! The record of cordons, the orders that two processes exchange, and the calls and refusals at the operators' door are
//! what earlier versions wrote and read.
mod golden;

use golden::Golden;
use serde::{de::DeserializeOwned, Serialize};
use stairfront_admin_api::{
    record, AdminRequest, AdminRequestError, CordonScope, OperatorOrder, OrderOutcome, OrderSource,
    PlanAction, PlanVerb,
};

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
        OperatorOrder::Cordon("s-1".into()),
        OperatorOrder::Uncordon("s-2".into()),
        OperatorOrder::Hold("s-3".into()),
        OperatorOrder::Release("s-4".into()),
        OperatorOrder::Known("s-5".into()),
        OperatorOrder::Use("s-6".into()),
    ];
    // Does not compile where a variant is missing; it is to be added above, too.
    values.iter().for_each(|value| match value {
        OperatorOrder::Cordon(_) | OperatorOrder::Uncordon(_) | OperatorOrder::Hold(_) => {}
        OperatorOrder::Release(_) | OperatorOrder::Known(_) | OperatorOrder::Use(_) => {}
    });
    check("orders.json", &values);
}

#[test]
fn every_answer_to_an_order_is_as_pinned() {
    let used = OrderOutcome::Use {
        open: 301,
        sent: 302,
    };
    let values = [
        OrderOutcome::Yes,
        OrderOutcome::Unknown,
        OrderOutcome::NotRecorded,
        OrderOutcome::Held,
        used,
    ];
    values.iter().for_each(|value| match value {
        OrderOutcome::Yes
        | OrderOutcome::Unknown
        | OrderOutcome::NotRecorded
        | OrderOutcome::Held
        | OrderOutcome::Use { .. } => {}
    });
    check("answers.json", &values);
}

#[test]
fn every_word_is_as_pinned() {
    let values = [OrderSource::Operators, OrderSource::Vouched];
    values.iter().for_each(|value| match value {
        OrderSource::Operators | OrderSource::Vouched => {}
    });
    check("words.json", &values);
}

/// Method and target of a call, and what it is read as.
fn calls() -> Vec<(
    &'static str,
    &'static str,
    Result<AdminRequest, AdminRequestError>,
)> {
    let act = |verb, machine: &str, member: &str, why: &str| {
        let (machine, member, why) = (machine.into(), member.into(), why.into());
        Ok(AdminRequest::Act(PlanAction {
            verb,
            plan: 41,
            machine,
            member,
            why,
            author: "ann".into(),
        }))
    };
    vec![
        ("GET", "/admin/health", Ok(AdminRequest::Health)),
        ("GET", "/admin/members", Ok(AdminRequest::Members)),
        ("GET", "/admin/maintenance", Ok(AdminRequest::Maintenance)),
        (
            "POST",
            "/admin/maintenance",
            Ok(AdminRequest::Plan { dry_run: false }),
        ),
        (
            "POST",
            "/admin/maintenance/dry-run",
            Ok(AdminRequest::Plan { dry_run: true }),
        ),
        (
            "POST",
            "/admin/cordon/s-1",
            Ok(AdminRequest::Cordon("s-1".into(), CordonScope::Own)),
        ),
        (
            "POST",
            "/admin/cordon/s%202?scope=group",
            Ok(AdminRequest::Cordon("s 2".into(), CordonScope::Group)),
        ),
        (
            "POST",
            "/admin/uncordon/s-3",
            Ok(AdminRequest::Uncordon("s-3".into(), CordonScope::Own)),
        ),
        (
            "POST",
            "/admin/uncordon/s-4?scope=group",
            Ok(AdminRequest::Uncordon("s-4".into(), CordonScope::Group)),
        ),
        (
            "POST",
            "/admin/maintenance/hold?plan=41&author=ann&why=late",
            act(PlanVerb::Hold, "", "", "late"),
        ),
        (
            "POST",
            "/admin/maintenance/resume?plan=41&author=ann",
            act(PlanVerb::Resume, "", "", ""),
        ),
        (
            "POST",
            "/admin/maintenance/skip?plan=41&author=ann&machine=m-1",
            act(PlanVerb::Skip, "m-1", "", ""),
        ),
        (
            "POST",
            "/admin/maintenance/drop?plan=41&author=ann",
            act(PlanVerb::Drop, "", "", ""),
        ),
        (
            "POST",
            "/admin/maintenance/done?plan=41&author=ann&machine=m-2",
            act(PlanVerb::Done, "m-2", "", ""),
        ),
        (
            "POST",
            "/admin/maintenance/force?plan=41&author=ann&machine=m-3&member=b-3",
            act(PlanVerb::Force, "m-3", "b-3", ""),
        ),
        ("GET", "/admin/other", Err(AdminRequestError::Unknown)),
        (
            "POST",
            "/admin/health",
            Err(AdminRequestError::Method("GET")),
        ),
        (
            "GET",
            "/admin/cordon/s-1",
            Err(AdminRequestError::Method("POST")),
        ),
        ("POST", "/admin/cordon/", Err(AdminRequestError::Name)),
        (
            "POST",
            "/admin/cordon/s-1?scope=all",
            Err(AdminRequestError::Scope),
        ),
        (
            "POST",
            "/admin/maintenance/drop?author=ann",
            Err(AdminRequestError::Missing("plan")),
        ),
        (
            "POST",
            "/admin/maintenance/drop?plan=41",
            Err(AdminRequestError::Missing("author")),
        ),
        (
            "POST",
            "/admin/maintenance/hold?plan=41&author=ann",
            Err(AdminRequestError::Missing("why")),
        ),
        (
            "POST",
            "/admin/maintenance/skip?plan=41&author=ann",
            Err(AdminRequestError::Missing("machine")),
        ),
        (
            "POST",
            "/admin/maintenance/force?plan=41&author=ann&machine=m-3",
            Err(AdminRequestError::Missing("member")),
        ),
        (
            "POST",
            "/admin/maintenance/drop?plan=x&author=ann",
            Err(AdminRequestError::Value("plan")),
        ),
    ]
}

/// Calls are only read here, and refusals only written: the file has a line for each call, with the refusal behind it.
#[test]
fn every_call_and_refusal_is_as_pinned() {
    let mut golden = Golden::default();
    let line = |method: &str, target: &str| match AdminRequest::read(method, target) {
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
        assert_eq!(AdminRequest::read(method, target), wanted, "{line}");
    }
    assert_eq!(written, stored);
}
