//! Many decision modules in one process that share nothing but the numbered list sheets.
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use rustc_hash::FxHashMap;
use stairfront_policy::interface::{Action, Endpoint, EndpointListUpdate, Event, Micros};
use stairfront_policy::Policy;
use stairfront_settings::Start;

use crate::wire::{self, Batch, FrameError, Reply, Scope, WireEvent};

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Policy>,
    sheets: FxHashMap<u16, Vec<Endpoint>>,
    actions: Vec<Action>,
}

impl Host {
    /// Handles one batch in the order of its events and appends every action to `reply`.
    pub fn handle(&mut self, frame: &[u8], reply: &mut Reply) -> Result<(), FrameError> {
        let batch = Batch::parse(frame)?;
        for (record, event) in batch.events().enumerate() {
            self.dispatch(batch.now, record, event?, reply)?;
        }
        Ok(())
    }

    fn dispatch(
        &mut self,
        now: Micros,
        record: usize,
        event: WireEvent<'_>,
        reply: &mut Reply,
    ) -> Result<(), FrameError> {
        let Some(instance) = event.instance() else {
            if let WireEvent::Sheet {
                sheet,
                lines,
                record,
            } = event
            {
                wire::members(lines, record, self.sheets.entry(sheet).or_default())?;
            }
            return Ok(());
        };
        let event = match event {
            WireEvent::Boot { seed, params, .. } => {
                let start = Start::from_text(params).map_err(|error| FrameError::Field {
                    record,
                    field: "params",
                    problem: error.to_string(),
                })?;
                self.instances
                    .insert(instance, Policy::new(start.settings, seed));
                return Ok(());
            }
            WireEvent::Killed { .. } => {
                self.instances.remove(&instance);
                return Ok(());
            }
            WireEvent::RosterChange { sheet, scope, .. } => {
                let lines = match (scope, self.sheets.get(&sheet)) {
                    (Scope::Failed, _) => &[][..],
                    (_, Some(lines)) => lines.as_slice(),
                    (_, None) => {
                        let problem = format!("no SHEET {sheet} came before");
                        return Err(FrameError::Field {
                            record,
                            field: "ref",
                            problem,
                        });
                    }
                };
                Event::EndpointList(match scope {
                    Scope::Delta => EndpointListUpdate::Delta(lines),
                    Scope::Full => EndpointListUpdate::Full(lines),
                    Scope::Cached => EndpointListUpdate::Cached(lines),
                    Scope::Failed => EndpointListUpdate::Failed,
                })
            }
            WireEvent::WorkItem { request, .. } => Event::Request(request),
            WireEvent::Settled { settled, .. } => Event::AttemptFinished(settled),
            WireEvent::Fired { nonce, .. } => Event::Timer { token: nonce },
            WireEvent::Withdrawn { id, .. } => Event::ClientDisconnected { id },
            WireEvent::HeadReceived { id, attempt, .. } => Event::ResponseStarted { id, attempt },
            WireEvent::HealthResult {
                cache,
                outcome,
                elapsed,
                load,
                ..
            } => Event::HealthChecked {
                cache,
                outcome,
                elapsed,
                load,
            },
            WireEvent::NeighbourSays {
                author, content, ..
            } => Event::PeerMessage {
                from: author,
                body: content,
            },
            WireEvent::Sheet { .. } => return Ok(()),
        };
        let Some(policy) = self.instances.get_mut(&instance) else {
            let problem = format!("instance {instance} was never started");
            return Err(FrameError::Field {
                record,
                field: "i",
                problem,
            });
        };
        self.actions.clear();
        let actions = &mut self.actions;
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| policy.handle(now, event, actions))) {
            let text = panic
                .downcast_ref::<&str>()
                .map(|s| (*s).to_string())
                .or_else(|| panic.downcast_ref::<String>().cloned())
                .unwrap_or_else(|| "decision code panicked".to_string());
            reply.push_panic(instance, &text);
            return Ok(());
        }
        for action in &self.actions {
            reply.push(instance, action);
        }
        Ok(())
    }
}
