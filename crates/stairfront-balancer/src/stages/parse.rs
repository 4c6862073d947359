//! First stage: a client's command becomes a request, or is answered on the spot.
use std::cell::{OnceCell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use stairfront_membership_agent::MembershipAgent;
use stairfront_overload::{AdmissionController, AdmissionDecision, Arrival};
use stairfront_policy::interface::{ClassId, Key, Micros, Request, RequestId, TenantId, MS};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Clock;
use crate::configuration::request_catalog::RequestCatalog;
use crate::control::maintenance::MaintenanceService;
use crate::counters::Counters;
use crate::messages::{Answer, Command, Verb};

/// Longest key, id or list of names and values. They go on in an HTTP head, which servers bound.
const LONGEST_WORD: usize = 1024;
/// Longest time that a client can say it waits; more is taken for this.
const LONGEST_WAIT_MS: u64 = 3_600_000;

const BAD_COMMAND: &str = "ERR invalid arguments";
const UNKNOWN_COMMAND: &str = "ERR unknown command";
const UNKNOWN_CLASS: &str = "ERR unknown class";
const NOT_READY: &str = "LOADING no list of servers yet";

/// What a command is read against.
pub struct RequestParser {
    /// The engine replaces them as it replaces its own settings.
    pub terms: Rc<RefCell<RequestCatalog>>,
    pub clock: Clock,
    pub counters: Rc<Counters>,
    /// Says what is taken while this balancer itself is behind.
    pub door: Rc<RefCell<AdmissionController>>,
    /// There is a list of servers to serve from.
    pub ready: watch::Receiver<bool>,
    /// The others of this balancer's group, where there is one.
    pub members: Option<Rc<MembershipAgent>>,
    /// The plans that the group agrees on, once they are there.
    pub keeper: Rc<OnceCell<Rc<MaintenanceService>>>,
}

impl RequestParser {
    fn info(&self) -> String {
        let group = self
            .members
            .as_ref()
            .map_or(String::new(), |members| members.render_info());
        let plans = self
            .keeper
            .get()
            .map_or(String::new(), |keeper| keeper.figures());
        format!("{}{group}{plans}", self.counters)
    }
}

pub enum Accepted {
    Request {
        command: Command,
        request: Request,
    },
    Answered(Answer),
    /// The client asked for the end of the connection after this answer.
    Last(Answer),
}

pub fn parse(words: Vec<Bytes>, intake: &RequestParser) -> Accepted {
    let Some(name) = words.first().map(|word| word.to_ascii_uppercase()) else {
        return reject(intake, BAD_COMMAND);
    };
    let verb = match &name[..] {
        b"C.GET" => Verb::Get,
        b"C.SET" => Verb::Set,
        b"PING" if *intake.ready.borrow() => return Accepted::Answered(Answer::Pong),
        b"PING" => return Accepted::Answered(Answer::Error(NOT_READY)),
        b"INFO" => return Accepted::Answered(Answer::Text(intake.info())),
        b"CLIENT" | b"SELECT" => return Accepted::Answered(Answer::Ok),
        b"QUIT" => return Accepted::Last(Answer::Ok),
        _ => return reject(intake, UNKNOWN_COMMAND),
    };
    let Some(command) = command(verb, words) else {
        return reject(intake, BAD_COMMAND);
    };
    match request(&command, intake) {
        Ok(request) => Accepted::Request { command, request },
        Err(Rejection::Unfit(problem)) => reject(intake, problem),
        Err(Rejection::Shed { after_ms }) => {
            intake.counters.shed.add();
            Accepted::Answered(Answer::Busy { after_ms })
        }
    }
}

fn reject(intake: &RequestParser, problem: &'static str) -> Accepted {
    intake.counters.rejected.add();
    Accepted::Answered(Answer::Error(problem))
}

fn command(verb: Verb, words: Vec<Bytes>) -> Option<Command> {
    let mut words = words.into_iter().skip(1);
    let (key, id, info) = (words.next()?, words.next()?, words.next()?);
    let value = words.next();
    let whole = value.is_some() == (verb == Verb::Set) && words.next().is_none();
    let fit = [&key, &id, &info].iter().all(|word| is_word(word));
    (whole && fit).then_some(Command {
        verb,
        key,
        id,
        info,
        value,
    })
}

/// Danger: a line break or another control character would break out of the HTTP head in which it goes on.
fn is_word(word: &[u8]) -> bool {
    (1..=LONGEST_WORD).contains(&word.len()) && word.iter().all(u8::is_ascii_graphic)
}

/// Why a command becomes no request.
enum Rejection {
    Unfit(&'static str),
    Shed { after_ms: Option<u64> },
}

impl From<&'static str> for Rejection {
    fn from(problem: &'static str) -> Self {
        Rejection::Unfit(problem)
    }
}

/// Asked before the key is hashed or anything is entered, so that what is turned away costs little more than its reading.
fn knock(
    intake: &RequestParser,
    class: ClassId,
    tenant: TenantId,
    retry: bool,
) -> Result<(), Rejection> {
    let arrival = Arrival {
        tenant: usize::try_from(tenant.0).ok(),
        class: usize::from(class.0),
        retry,
    };
    match intake.door.borrow_mut().admit(arrival) {
        AdmissionDecision::Admit => Ok(()),
        AdmissionDecision::Reject { retry_after_ms } => Err(Rejection::Shed {
            after_ms: retry_after_ms,
        }),
    }
}

fn request(command: &Command, intake: &RequestParser) -> Result<Request, Rejection> {
    let (now, terms) = (intake.clock.now(), intake.terms.borrow());
    let (mut class, mut tenant, mut wait, mut repeat) = (None, TenantId(u32::MAX), None, false);
    let mut told = [0; 2];
    for pair in command.info.split(|b| *b == b',') {
        // Danger: of two classes or two times one would be believed here and the other at the server.
        told[0] += usize::from(pair.starts_with(b"c="));
        told[1] += usize::from(pair.starts_with(b"d="));
        match pair {
            [b'c', b'=', name @ ..] => class = terms.class(now, name),
            [b't', b'=', name @ ..] => tenant = terms.tenant(name),
            [b'd', b'=', ms @ ..] => wait = Some(milliseconds(ms).ok_or(BAD_COMMAND)?),
            [b'r', b'=', mark @ ..] => repeat = mark == b"1",
            _ => {}
        }
    }
    if told.iter().any(|times| *times > 1) {
        return Err(BAD_COMMAND.into());
    }
    let (class, rules) = class.ok_or(UNKNOWN_CLASS)?;
    knock(intake, class, tenant, repeat)?;
    Ok(Request {
        id: RequestId(0),
        class,
        tenant,
        key: Some(Key(xxh3_64(&command.key))),
        // No client waits longer than its class allows, whatever it says.
        expires_at: now + wait.unwrap_or(rules.deadline).min(rules.deadline),
        write: command.verb == Verb::Set,
        retry: repeat,
    })
}

/// Whole or fractional milliseconds.
fn milliseconds(text: &[u8]) -> Option<Micros> {
    // Danger: infinity parses as a number, and so does a sign.
    let digits = text.first().is_some_and(u8::is_ascii_digit);
    let ms = std::str::from_utf8(text)
        .ok()
        .filter(|_| digits)?
        .parse::<f64>()
        .ok()?;
    ms.is_finite()
        .then(|| (ms.min(LONGEST_WAIT_MS as f64) * MS as f64) as Micros)
}
