//! Drain notices between members, and the drain hints that follow from them.
use stairfront_common::time::Micros;

use super::Membership;
use crate::action::{Action, Event, HostChange};
use crate::drain_hints::{DrainAnnouncement, DrainNotice, HintTransition};
use crate::packet::Item;

impl Membership {
    /// Handles an announcement by this member's own discovery.
    pub fn handle_announcement(&mut self, now: Micros, announcement: &DrainAnnouncement) {
        self.detect_stall(now);
        let outcome = self
            .drain_hints
            .handle_announcement(announcement, &self.settings.name);
        for notice in outcome.notices {
            self.queue.push(Item::Drain(notice));
        }
        for transition in outcome.transitions {
            self.apply_hint_transition(transition);
        }
    }

    pub(super) fn handle_drain_notice(&mut self, now: Micros, notice: DrainNotice) {
        let ttl = self.settings.timing.drain_hint_ttl;
        let outcome = self.drain_hints.handle_notice(now, &notice, ttl);
        self.metrics.drain_hints_over_limit = self.drain_hints.over_limit;
        if let Some(transition) = outcome.transition {
            self.metrics.drain_hints_applied += 1;
            self.log(Event::Host {
                host: notice.host.clone(),
                change: HostChange::DrainHint {
                    index: notice.index,
                    by: notice.by.clone(),
                    ttl,
                },
            });
            self.apply_hint_transition(transition);
            self.actions.push(Action::PollDiscovery);
        }
        if outcome.is_new {
            self.queue.push(Item::Drain(notice));
        }
    }

    pub(super) fn expire_drain_hints(&mut self, now: Micros) {
        for transition in self.drain_hints.tick(now) {
            self.apply_hint_transition(transition);
        }
    }

    fn apply_hint_transition(&mut self, transition: HintTransition) {
        let (host, stop) = match transition {
            HintTransition::Stop(host) => (host, true),
            HintTransition::Release(host) => (host, false),
        };
        self.actions.push(Action::DrainHint { host, stop });
    }
}
