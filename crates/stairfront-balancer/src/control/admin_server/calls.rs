//! The calls of the admin API, each with what it does and what it answers.
use std::time::Duration;

use stairfront_admin_api::{
    AdminRequest, AdminRequestError, CordonScope, OperatorOrder, OrderOutcome, OrderSource,
    PlanAction, PlanVerb,
};
use stairfront_codec::http_server::{Request, Response};
use stairfront_maintenance::{CommandKind, Plan};
use stairfront_membership_agent::{CordonOrder, MembershipAgent};
use tracing::info;

use crate::clock::timeout;
use crate::control::admin_server::{replies, AdminServer};
use crate::control::maintenance::admin::PlanCommandError;

/// A call is answered within a second. An order that the engine has not carried out by then counts as not done.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);
/// The part of the second in which all members may confirm an order for the group.
const GROUP_ORDER_TIMEOUT: Duration = Duration::from_millis(900);

const NO_GROUP: &str = "this balancer is in no group: its configuration has no [membership]";
const NO_AGREEMENT: &str =
    "this balancer agrees on nothing with others: its configuration has no [agreement]";
const UNKNOWN_HOST: &str = "no cache host of this name was ever listed";
const NOT_IN_TIME: &str = "not done in time; ask again";

impl AdminServer {
    pub(super) async fn answer(&self, received: &Request) -> Response {
        match AdminRequest::read(&received.method, &received.target) {
            Ok(request) => self.answer_request(request, &received.body).await,
            Err(error @ AdminRequestError::UnknownPath) => replies::not_found(&error.to_string()),
            Err(error @ AdminRequestError::Method(allowed)) => {
                replies::wrong_method(&error.to_string(), allowed)
            }
            Err(error) => replies::bad_request(&error.to_string()),
        }
    }

    async fn answer_request(&self, request: AdminRequest, body: &[u8]) -> Response {
        match request {
            AdminRequest::Health if *self.ready.borrow() => replies::ok("serves\n"),
            AdminRequest::Health => replies::unavailable("no list of servers yet"),
            AdminRequest::Members => match &self.membership {
                Some(membership) => replies::ok_json(&membership.report()),
                None => replies::not_found(NO_GROUP),
            },
            AdminRequest::GetPlans => match &self.maintenance {
                Some(maintenance) => replies::ok_json(&maintenance.published_view()),
                None => replies::not_found(NO_AGREEMENT),
            },
            AdminRequest::SubmitPlan { dry_run } => self.post_plan(body, dry_run).await,
            AdminRequest::ChangePlan(action) => self.change_plan(action).await,
            AdminRequest::Cordon {
                host,
                scope: CordonScope::Local,
            } => self.run_order(OperatorOrder::Cordon(host)).await,
            AdminRequest::Uncordon {
                host,
                scope: CordonScope::Local,
            } => self.run_order(OperatorOrder::Uncordon(host)).await,
            AdminRequest::Cordon {
                host,
                scope: CordonScope::Group,
            } => {
                self.run_group_order(CordonOrder { host, cordon: true })
                    .await
            }
            AdminRequest::Uncordon {
                host,
                scope: CordonScope::Group,
            } => {
                self.run_group_order(CordonOrder {
                    host,
                    cordon: false,
                })
                .await
            }
        }
    }

    /// A plan is checked as a whole against what is agreed of the fleet, before it is proposed and again as it is
    /// committed.
    async fn post_plan(&self, body: &[u8], dry_run: bool) -> Response {
        let Some(maintenance) = &self.maintenance else {
            return replies::not_found(NO_AGREEMENT);
        };
        let mut deserializer = serde_json::Deserializer::from_slice(body);
        let plan: Plan = match serde_path_to_error::deserialize(&mut deserializer) {
            Ok(plan) => plan,
            Err(error) => {
                return replies::bad_request(&format!("{}: {}", error.path(), error.inner()))
            }
        };
        match maintenance.dry_run(&plan) {
            Err(error) => plan_error(&error),
            Ok(outlook) if dry_run => replies::ok_json(&outlook),
            Ok(_) => {
                let author = plan.author.clone();
                self.run_plan_command(&author, CommandKind::Submit(plan))
                    .await
            }
        }
    }

    async fn change_plan(&self, action: PlanAction) -> Response {
        let PlanAction {
            verb,
            plan,
            machine,
            member,
            reason,
            author,
        } = action;
        let kind = match verb {
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
        self.run_plan_command(&author, kind).await
    }

    async fn run_plan_command(&self, author: &str, kind: CommandKind) -> Response {
        let Some(maintenance) = &self.maintenance else {
            return replies::not_found(NO_AGREEMENT);
        };
        if let Some(stalled) = self.stalled_for() {
            return replies::unavailable(&format!(
                "this process stood still for {} ms, and the call may be as old; ask again",
                stalled.as_millis()
            ));
        }
        let command = format!("{kind:?}");
        match maintenance.run_command(author, kind).await {
            Ok(committed) => {
                info!(
                    author,
                    command,
                    index = committed.index,
                    "plan command committed"
                );
                replies::ok_json(&committed)
            }
            Err(error) => plan_error(&error),
        }
    }

    /// How long this process has just stood still. A call that lay here meanwhile is from before whatever the other
    /// members have done since.
    fn stalled_for(&self) -> Option<Duration> {
        self.membership
            .as_ref()
            .and_then(|membership| membership.stalled_for())
    }

    /// Carries out an order at this balancer alone. It is confirmed only once the engine has carried it out, since
    /// operators then restart a cache host that must get no more requests.
    async fn run_order(&self, order: OperatorOrder) -> Response {
        let outcome = timeout(ORDER_TIMEOUT, self.run_at_all_processes(&order)).await;
        match outcome.ok().flatten() {
            Some(OrderOutcome::Done) => {
                info!(?order, "operator's order carried out");
                replies::ok("done\n")
            }
            Some(OrderOutcome::UnknownHost) => replies::not_found(UNKNOWN_HOST),
            Some(OrderOutcome::Usage { .. }) => {
                replies::internal_error("not an answer to this call")
            }
            Some(OrderOutcome::HeldByGroup) => {
                replies::conflict("the group holds it out; lift that with ?scope=group")
            }
            Some(OrderOutcome::NotRecorded) => {
                replies::internal_error("it holds here, but is not on record")
            }
            None => replies::unavailable(NOT_IN_TIME),
        }
    }

    /// Has this process and, during an upgrade, the other one carry an order out; `None` if one of them does not answer.
    async fn run_at_all_processes(&self, order: &OperatorOrder) -> Option<OrderOutcome> {
        let own = self
            .orders
            .run_here(order.clone(), OrderSource::Operator)
            .await?;
        let unknown_here = own == OrderOutcome::UnknownHost;
        let source = if unknown_here {
            OrderSource::Operator
        } else {
            OrderSource::Peer
        };
        let all = self.orders.run_at_peers(own, order, source).await?;
        // The other process knows the name and vouches for it.
        if unknown_here && all != OrderOutcome::UnknownHost {
            self.orders
                .run_here(order.clone(), OrderSource::Peer)
                .await?;
        }
        Some(all)
    }

    /// Orders a cordon, or its end, of the whole group. A cordon is confirmed once every member of the roster has
    /// confirmed it or has left on purpose, its end once a majority has. Otherwise the answer names the missing members
    /// and the order goes on being sent.
    async fn run_group_order(&self, order: CordonOrder) -> Response {
        let Some(membership) = &self.membership else {
            return replies::not_found(NO_GROUP);
        };
        if let Some(stalled) = membership.stalled_for() {
            return replies::unavailable(&format!(
                "this process stood still for {} ms, and the call may be as old: nothing was done; ask again",
                stalled.as_millis()
            ));
        }
        if let Some(refusal) = self.check_host_is_known(membership, &order.host).await {
            return refusal;
        }
        match membership.order(&order, GROUP_ORDER_TIMEOUT).await {
            Ok(progress) => {
                let missing: Vec<&str> = progress
                    .missing
                    .iter()
                    .map(|missing| missing.name.as_str())
                    .collect();
                info!(
                    host = progress.host,
                    cordon = order.cordon,
                    done = progress.done,
                    ?missing,
                    "operator's order for the group"
                );
                if progress.done {
                    replies::ok_json(&progress)
                } else {
                    replies::unavailable_json(&progress)
                }
            }
            Err(error) => replies::conflict(&error.to_string()),
        }
    }

    /// A reply if the engine does not know this host, so that a mistyped name is not sent to all members.
    async fn check_host_is_known(
        &self,
        membership: &MembershipAgent,
        host: &str,
    ) -> Option<Response> {
        if membership.is_cordoned(host) {
            return None;
        }
        let order = OperatorOrder::IsKnown(host.to_string());
        let known = self.orders.run_here(order, OrderSource::Operator);
        match timeout(ORDER_TIMEOUT, known).await {
            Ok(Some(OrderOutcome::Done)) => None,
            Ok(Some(_)) => Some(replies::not_found(UNKNOWN_HOST)),
            Ok(None) | Err(_) => Some(replies::unavailable(NOT_IN_TIME)),
        }
    }
}

fn plan_error(error: &PlanCommandError) -> Response {
    if error.is_rejection() {
        replies::conflict(&error.to_string())
    } else {
        replies::unavailable(&error.to_string())
    }
}
