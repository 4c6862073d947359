//! The operators' door: an address of its own, HTTP/1.1, one call to a connection. What a call means stands in
//! `stairfront-admin-api`; what it changes is done by the engine.
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use stairfront_admin_api::{
    AdminRequest, AdminRequestError, CordonScope, OperatorOrder, OrderOutcome, OrderSource,
    PlanAction, PlanVerb,
};
use stairfront_codec::budget::Budget;
use stairfront_codec::http::HttpError;
use stairfront_codec::http_server::{HttpServerCodec, Request as Received, Response as Reply};
use stairfront_maintenance::{CommandKind, Plan};
use stairfront_membership_agent::{CordonOrder as GroupOrder, MembershipAgent};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::task::{spawn_local, AbortHandle};
use tokio_util::codec::Framed;
use tracing::{info, warn};

use crate::clock::{sleep, timeout};
use crate::control::maintenance::{CommandError, MaintenanceService};
use crate::control::pending_order::PendingOrder;
use crate::lifecycle::handover::HandoverChannel;
use crate::transport::{Listener, Stream};

/// Callers that are spoken to at once; their descriptors are set aside (`limits.rs`).
pub const MAX_CALLERS: usize = 8;
/// A whole call comes at once; who has brought none by then is sent away. Others may be sent away sooner, to make room.
const CALL_LIMIT: Duration = Duration::from_millis(2000);
/// An answer is owed within a second. What the engine has not done by then is answered with a no.
const ORDER_LIMIT: Duration = Duration::from_millis(700);
/// For a caller to read its answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// No call has a body that matters.
const MAX_BODY_BYTES: usize = 4096;
/// An order for the group has this time to be confirmed by all, within the second.
const GROUP_LIMIT: Duration = Duration::from_millis(900);
const NO_GROUP: &str = "this balancer is in no group: its configuration has no [membership]";
const NO_AGREEMENT: &str =
    "this balancer agrees on nothing with others: its configuration has no [agreement]";
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What the door needs to know.
#[derive(Clone)]
pub struct AdminServer {
    pub orders: mpsc::Sender<PendingOrder>,
    /// Other processes of this balancer, during an upgrade.
    pub links: [Rc<HandoverChannel>; 2],
    /// This process can serve.
    pub ready: watch::Receiver<bool>,
    /// The group, where there is one.
    pub members: Option<Rc<MembershipAgent>>,
    /// The plans that the group has agreed on, where it agrees on any.
    pub keeper: Option<Rc<MaintenanceService>>,
}

/// Callers that have brought no whole call yet, the one that came first in front.
type Mute = Rc<RefCell<VecDeque<(u64, AbortHandle)>>>;

/// Answers calls for as long as the balancer runs.
pub async fn serve<L: Listener>(listener: L, desk: AdminServer) {
    let (places, mute) = (Arc::new(Semaphore::new(MAX_CALLERS)), Mute::default());
    let budget = Budget::new(MAX_CALLERS * MAX_BODY_BYTES);
    for caller in 0.. {
        let socket = loop {
            match listener.accept().await {
                Ok(socket) => break socket,
                Err(problem) => {
                    warn!("operators' door: cannot accept: {problem}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        };
        // Danger: callers that say nothing would keep out one that does. The one that came first makes room.
        if places.available_permits() == 0 {
            if let Some((_, oldest)) = mute.borrow_mut().pop_front() {
                oldest.abort();
            }
        }
        let Ok(place) = Arc::clone(&places).acquire_owned().await else {
            return;
        };
        let (desk, own_mute, budget) = (desk.clone(), Rc::clone(&mute), Rc::clone(&budget));
        let task = spawn_local(async move {
            let wire = Framed::new(socket, HttpServerCodec::new(MAX_BODY_BYTES, &budget));
            speak(wire, desk, || {
                own_mute.borrow_mut().retain(|(other, _)| *other != caller)
            })
            .await;
            drop(place);
        });
        mute.borrow_mut().push_back((caller, task.abort_handle()));
    }
}

/// One call and its answer. `heard` is called once the caller has brought a whole call or will bring none.
async fn speak<T: Stream>(
    mut wire: Framed<T, HttpServerCodec>,
    desk: AdminServer,
    heard: impl FnOnce(),
) {
    let call = timeout(CALL_LIMIT, wire.next()).await;
    heard();
    let reply = match call {
        Ok(Some(Ok(received))) => answer(&received, &desk).await,
        Ok(Some(Err(HttpError::Malformed(problem)))) => no(400, "Bad Request", problem),
        // It has left, or brought nothing: there is nobody to answer, or nothing.
        Ok(Some(Err(HttpError::Io(_))) | None) | Err(_) => return,
    };
    let said = async {
        wire.send(reply).await?;
        // Danger: a close with input unread resets the connection, and the answer with it.
        let socket = wire.get_mut();
        socket.shutdown().await?;
        let mut rest = [0; 512];
        while socket.read(&mut rest).await? > 0 {}
        Ok::<(), HttpError>(())
    };
    // A caller that does not read has its answer or does not want it.
    let _ = timeout(ANSWER_LIMIT, said).await;
}

async fn answer(received: &Received, desk: &AdminServer) -> Reply {
    match AdminRequest::read(&received.method, &received.target) {
        Ok(AdminRequest::Health) if *desk.ready.borrow() => yes("serves\n"),
        Ok(AdminRequest::Health) => no(503, "Service Unavailable", "no list of servers yet"),
        Ok(AdminRequest::Members) => match &desk.members {
            Some(members) => json(200, "OK", &members.report()),
            None => no(404, "Not Found", NO_GROUP),
        },
        Ok(AdminRequest::GetPlans) => match &desk.keeper {
            Some(keeper) => json(200, "OK", &keeper.shown()),
            None => no(404, "Not Found", NO_AGREEMENT),
        },
        Ok(AdminRequest::SubmitPlan { dry_run }) => plan(&received.body, dry_run, desk).await,
        Ok(AdminRequest::ChangePlan(act)) => {
            let PlanAction {
                verb,
                plan,
                machine,
                member,
                reason,
                author,
            } = act;
            let what = match verb {
                PlanVerb::Hold => CommandKind::Hold { plan, reason },
                PlanVerb::Resume => CommandKind::Resume { plan },
                PlanVerb::Skip => CommandKind::Skip { plan, machine },
                PlanVerb::Drop => CommandKind::Drop { plan },
                PlanVerb::Done => CommandKind::Done { plan, machine },
                PlanVerb::Force => CommandKind::Force {
                    plan,
                    machine,
                    member,
                },
            };
            command(&author, what, desk).await
        }
        Ok(AdminRequest::Cordon {
            host,
            scope: CordonScope::Local,
        }) => order(OperatorOrder::Cordon(host), desk).await,
        Ok(AdminRequest::Uncordon {
            host,
            scope: CordonScope::Local,
        }) => order(OperatorOrder::Uncordon(host), desk).await,
        Ok(AdminRequest::Cordon {
            host,
            scope: CordonScope::Group,
        }) => group_order(host, true, desk).await,
        Ok(AdminRequest::Uncordon {
            host,
            scope: CordonScope::Group,
        }) => group_order(host, false, desk).await,
        Err(fault @ AdminRequestError::UnknownPath) => no(404, "Not Found", &fault.to_string()),
        Err(fault @ AdminRequestError::Method(allowed)) => {
            let mut reply = no(405, "Method Not Allowed", &fault.to_string());
            reply.headers.push(("Allow", allowed.to_string()));
            reply
        }
        Err(fault) => no(400, "Bad Request", &fault.to_string()),
    }
}

/// A plan is read whole and checked against what is agreed of the fleet, before it is told and again as it is settled.
async fn plan(body: &[u8], dry_run: bool, desk: &AdminServer) -> Reply {
    let Some(keeper) = &desk.keeper else {
        return no(404, "Not Found", NO_AGREEMENT);
    };
    let plan: Plan =
        match serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(body)) {
            Ok(plan) => plan,
            Err(fault) => {
                return no(
                    400,
                    "Bad Request",
                    &format!("{}: {}", fault.path(), fault.inner()),
                )
            }
        };
    match keeper.dry_run(&plan) {
        Err(CommandError::Refused(fault)) => no(409, "Conflict", &fault),
        Err(CommandError::Unsettled(problem)) => no(503, "Service Unavailable", &problem),
        Ok(would) if dry_run => json(200, "OK", &would),
        Ok(_) => command(&plan.author.clone(), CommandKind::Submit(plan), desk).await,
    }
}

async fn command(author: &str, what: CommandKind, desk: &AdminServer) -> Reply {
    let Some(keeper) = &desk.keeper else {
        return no(404, "Not Found", NO_AGREEMENT);
    };
    // Danger: a call that lay here while this process slept is from before whatever the others have done since.
    if let Some(slept) = desk
        .members
        .as_ref()
        .and_then(|members| members.stalled_for())
    {
        let slept = slept.as_millis();
        let problem = format!(
            "this process stood still for {slept} ms, and the call may be as old; ask again"
        );
        return no(503, "Service Unavailable", &problem);
    }
    let words = format!("{what:?}");
    match keeper.command_of(author, what).await {
        Ok(settled) => {
            info!("operators: {author}: {words}: settled at {}", settled.index);
            json(200, "OK", &settled)
        }
        Err(CommandError::Refused(problem)) => no(409, "Conflict", &problem),
        Err(CommandError::Unsettled(problem)) => no(503, "Service Unavailable", &problem),
    }
}

/// Danger: a yes before the engine has it would have operators restart a cache host that still gets requests.
async fn order(order: OperatorOrder, desk: &AdminServer) -> Reply {
    match timeout(ORDER_LIMIT, everywhere(&order, desk))
        .await
        .ok()
        .flatten()
    {
        Some(OrderOutcome::Done) => {
            info!("operators: {order:?}: yes");
            yes("done\n")
        }
        Some(OrderOutcome::UnknownHost) => no(
            404,
            "Not Found",
            "no cache host of this name was ever listed",
        ),
        Some(OrderOutcome::Usage { .. }) => {
            no(500, "Internal Server Error", "not an answer to this call")
        }
        Some(OrderOutcome::HeldByGroup) => no(
            409,
            "Conflict",
            "the group holds it out; lift that with ?scope=group",
        ),
        Some(OrderOutcome::NotRecorded) => no(
            500,
            "Internal Server Error",
            "it holds here, but is not on record",
        ),
        None => no(503, "Service Unavailable", "not done in time; ask again"),
    }
}

/// An order to the whole group: a yes once every member of the roster has confirmed a cordon, or has left on purpose,
/// and once a majority has confirmed its end. A no tells who is missing and why; what was ordered goes on being told.
async fn group_order(host: String, cordon: bool, desk: &AdminServer) -> Reply {
    let Some(members) = &desk.members else {
        return no(404, "Not Found", NO_GROUP);
    };
    // Danger: a call that lay here while this process slept is from before whatever the others have done since.
    if let Some(slept) = members.stalled_for() {
        let problem = format!(
            "this process stood still for {} ms, and the call may be as old: nothing was done; ask again",
            slept.as_millis()
        );
        return no(503, "Service Unavailable", &problem);
    }
    // A name that was never listed here is asked of the engine first: a slip of the pen must not go to all.
    if !members.holds(&host) {
        match timeout(
            ORDER_LIMIT,
            here(
                OperatorOrder::IsKnown(host.clone()),
                OrderSource::Operator,
                desk,
            ),
        )
        .await
        {
            Ok(Some(OrderOutcome::Done)) => {}
            Ok(Some(_)) => {
                return no(
                    404,
                    "Not Found",
                    "no cache host of this name was ever listed",
                )
            }
            _ => return no(503, "Service Unavailable", "not done in time; ask again"),
        }
    }
    match members
        .order(&GroupOrder { host, cordon }, GROUP_LIMIT)
        .await
    {
        Ok(progress) => {
            let missing: Vec<&str> = progress
                .missing
                .iter()
                .map(|missing| missing.name.as_str())
                .collect();
            info!(
                "operators: for the group: {} {}: {}, missing {missing:?}",
                if cordon { "cordon" } else { "uncordon" },
                progress.host,
                if progress.done { "yes" } else { "not yet" }
            );
            match progress.done {
                true => json(200, "OK", &progress),
                false => json(503, "Service Unavailable", &progress),
            }
        }
        Err(refusal) => no(409, "Conflict", &refusal.to_string()),
    }
}

/// Has this process and, during an upgrade, the other one carry an order out; none if one of them does not answer.
async fn everywhere(order: &OperatorOrder, desk: &AdminServer) -> Option<OrderOutcome> {
    let own = here(order.clone(), OrderSource::Operator, desk).await?;
    let word = if own == OrderOutcome::UnknownHost {
        OrderSource::Operator
    } else {
        OrderSource::Peer
    };
    let mut all = own;
    for link in &desk.links {
        if let Some(answer) = link.relay(order, word).await {
            all = all.combine(answer.ok()?);
        }
    }
    // The other one knows the name.
    if own == OrderOutcome::UnknownHost && all != OrderOutcome::UnknownHost {
        here(order.clone(), OrderSource::Peer, desk).await?;
    }
    Some(all)
}

async fn here(order: OperatorOrder, word: OrderSource, desk: &AdminServer) -> Option<OrderOutcome> {
    let (done, is_done) = oneshot::channel();
    desk.orders
        .send(PendingOrder { order, word, done })
        .await
        .ok()?;
    is_done.await.ok()
}

fn yes(text: &'static str) -> Reply {
    reply(200, "OK", Bytes::from_static(text.as_bytes()))
}

fn no(status: u16, reason: &'static str, problem: &str) -> Reply {
    reply(status, reason, Bytes::from(format!("{problem}\n")))
}

fn json(status: u16, reason: &'static str, value: &impl serde::Serialize) -> Reply {
    // Texts, numbers and lists of them alone, which cannot fail.
    let body = Bytes::from(serde_json::to_vec(value).unwrap_or_default());
    let headers = vec![
        ("Connection", "close".to_string()),
        ("Content-Type", "application/json".to_string()),
    ];
    Reply {
        status,
        reason,
        headers,
        body,
    }
}

fn reply(status: u16, reason: &'static str, body: Bytes) -> Reply {
    let headers = vec![
        ("Connection", "close".to_string()),
        ("Content-Type", "text/plain".to_string()),
    ];
    Reply {
        status,
        reason,
        headers,
        body,
    }
}
