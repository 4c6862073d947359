//! The record of cordons, the orders that two processes exchange, and the admin calls with their errors have the forms
//! that earlier versions wrote and read.
use serde::{de::DeserializeOwned, Serialize};
use stairfront_admin_api::{
    cordon_record, AdminRequest, AdminRequestError, CordonScope, OperatorOrder, OrderOutcome,
    OrderSource, PlanAction, PlanVerb,
};
use stairfront_test_support::golden::GoldenFiles;

fn golden() -> GoldenFiles {
    GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn the_record_of_cordons_is_as_pinned() {
    for (file, names) in [
        ("record.json", &["s-1", "s \"2\"", "s-\u{e9}"][..]),
        ("record_empty.json", &[]),
    ] {
        let written = cordon_record::write(names.iter().copied());
        let stored = golden().assert_bytes(file, written.as_bytes());
        let stored = String::from_utf8(stored).unwrap();
        assert_eq!(cordon_record::read(&stored).unwrap(), names, "{file}");
    }
}

/// The values as JSON, the form in which two processes of one balancer exchange them.
fn check<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(file: &str, values: &[T]) {
    let written = serde_json::to_string(values).unwrap();
    let stored = golden().assert_bytes(file, written.as_bytes());
    assert_eq!(
        serde_json::from_slice::<Vec<T>>(&stored).unwrap(),
        values,
        "{file}"
    );
}

#[test]
fn every_order_is_as_pinned() {
    let values = [
        OperatorOrder::Cordon("s-1".into()),
        OperatorOrder::Uncordon("s-2".into()),
        OperatorOrder::GroupCordon("s-3".into()),
        OperatorOrder::GroupUncordon("s-4".into()),
        OperatorOrder::IsKnown("s-5".into()),
        OperatorOrder::GetUsage("s-6".into()),
    ];
    // Does not compile where a variant is missing; it is to be added above, too.
    values.iter().for_each(|value| match value {
        OperatorOrder::Cordon(_) | OperatorOrder::Uncordon(_) | OperatorOrder::GroupCordon(_) => {}
        OperatorOrder::GroupUncordon(_)
        | OperatorOrder::IsKnown(_)
        | OperatorOrder::GetUsage(_) => {}
    });
    check("orders.json", &values);
}

#[test]
fn every_order_outcome_is_as_pinned() {
    let used = OrderOutcome::Usage {
        in_flight: 301,
        sent: 302,
    };
    let values = [
        OrderOutcome::Done,
        OrderOutcome::UnknownHost,
        OrderOutcome::NotRecorded,
        OrderOutcome::HeldByGroup,
        used,
    ];
    values.iter().for_each(|value| match value {
        OrderOutcome::Done
        | OrderOutcome::UnknownHost
        | OrderOutcome::NotRecorded
        | OrderOutcome::HeldByGroup
        | OrderOutcome::Usage { .. } => {}
    });
    check("answers.json", &values);
}

#[test]
fn every_order_source_is_as_pinned() {
    let values = [OrderSource::Operator, OrderSource::Peer];
    values.iter().for_each(|value| match value {
        OrderSource::Operator | OrderSource::Peer => {}
    });
    check("words.json", &values);
}

/// Method and target of a call, and what it is read as.
type Call = (
    &'static str,
    &'static str,
    Result<AdminRequest, AdminRequestError>,
);

fn calls() -> Vec<Call> {
    [simple_calls(), plan_calls(), faulty_calls()].concat()
}

fn simple_calls() -> Vec<Call> {
    vec![
        ("GET", "/admin/health", Ok(AdminRequest::Health)),
        ("GET", "/admin/members", Ok(AdminRequest::Members)),
        ("GET", "/admin/maintenance", Ok(AdminRequest::GetPlans)),
        (
            "POST",
            "/admin/maintenance",
            Ok(AdminRequest::SubmitPlan { dry_run: false }),
        ),
        (
            "POST",
            "/admin/maintenance/dry-run",
            Ok(AdminRequest::SubmitPlan { dry_run: true }),
        ),
        (
            "POST",
            "/admin/cordon/s-1",
            Ok(AdminRequest::Cordon {
                host: "s-1".into(),
                scope: CordonScope::Local,
            }),
        ),
        (
            "POST",
            "/admin/cordon/s%202?scope=group",
            Ok(AdminRequest::Cordon {
                host: "s 2".into(),
                scope: CordonScope::Group,
            }),
        ),
        (
            "POST",
            "/admin/uncordon/s-3",
            Ok(AdminRequest::Uncordon {
                host: "s-3".into(),
                scope: CordonScope::Local,
            }),
        ),
        (
            "POST",
            "/admin/uncordon/s-4?scope=group",
            Ok(AdminRequest::Uncordon {
                host: "s-4".into(),
                scope: CordonScope::Group,
            }),
        ),
    ]
}

fn plan_calls() -> Vec<Call> {
    let act = |verb, machine: &str, member: &str, reason: &str| {
        let (machine, member, reason) = (machine.into(), member.into(), reason.into());
        Ok(AdminRequest::ChangePlan(PlanAction {
            verb,
            plan: 41,
            machine,
            member,
            reason,
            author: "ann".into(),
        }))
    };
    vec![
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
    ]
}

fn faulty_calls() -> Vec<Call> {
    vec![
        ("GET", "/admin/other", Err(AdminRequestError::UnknownPath)),
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
            Err(AdminRequestError::MissingParameter("plan")),
        ),
        (
            "POST",
            "/admin/maintenance/drop?plan=41",
            Err(AdminRequestError::MissingParameter("author")),
        ),
        (
            "POST",
            "/admin/maintenance/hold?plan=41&author=ann",
            Err(AdminRequestError::MissingParameter("why")),
        ),
        (
            "POST",
            "/admin/maintenance/skip?plan=41&author=ann",
            Err(AdminRequestError::MissingParameter("machine")),
        ),
        (
            "POST",
            "/admin/maintenance/force?plan=41&author=ann&machine=m-3",
            Err(AdminRequestError::MissingParameter("member")),
        ),
        (
            "POST",
            "/admin/maintenance/drop?plan=x&author=ann",
            Err(AdminRequestError::InvalidParameter("plan")),
        ),
    ]
}

/// Calls are only read here, and refusals only written: the file has a line for each call, with the refusal behind it.
#[test]
fn every_call_and_its_error_is_as_pinned() {
    let line = |method: &str, target: &str| match AdminRequest::read(method, target) {
        Ok(_) => format!("{method} {target}\n"),
        Err(error) => format!("{method} {target} -> {error}\n"),
    };
    let written: String = calls()
        .iter()
        .map(|(method, target, _)| line(method, target))
        .collect();
    let stored = golden().assert_bytes("calls.txt", written.as_bytes());
    let stored = String::from_utf8(stored).unwrap();
    assert_eq!(stored.lines().count(), calls().len());
    for (line, (.., wanted)) in stored.lines().zip(calls()) {
        let call = line.split(" -> ").next().unwrap();
        let (method, target) = call.split_once(' ').unwrap();
        assert_eq!(AdminRequest::read(method, target), wanted, "{line}");
    }
}
