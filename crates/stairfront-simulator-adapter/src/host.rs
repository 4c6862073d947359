//! The instances of one process: decision modules that share nothing but the sheets of endpoints.
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use rustc_hash::FxHashMap;
use stairfront_policy::interface::{Action, Endpoint, EndpointListUpdate, Event, Micros};
use stairfront_policy::Policy;
use stairfront_settings::LoadedSettings;

use crate::error::{FieldError, FrameError};
use crate::event::{InstanceEvent, ListScope, WireEvent};
use crate::frame::Batch;
use crate::reply::Reply;

/// All instances of this process, by their numbers.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Policy>,
    sheets: FxHashMap<u16, Vec<Endpoint>>,
    /// Buffer for the actions of one event.
    actions: Vec<Action>,
}

impl Host {
    /// Handles one batch in the order of its events and appends every action to `reply`.
    ///
    /// # Errors
    ///
    /// If the batch is malformed, or refers to an instance or a sheet that it does not know. The events before that one
    /// have been handled.
    pub fn handle(&mut self, frame: &[u8], reply: &mut Reply) -> Result<(), FrameError> {
        let batch = Batch::parse(frame)?;
        for (record, event) in batch.events().enumerate() {
            match event? {
                WireEvent::Sheet(sheet) => {
                    sheet.decode_into(self.sheets.entry(sheet.number).or_default())?;
                }
                WireEvent::Instance { instance, event } => self
                    .handle_event(batch.now, instance, event, reply)
                    .map_err(|InvalidField { field, error }| FrameError::Field {
                        record,
                        field,
                        error,
                    })?,
            }
        }
        Ok(())
    }

    fn handle_event(
        &mut self,
        now: Micros,
        instance: u16,
        event: InstanceEvent<'_>,
        reply: &mut Reply,
    ) -> Result<(), InvalidField> {
        if let InstanceEvent::Start { seed, settings } = event {
            return self.start_instance(instance, seed, settings);
        }
        if event == InstanceEvent::Kill {
            self.instances.remove(&instance);
            return Ok(());
        }
        let Some(event) = policy_event(&self.sheets, event)? else {
            return Ok(());
        };
        let Some(policy) = self.instances.get_mut(&instance) else {
            return Err(InvalidField {
                field: "i",
                error: FieldError::UnknownInstance(instance),
            });
        };
        self.actions.clear();
        match decide(policy, now, event, &mut self.actions) {
            Ok(()) => {
                for action in &self.actions {
                    reply.push(instance, action);
                }
            }
            Err(panic) => reply.push_panic(instance, &panic.text),
        }
        Ok(())
    }

    fn start_instance(
        &mut self,
        instance: u16,
        seed: u64,
        settings: &str,
    ) -> Result<(), InvalidField> {
        let loaded = LoadedSettings::from_text(settings).map_err(|error| InvalidField {
            field: "params",
            error: error.into(),
        })?;
        self.instances
            .insert(instance, Policy::new(loaded.settings, seed));
        Ok(())
    }
}

/// A wrong field of the event in hand.
struct InvalidField {
    field: &'static str,
    error: FieldError,
}

/// The event as the policy takes it; `None` for the start and the end of an instance, which are the host's.
fn policy_event<'a>(
    sheets: &'a FxHashMap<u16, Vec<Endpoint>>,
    event: InstanceEvent<'a>,
) -> Result<Option<Event<'a>>, InvalidField> {
    Ok(Some(match event {
        InstanceEvent::Start { .. } | InstanceEvent::Kill => return Ok(None),
        InstanceEvent::EndpointList { sheet, scope, .. } => {
            Event::EndpointList(list_update(sheets, sheet, scope)?)
        }
        InstanceEvent::Request(request) => Event::Request(request),
        InstanceEvent::AttemptFinished(result) => Event::AttemptFinished(result),
        InstanceEvent::Timer { token } => Event::Timer { token },
        InstanceEvent::ClientDisconnected { id } => Event::ClientDisconnected { id },
        InstanceEvent::ResponseStarted { id, attempt, .. } => {
            Event::ResponseStarted { id, attempt }
        }
        InstanceEvent::HealthChecked {
            cache,
            outcome,
            elapsed,
            load,
        } => Event::HealthChecked {
            cache,
            outcome,
            elapsed,
            load,
        },
        InstanceEvent::PeerMessage { from, body } => Event::PeerMessage { from, body },
    }))
}

fn list_update(
    sheets: &FxHashMap<u16, Vec<Endpoint>>,
    sheet: u16,
    scope: ListScope,
) -> Result<EndpointListUpdate<'_>, InvalidField> {
    if scope == ListScope::Failed {
        return Ok(EndpointListUpdate::Failed);
    }
    let endpoints = sheets.get(&sheet).ok_or(InvalidField {
        field: "ref",
        error: FieldError::UnknownSheet(sheet),
    })?;
    Ok(match scope {
        ListScope::Delta => EndpointListUpdate::Delta(endpoints),
        ListScope::Full => EndpointListUpdate::Full(endpoints),
        ListScope::Cached => EndpointListUpdate::Cached(endpoints),
        ListScope::Failed => EndpointListUpdate::Failed,
    })
}

/// The text of a panic in the decision code of one instance.
struct Panic {
    text: String,
}

/// Lets an instance handle an event. A panic in it ends no other instance.
fn decide(
    policy: &mut Policy,
    now: Micros,
    event: Event<'_>,
    actions: &mut Vec<Action>,
) -> Result<(), Panic> {
    catch_unwind(AssertUnwindSafe(|| policy.handle(now, event, actions))).map_err(|payload| {
        let text = payload
            .downcast_ref::<&str>()
            .map(|text| (*text).to_string())
            .or_else(|| payload.downcast_ref::<String>().cloned())
            .unwrap_or_else(|| "decision code panicked".to_string());
        Panic { text }
    })
}
