//! First stage: a client's command becomes a request, or is answered at once.
use std::cell::{OnceCell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use stairfront_common::time::{Micros, MS};
use stairfront_membership_agent::MembershipAgent;
use stairfront_overload::{AdmissionController, AdmissionDecision, Arrival};
use stairfront_policy::interface::{ClassId, Idempotency, Key, Request, RequestId, TenantId};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::arrival::ArrivalTime;
use crate::clock::{timer_duration, Clock};
use crate::configuration::request_catalog::RequestCatalog;
use crate::control::maintenance::MaintenanceService;
use crate::counters::Counters;
use crate::memory::ledger::MemoryLedger;
use crate::messages::{Answer, Command, Verb};

/// Longest key, id or list of names and values, in bytes. They go on in an HTTP head, which servers bound.
const MAX_WORD_BYTES: usize = 1024;
/// Longest time that a client can say it waits; a longer one counts as this.
const MAX_WAIT_MS: u64 = 3_600_000;

const BAD_COMMAND: &str = "ERR invalid arguments";
const UNKNOWN_COMMAND: &str = "ERR unknown command";
const UNKNOWN_CLASS: &str = "ERR unknown class";
const NOT_READY: &str = "LOADING no list of servers yet";

/// Turns commands into requests.
pub struct RequestParser {
    /// Names and rules of classes and tenants; the engine replaces them together with its own settings.
    pub catalog: Rc<RefCell<RequestCatalog>>,
    /// The one clock.
    pub clock: Clock,
    /// The counters of this process.
    pub counters: Rc<Counters>,
    /// Decides what is admitted while this balancer itself is behind.
    pub admission: Rc<RefCell<AdmissionController>>,
    /// Whether there is a list of servers to serve from.
    pub ready: watch::Receiver<bool>,
    /// The member of the group, where there is a group.
    pub membership: Option<Rc<MembershipAgent>>,
    /// The maintenance service, once it is started.
    pub maintenance: Rc<OnceCell<Rc<MaintenanceService>>>,
    /// The memory that is reserved for peers.
    pub memory: Rc<MemoryLedger>,
}

/// A command after parsing.
pub enum Accepted {
    /// A request.
    Request {
        /// The command as it goes on to servers.
        command: Command,
        /// The request as the decision module knows it.
        request: Request,
    },
    /// A command that is answered at once.
    Answered(Answer),
    /// The same, and the client has asked for the end of the connection.
    Last(Answer),
}

/// Why a command becomes no request.
enum Rejection {
    /// It has an error.
    Invalid(&'static str),
    /// This balancer is behind.
    Shed { after_ms: Option<u64> },
}

impl RequestParser {
    /// Parses a command, given as its words, that came at this time.
    pub fn parse(&self, words: Vec<Bytes>, arrival: ArrivalTime) -> Accepted {
        let Some(name) = words.first().map(|word| word.to_ascii_uppercase()) else {
            return self.reject(BAD_COMMAND);
        };
        let verb = match &name[..] {
            b"C.GET" => Verb::Get,
            b"C.SET" => Verb::Set,
            b"PING" if *self.ready.borrow() => return Accepted::Answered(Answer::Pong),
            b"PING" => return Accepted::Answered(Answer::Error(NOT_READY)),
            b"INFO" => return Accepted::Answered(Answer::Info),
            b"CLIENT" | b"SELECT" => return Accepted::Answered(Answer::Ok),
            b"QUIT" => return Accepted::Last(Answer::Ok),
            _ => return self.reject(UNKNOWN_COMMAND),
        };
        let Some(mut command) = command(verb, words) else {
            return self.reject(BAD_COMMAND);
        };
        match self.request(&mut command, arrival) {
            Ok(request) => Accepted::Request { command, request },
            Err(Rejection::Invalid(text)) => self.reject(text),
            Err(Rejection::Shed { after_ms }) => {
                self.counters.shed.add();
                Accepted::Answered(Answer::Busy { after_ms })
            }
        }
    }

    /// The counters, as `INFO` answers them.
    pub fn info(&self) -> String {
        let group = self
            .membership
            .as_ref()
            .map_or(String::new(), |membership| membership.render_info());
        let maintenance = self
            .maintenance
            .get()
            .map_or(String::new(), |maintenance| maintenance.info_lines());
        format!("{}{group}{maintenance}{}", self.counters, self.memory)
    }

    /// How long the client of a write waits, by the words before its value.
    ///
    /// # Errors
    ///
    /// The line that answers the command, where they make no request.
    pub fn patience(&self, words: &[Bytes]) -> Result<Duration, &'static str> {
        let [name, key, id, list] = words else {
            return Err(BAD_COMMAND);
        };
        if !name.eq_ignore_ascii_case(b"C.SET") {
            return Err(UNKNOWN_COMMAND);
        }
        if ![key, id, list].iter().all(|word| is_word(word)) {
            return Err(BAD_COMMAND);
        }
        let info = RequestInfo::read(list).map_err(|_| BAD_COMMAND)?;
        let catalog = self.catalog.borrow();
        let class = info
            .class
            .and_then(|name| catalog.class(self.clock.now(), name));
        let (_, rules) = class.ok_or(UNKNOWN_CLASS)?;
        let wait = info.wait.unwrap_or(rules.deadline).min(rules.deadline);
        Ok(timer_duration(wait))
    }

    fn reject(&self, text: &'static str) -> Accepted {
        self.counters.rejected.add();
        Accepted::Answered(Answer::Error(text))
    }

    /// The request that a command is; what its class promises is added to the command.
    fn request(&self, command: &mut Command, arrival: ArrivalTime) -> Result<Request, Rejection> {
        let now = self.clock.now();
        let catalog = self.catalog.borrow();
        let info = RequestInfo::read(&command.info)?;
        let class = info.class.and_then(|name| catalog.class(now, name));
        let (class, rules) = class.ok_or(Rejection::Invalid(UNKNOWN_CLASS))?;
        let tenant = info
            .tenant
            .map_or(TenantId(u32::MAX), |name| catalog.tenant(name));
        self.check_admission(class, tenant, info.retry)?;
        command.idempotent = rules.idempotency == Idempotency::Idempotent;
        let arrived_at = self.clock.at(arrival.counted_from()).min(now);
        // No client waits longer than its class allows, whatever it says.
        let wait = info.wait.unwrap_or(rules.deadline).min(rules.deadline);
        Ok(Request {
            id: RequestId(0),
            class,
            tenant,
            key: Some(Key(xxh3_64(&command.key))),
            expires_at: arrived_at + wait,
            waited: now - arrived_at,
            write: command.verb == Verb::Set,
            retry: info.retry,
        })
    }

    /// Asks the admission controller, before the key is hashed or anything is entered, so that a request that is shed
    /// costs little more than its reading.
    fn check_admission(
        &self,
        class: ClassId,
        tenant: TenantId,
        retry: bool,
    ) -> Result<(), Rejection> {
        let arrival = Arrival {
            tenant: usize::try_from(tenant.0).ok(),
            class: usize::from(class.0),
            retry,
        };
        match self.admission.borrow_mut().admit(arrival) {
            AdmissionDecision::Admit => Ok(()),
            AdmissionDecision::Reject { retry_after_ms } => Err(Rejection::Shed {
                after_ms: retry_after_ms,
            }),
        }
    }
}

/// The entries of a request's list of names and values that the balancer uses.
#[derive(Default)]
struct RequestInfo<'a> {
    class: Option<&'a [u8]>,
    tenant: Option<&'a [u8]>,
    wait: Option<Micros>,
    retry: bool,
}

impl<'a> RequestInfo<'a> {
    /// Reads the list. A class or a time that stands twice is an error: one could be believed here and the other at the
    /// server. Of other names the last counts.
    fn read(list: &'a [u8]) -> Result<Self, Rejection> {
        let mut info = RequestInfo::default();
        for pair in list.split(|b| *b == b',') {
            match pair {
                [b'c', b'=', name @ ..] => set_once(&mut info.class, name)?,
                [b't', b'=', name @ ..] => info.tenant = Some(name),
                [b'd', b'=', ms @ ..] => {
                    let wait = milliseconds(ms).ok_or(Rejection::Invalid(BAD_COMMAND))?;
                    set_once(&mut info.wait, wait)?;
                }
                [b'r', b'=', mark @ ..] => info.retry = mark == b"1",
                _ => {}
            }
        }
        Ok(info)
    }
}

fn set_once<T>(field: &mut Option<T>, value: T) -> Result<(), Rejection> {
    match field.replace(value) {
        None => Ok(()),
        Some(_) => Err(Rejection::Invalid(BAD_COMMAND)),
    }
}

fn command(verb: Verb, words: Vec<Bytes>) -> Option<Command> {
    let mut words = words.into_iter().skip(1);
    let (key, id, info) = (words.next()?, words.next()?, words.next()?);
    let value = words.next();
    let has_all_words = value.is_some() == (verb == Verb::Set) && words.next().is_none();
    let is_valid = [&key, &id, &info].iter().all(|word| is_word(word));
    (has_all_words && is_valid).then_some(Command {
        verb,
        key,
        id,
        info,
        value,
        idempotent: false,
    })
}

/// Whether a word can go on in an HTTP head: a line break or another control character would end the line there.
fn is_word(word: &[u8]) -> bool {
    (1..=MAX_WORD_BYTES).contains(&word.len()) && word.iter().all(u8::is_ascii_graphic)
}

/// Whole or fractional milliseconds. Infinity and signs, which parse as numbers too, are errors.
fn milliseconds(text: &[u8]) -> Option<Micros> {
    let starts_with_digit = text.first().is_some_and(u8::is_ascii_digit);
    let ms = std::str::from_utf8(text)
        .ok()
        .filter(|_| starts_with_digit)?
        .parse::<f64>()
        .ok()?;
    ms.is_finite()
        .then(|| (ms.min(MAX_WAIT_MS as f64) * MS as f64) as Micros)
}
