//! What a call at the operators' door asks for.

const HEALTH: &str = "/admin/health";
const CORDON: &str = "/admin/cordon/";
const UNCORDON: &str = "/admin/uncordon/";
const MEMBERS: &str = "/admin/members";
const MAINTENANCE: &str = "/admin/maintenance";
/// Longest name of a cache host that is looked up; lists hold shorter ones.
const LONGEST_NAME: usize = 255;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Can this process serve?
    Health,
    /// Who is there of the group?
    Members,
    /// Take the named cache host out.
    Cordon(String, CordonScope),
    /// It may serve again.
    Uncordon(String, CordonScope),
    /// What is planned, and how far it is?
    Maintenance,
    /// A plan as the body has it; told, or only tried.
    Plan { dry_run: bool },
    /// A word about a plan.
    Act(PlanAction),
}

/// What operators say of a plan that there is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanAction {
    pub verb: PlanVerb,
    pub plan: u64,
    /// Of a machine, a member and a reason, those that the verb needs.
    pub machine: String,
    pub member: String,
    pub why: String,
    pub author: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanVerb {
    Hold,
    Resume,
    Skip,
    Drop,
    Done,
    Force,
}

impl PlanVerb {
    pub const ALL: [(&'static str, PlanVerb); 6] = [
        ("hold", PlanVerb::Hold),
        ("resume", PlanVerb::Resume),
        ("skip", PlanVerb::Skip),
        ("drop", PlanVerb::Drop),
        ("done", PlanVerb::Done),
        ("force", PlanVerb::Force),
    ];

    fn needs(self) -> &'static [&'static str] {
        match self {
            PlanVerb::Hold => &["why"],
            PlanVerb::Resume | PlanVerb::Drop => &[],
            PlanVerb::Skip | PlanVerb::Done => &["machine"],
            PlanVerb::Force => &["machine", "member"],
        }
    }
}

/// Whom an order is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CordonScope {
    /// The balancer that is called.
    Own,
    /// Every member of its group (`?scope=group`).
    Group,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminRequestError {
    #[error("no such call; there are GET /admin/health, GET /admin/members, GET and POST /admin/maintenance, POST /admin/cordon/ID and POST /admin/uncordon/ID")]
    Unknown,
    #[error("wrong method, {0} is the one")]
    Method(&'static str),
    #[error("not a name of a cache host")]
    Name,
    #[error("the one scope that can be given is scope=group")]
    Scope,
    #[error("{0}: is needed")]
    Missing(&'static str),
    #[error("{0}: not a value of it, or given twice")]
    Value(&'static str),
}

impl AdminRequest {
    /// Reads a call from the method and the target of a request; of a query behind the path its scope alone is looked at.
    pub fn read(method: &str, target: &str) -> Result<AdminRequest, AdminRequestError> {
        let path = target.split(['?', '#']).next().unwrap_or_default();
        if path == HEALTH {
            return wants(method, "GET").map(|()| AdminRequest::Health);
        }
        if path == MEMBERS {
            return wants(method, "GET").map(|()| AdminRequest::Members);
        }
        if path == MAINTENANCE && method == "GET" {
            return Ok(AdminRequest::Maintenance);
        }
        if path == MAINTENANCE {
            return wants(method, "POST").map(|()| AdminRequest::Plan { dry_run: false });
        }
        if let Some(verb) = path
            .strip_prefix(MAINTENANCE)
            .and_then(|rest| rest.strip_prefix('/'))
        {
            wants(method, "POST")?;
            if verb == "dry-run" {
                return Ok(AdminRequest::Plan { dry_run: true });
            }
            let found = PlanVerb::ALL.iter().find(|(name, _)| *name == verb);
            let (_, verb) = found.ok_or(AdminRequestError::Unknown)?;
            return act(*verb, target).map(AdminRequest::Act);
        }
        // The longer one first would not matter: neither begins like the other.
        let (name, call): (&str, fn(String, CordonScope) -> AdminRequest) =
            match (path.strip_prefix(CORDON), path.strip_prefix(UNCORDON)) {
                (Some(name), _) => (name, AdminRequest::Cordon),
                (None, Some(name)) => (name, AdminRequest::Uncordon),
                (None, None) => return Err(AdminRequestError::Unknown),
            };
        wants(method, "POST")?;
        let name = name_of(name).ok_or(AdminRequestError::Name)?;
        Ok(call(name, scope_of(target)?))
    }
}

fn act(verb: PlanVerb, target: &str) -> Result<PlanAction, AdminRequestError> {
    let query = target
        .split('#')
        .next()
        .unwrap_or_default()
        .split_once('?')
        .map_or("", |(_, query)| query);
    let value = |key: &'static str| -> Result<Option<String>, AdminRequestError> {
        let mut found = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .filter(|(name, _)| *name == key);
        match (found.next(), found.next()) {
            (None, _) => Ok(None),
            (Some((_, value)), None) => name_of(value)
                .map(Some)
                .ok_or(AdminRequestError::Value(key)),
            _ => Err(AdminRequestError::Value(key)),
        }
    };
    let needed = |key: &'static str| -> Result<String, AdminRequestError> {
        match (value(key)?, verb.needs().contains(&key)) {
            (Some(value), _) => Ok(value),
            (None, false) => Ok(String::new()),
            (None, true) => Err(AdminRequestError::Missing(key)),
        }
    };
    let plan = value("plan")?.ok_or(AdminRequestError::Missing("plan"))?;
    Ok(PlanAction {
        verb,
        plan: plan.parse().map_err(|_| AdminRequestError::Value("plan"))?,
        machine: needed("machine")?,
        member: needed("member")?,
        why: needed("why")?,
        author: value("author")?.ok_or(AdminRequestError::Missing("author"))?,
    })
}

/// Danger: a scope with a slip in it, taken for none, would leave the host in use at all others.
fn scope_of(target: &str) -> Result<CordonScope, AdminRequestError> {
    let query = target
        .split('#')
        .next()
        .unwrap_or_default()
        .split_once('?')
        .map_or("", |(_, query)| query);
    let mut scopes = query
        .split('&')
        .filter(|pair| pair.split('=').next() == Some("scope"));
    match (scopes.next(), scopes.next()) {
        (None, _) => Ok(CordonScope::Own),
        (Some("scope=group"), None) => Ok(CordonScope::Group),
        _ => Err(AdminRequestError::Scope),
    }
}

fn wants(method: &str, wanted: &'static str) -> Result<(), AdminRequestError> {
    (method == wanted)
        .then_some(())
        .ok_or(AdminRequestError::Method(wanted))
}

/// A path segment with its percent signs resolved; none if it cannot be a name.
fn name_of(segment: &str) -> Option<String> {
    let (mut bytes, mut rest) = (Vec::with_capacity(segment.len()), segment.as_bytes());
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        bytes.push(if *first == b'%' {
            let (digits, tail) = rest.split_at_checked(2)?;
            rest = tail;
            // Danger: a sign parses as part of a number.
            let digits = std::str::from_utf8(digits)
                .ok()
                .filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()))?;
            u8::from_str_radix(digits, 16).ok()?
        } else {
            *first
        });
    }
    let name = String::from_utf8(bytes).ok()?;
    // Danger: a line break in a name would forge a line of the log.
    let fit = (1..=LONGEST_NAME).contains(&name.len()) && !name.chars().any(char::is_control);
    fit.then_some(name)
}
