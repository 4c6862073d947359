//! What a call at the operators' door asks for.

const HEALTH: &str = "/admin/health";
const CORDON: &str = "/admin/cordon/";
const UNCORDON: &str = "/admin/uncordon/";
const MEMBERS: &str = "/admin/members";
/// Longest name of a cache host that is looked up; lists hold shorter ones.
const LONGEST_NAME: usize = 255;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Can this process serve?
    Health,
    /// Who is there of the group?
    Members,
    /// Take the named cache host out.
    Cordon(String, Scope),
    /// It may serve again.
    Uncordon(String, Scope),
}

/// Whom an order is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The balancer that is called.
    Own,
    /// Every member of its group (`?scope=group`).
    Group,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallFault {
    #[error("no such call; there are GET /admin/health, GET /admin/members, POST /admin/cordon/ID and POST /admin/uncordon/ID")]
    Unknown,
    #[error("wrong method, {0} is the one")]
    Method(&'static str),
    #[error("not a name of a cache host")]
    Name,
    #[error("the one scope that can be given is scope=group")]
    Scope,
}

impl Call {
    /// Reads a call from the method and the target of a request; of a query behind the path its scope alone is looked at.
    pub fn read(method: &str, target: &str) -> Result<Call, CallFault> {
        let path = target.split(['?', '#']).next().unwrap_or_default();
        if path == HEALTH {
            return wants(method, "GET").map(|()| Call::Health);
        }
        if path == MEMBERS {
            return wants(method, "GET").map(|()| Call::Members);
        }
        // The longer one first would not matter: neither begins like the other.
        let (name, call): (&str, fn(String, Scope) -> Call) =
            match (path.strip_prefix(CORDON), path.strip_prefix(UNCORDON)) {
                (Some(name), _) => (name, Call::Cordon),
                (None, Some(name)) => (name, Call::Uncordon),
                (None, None) => return Err(CallFault::Unknown),
            };
        wants(method, "POST")?;
        let name = name_of(name).ok_or(CallFault::Name)?;
        Ok(call(name, scope_of(target)?))
    }
}

/// Danger: a scope with a slip in it, taken for none, would leave the host in use at all others.
fn scope_of(target: &str) -> Result<Scope, CallFault> {
    let query = target.split('#').next().unwrap_or_default().split_once('?').map_or("", |(_, query)| query);
    let mut scopes = query.split('&').filter(|pair| pair.split('=').next() == Some("scope"));
    match (scopes.next(), scopes.next()) {
        (None, _) => Ok(Scope::Own),
        (Some("scope=group"), None) => Ok(Scope::Group),
        _ => Err(CallFault::Scope),
    }
}

fn wants(method: &str, wanted: &'static str) -> Result<(), CallFault> {
    (method == wanted).then_some(()).ok_or(CallFault::Method(wanted))
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
            let digits =
                std::str::from_utf8(digits).ok().filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()))?;
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
