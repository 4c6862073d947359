//! The interface of the agent for the other parts of the program.
use std::time::Duration;

use stairfront_gossip_membership::report::{Progress, Report};
use stairfront_gossip_membership::{
    Action, DrainAnnouncement, OrderError, PlannedCordons, QuorumStatus,
};
use tokio::time::{sleep, timeout};
use tracing::warn;

use crate::agent::MembershipAgent;
use crate::engine_events::MembershipEvent;
use crate::payload_queue::ReceivedPayload;
use crate::sockets::BIND_RETRY_INTERVAL;

/// Time for which a start waits for the other members' cordons before it serves.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of times that a leave is announced.
const LEAVE_ANNOUNCEMENTS: usize = 2;
/// Time after each announcement of a leave.
const LEAVE_INTERVAL: Duration = Duration::from_millis(30);

/// An operator's order for the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CordonOrder {
    /// The cache host.
    pub host: String,
    /// Whether to cordon the host; otherwise its cordons are lifted.
    pub cordon: bool,
}

impl MembershipAgent {
    /// Keeps messages of other members from now on, for [`MembershipAgent::next_payload`].
    pub fn enable_payloads(&self) {
        self.payloads.enable();
    }

    /// Returns the next message of another member, as soon as there is one.
    pub async fn next_payload(&self) -> ReceivedPayload {
        self.payloads.next().await
    }

    /// Sends a message of another part of the program to a member, at once and without a guarantee.
    pub fn send_payload(&self, to: &str, bytes: Vec<u8>) {
        self.core.borrow_mut().send_payload(to, bytes);
        self.changed.notify_one();
    }

    /// Returns once the sockets are open, and so an earlier process of this balancer has ended.
    pub async fn wait_until_listening(&self) {
        while self.udp.borrow().is_none() {
            sleep(BIND_RETRY_INTERVAL).await;
        }
    }

    /// Names of all members that the group is meant to have.
    #[must_use]
    pub fn roster(&self) -> Vec<String> {
        self.core.borrow().settings().roster.clone()
    }

    /// Random number that identifies this process among all that run, or ran, under this name.
    #[must_use]
    pub fn process_id(&self) -> u64 {
        self.core.borrow().settings().process_id
    }

    /// Returns the hosts that the group has cordoned, for a start that must not send to them. With `ask`, it first asks the
    /// other members until a majority has answered or a timeout. From then on the engine gets the changes as events.
    pub async fn bootstrap(&self, ask: bool) -> Vec<String> {
        if ask {
            self.core.borrow_mut().begin_bootstrap(self.now());
            if timeout(BOOTSTRAP_TIMEOUT, self.bootstrapped())
                .await
                .is_err()
            {
                warn!("too few members have sent the cordons of the group; serving by the record, still asking");
            }
        }
        let cordoned: Vec<String> = self
            .core
            .borrow()
            .cordons()
            .cordoned_hosts()
            .map(str::to_string)
            .collect();
        self.engine_events.clear_cordons();
        let now = self.now();
        for host in &cordoned {
            self.core.borrow_mut().cordon_applied(now, host, true);
        }
        self.engine_events.enable();
        cordoned
    }

    async fn bootstrapped(&self) {
        while !self.core.borrow().is_bootstrapped() {
            self.progressed.notified().await;
        }
    }

    /// Returns the next change that the engine has to apply, as soon as there is one.
    pub async fn next_event(&self) -> MembershipEvent {
        self.engine_events.next().await
    }

    /// Records that the engine has cordoned a host or ended its cordon.
    pub fn cordon_applied(&self, host: &str, cordoned: bool) {
        self.core
            .borrow_mut()
            .cordon_applied(self.now(), host, cordoned);
        self.changed.notify_one();
    }

    /// Handles an announcement by this balancer's own discovery.
    pub fn handle_announcement(&self, announcement: &DrainAnnouncement) {
        self.core
            .borrow_mut()
            .handle_announcement(self.now(), announcement);
        self.changed.notify_one();
    }

    /// Gives an order to the whole group, and waits until it is done there, for at most `limit`.
    ///
    /// # Errors
    ///
    /// If this member does not take the order.
    pub async fn order(
        &self,
        order: &CordonOrder,
        limit: Duration,
    ) -> Result<Progress, OrderError> {
        let number = self
            .core
            .borrow_mut()
            .order(self.now(), &order.host, order.cordon)?;
        self.changed.notify_one();
        if let Ok(Err(error)) = timeout(limit, self.order_done(number)).await {
            return Err(error);
        }
        self.order_progress(number)
    }

    async fn order_done(&self, number: u64) -> Result<(), OrderError> {
        while !self.order_progress(number)?.done {
            self.progressed.notified().await;
        }
        Ok(())
    }

    fn order_progress(&self, number: u64) -> Result<Progress, OrderError> {
        self.progress(number).ok_or(OrderError::Busy)
    }

    /// Applies the cordons that the agreed plans require.
    pub fn apply_planned_cordons(&self, planned: &PlannedCordons) {
        self.core
            .borrow_mut()
            .apply_planned_cordons(self.now(), planned);
        self.changed.notify_one();
    }

    /// Begins to collect the confirmations of a plan's cordon, which was set by the raft log entry `log_index`; returns the
    /// number for [`MembershipAgent::progress`].
    ///
    /// # Errors
    ///
    /// If too many orders are in progress.
    pub fn confirm_planned_cordon(&self, host: &str, log_index: u64) -> Result<u64, OrderError> {
        let number = self
            .core
            .borrow_mut()
            .confirm_planned_cordon(self.now(), host, log_index);
        self.changed.notify_one();
        number
    }

    /// Progress of an order; none for an unknown or expired one.
    #[must_use]
    pub fn progress(&self, order: u64) -> Option<Progress> {
        self.core.borrow().progress(order)
    }

    /// The quorum status in force.
    #[must_use]
    pub fn quorum_status(&self) -> QuorumStatus {
        self.core.borrow().quorum_status()
    }

    /// Whether the group has cordoned a host.
    #[must_use]
    pub fn is_cordoned(&self, host: &str) -> bool {
        self.core.borrow().cordons().is_cordoned(host)
    }

    /// This member's view of the group.
    #[must_use]
    pub fn report(&self) -> Report {
        self.core.borrow().report(self.now())
    }

    /// Announces that this process ends on purpose. To be called once it sends nothing to cache hosts any more.
    pub async fn leave(&self) {
        let udp = self.udp.borrow().clone();
        let Some(udp) = udp else { return };
        for _ in 0..LEAVE_ANNOUNCEMENTS {
            self.core.borrow_mut().leave(self.now());
            let actions = self.core.borrow_mut().take_actions();
            for action in actions {
                if let Action::Send { to, bytes } = action {
                    // A failure is the same as a loss in the network; the second announcement may arrive.
                    let _ = udp.try_send_to(&bytes, to);
                }
            }
            sleep(LEAVE_INTERVAL).await;
        }
    }
}
