//! Changes of the process: new settings and a shutdown.
use stairfront_common::time::Micros;

use super::timer_token::TimerToken;
use super::Policy;
use crate::interface::{Action, Settings};
use crate::statistics::MajorityVote;

impl Policy {
    /// Adopts new settings. Open requests keep the class that they were admitted with: with other
    /// rules for retries one could take effect twice. Windows, placements and the tenants' recent
    /// use stay.
    pub(super) fn on_settings_changed(
        &mut self,
        settings: &Settings,
        former_tenants: &[Option<usize>],
    ) {
        self.tenant_usage
            .reassign(&settings.tenants, former_tenants);
        self.usual_time_left
            .resize(settings.classes.len(), MajorityVote::default());
        self.settings = settings.clone();
    }

    /// Prepares for the end of the process: a request whose client waits for longer would end with
    /// it, unanswered.
    pub(super) fn on_shutting_down(
        &mut self,
        now: Micros,
        shutdown_at: Micros,
        actions: &mut Vec<Action>,
    ) {
        self.shutdown_at = Some(shutdown_at);
        let answer_margin = self.answer_margin();
        let mut outlasting: Vec<_> = self
            .pending
            .values_mut()
            .filter(|pending| pending.request.expires_at > shutdown_at)
            .collect();
        // In the order of their ids, so that the same events give the same actions.
        outlasting.sort_unstable_by_key(|pending| pending.request.id);
        for pending in outlasting {
            pending.request.expires_at = shutdown_at;
            pending.objective_at = pending.objective_at.min(shutdown_at);
            actions.push(Action::Timer {
                delay: (shutdown_at - answer_margin - now).max(0),
                token: TimerToken::Deadline(pending.request.id).encode(),
            });
        }
    }
}
