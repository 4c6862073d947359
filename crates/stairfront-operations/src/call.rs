//! What a call at the operators' door asks for.

const HEALTH: &str = "/admin/health";
const CORDON: &str = "/admin/cordon/";
const UNCORDON: &str = "/admin/uncordon/";
/// Longest name of a cache host that is looked up; lists hold shorter ones.
const LONGEST_NAME: usize = 255;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Can this process serve?
    Health,
    /// Take the named cache host out.
    Cordon(String),
    /// It may serve again.
    Uncordon(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallFault {
    #[error("no such call; there are GET /admin/health, POST /admin/cordon/ID and POST /admin/uncordon/ID")]
    Unknown,
    #[error("wrong method, {0} is the one")]
    Method(&'static str),
    #[error("not a name of a cache host")]
    Name,
}

impl Call {
    /// Reads a call from the method and the target of a request; a query behind the path is not looked at.
    pub fn read(method: &str, target: &str) -> Result<Call, CallFault> {
        let path = target.split(['?', '#']).next().unwrap_or_default();
        if path == HEALTH {
            return wants(method, "GET").map(|()| Call::Health);
        }
        // The longer one first would not matter: neither begins like the other.
        let (name, call): (&str, fn(String) -> Call) =
            match (path.strip_prefix(CORDON), path.strip_prefix(UNCORDON)) {
                (Some(name), _) => (name, Call::Cordon),
                (None, Some(name)) => (name, Call::Uncordon),
                (None, None) => return Err(CallFault::Unknown),
            };
        wants(method, "POST")?;
        name_of(name).map(call).ok_or(CallFault::Name)
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
