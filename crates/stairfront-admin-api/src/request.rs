//! Calls to the admin server, read from the method and the target of an HTTP request.

const HEALTH_PATH: &str = "/admin/health";
const CORDON_PREFIX: &str = "/admin/cordon/";
const UNCORDON_PREFIX: &str = "/admin/uncordon/";
const MEMBERS_PATH: &str = "/admin/members";
const MAINTENANCE_PATH: &str = "/admin/maintenance";
const DRY_RUN: &str = "dry-run";
const GET: &str = "GET";
const POST: &str = "POST";
/// Longest name of a cache host that is looked up, in bytes; endpoint lists hold shorter ones.
const MAX_NAME_BYTES: usize = 255;

/// A call to the admin server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Can this process serve?
    Health,
    /// The group's members and their states.
    Members,
    /// Take a cache host out of service.
    Cordon {
        /// Its name.
        host: String,
        /// Where the cordon holds.
        scope: CordonScope,
    },
    /// Give a cache host back to service.
    Uncordon {
        /// Its name.
        host: String,
        /// Where the cordon was set.
        scope: CordonScope,
    },
    /// The plans of maintenance and how far they are.
    GetPlans,
    /// Submit the plan in the body.
    SubmitPlan {
        /// Only check it and tell what it would do.
        dry_run: bool,
    },
    /// Change a plan that was submitted.
    ChangePlan(PlanAction),
}

/// A change of a plan that was submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanAction {
    /// The change.
    pub verb: PlanVerb,
    /// Number of the plan.
    pub plan: u64,
    /// Name of the machine; empty where the verb needs none.
    pub machine: String,
    /// Name of the member; empty where the verb needs none.
    pub member: String,
    /// The reason; empty where the verb needs none.
    pub reason: String,
    /// Who asks for it.
    pub author: String,
}

/// The kinds of change of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanVerb {
    /// Begin no further step of it.
    Hold,
    /// Go on with it.
    Resume,
    /// Leave a machine out of it.
    Skip,
    /// End it.
    Drop,
    /// The work on a machine is done.
    Done,
    /// Go on with a machine without the confirmation of a member.
    Force,
}

impl PlanVerb {
    /// Every verb with its name in a call.
    pub const ALL: [(&'static str, PlanVerb); 6] = [
        ("hold", PlanVerb::Hold),
        ("resume", PlanVerb::Resume),
        ("skip", PlanVerb::Skip),
        ("drop", PlanVerb::Drop),
        ("done", PlanVerb::Done),
        ("force", PlanVerb::Force),
    ];

    fn from_name(name: &str) -> Option<PlanVerb> {
        let found = PlanVerb::ALL.iter().find(|(known, _)| *known == name);
        found.map(|(_, verb)| *verb)
    }

    /// Parameters that a call with this verb must have beside `plan` and `author`.
    fn required_parameters(self) -> &'static [&'static str] {
        match self {
            PlanVerb::Hold => &["why"],
            PlanVerb::Resume | PlanVerb::Drop => &[],
            PlanVerb::Skip | PlanVerb::Done => &["machine"],
            PlanVerb::Force => &["machine", "member"],
        }
    }
}

/// Where a cordon holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CordonScope {
    /// At the balancer that is called.
    Local,
    /// At every member of its group (`?scope=group`).
    Group,
}

/// Why a call cannot be read. The texts are part of the answers that operators' scripts see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminRequestError {
    /// There is no call of this path.
    #[error("no such call; there are GET /admin/health, GET /admin/members, GET and POST /admin/maintenance, POST /admin/cordon/ID and POST /admin/uncordon/ID")]
    UnknownPath,
    /// The path takes another method, which is named.
    #[error("wrong method, {0} is the one")]
    Method(&'static str),
    /// The path holds nothing that can be a cache host's name.
    #[error("not a name of a cache host")]
    Name,
    /// A scope other than `group`, or several.
    #[error("the one scope that can be given is scope=group")]
    Scope,
    /// A parameter is missing.
    #[error("{0}: is needed")]
    MissingParameter(&'static str),
    /// A parameter has a value that it cannot have, or is given twice.
    #[error("{0}: not a value of it, or given twice")]
    InvalidParameter(&'static str),
}

impl AdminRequest {
    /// Reads a call from the method and the target of an HTTP request.
    ///
    /// # Errors
    ///
    /// The first fault of the call, as an [`AdminRequestError`].
    pub fn read(method: &str, target: &str) -> Result<AdminRequest, AdminRequestError> {
        let path = target.split(['?', '#']).next().unwrap_or_default();
        match path {
            HEALTH_PATH => require_method(method, GET).map(|()| AdminRequest::Health),
            MEMBERS_PATH => require_method(method, GET).map(|()| AdminRequest::Members),
            MAINTENANCE_PATH if method == GET => Ok(AdminRequest::GetPlans),
            MAINTENANCE_PATH => {
                require_method(method, POST).map(|()| AdminRequest::SubmitPlan { dry_run: false })
            }
            _ => read_subpath(method, path, target),
        }
    }
}

/// Reads a call whose path ends in a verb or a host.
fn read_subpath(method: &str, path: &str, target: &str) -> Result<AdminRequest, AdminRequestError> {
    let below_maintenance = path
        .strip_prefix(MAINTENANCE_PATH)
        .and_then(|rest| rest.strip_prefix('/'));
    if let Some(verb) = below_maintenance {
        require_method(method, POST)?;
        return read_plan_call(verb, target);
    }
    if let Some(segment) = path.strip_prefix(CORDON_PREFIX) {
        let (host, scope) = read_cordon_call(method, segment, target)?;
        return Ok(AdminRequest::Cordon { host, scope });
    }
    if let Some(segment) = path.strip_prefix(UNCORDON_PREFIX) {
        let (host, scope) = read_cordon_call(method, segment, target)?;
        return Ok(AdminRequest::Uncordon { host, scope });
    }
    Err(AdminRequestError::UnknownPath)
}

fn read_cordon_call(
    method: &str,
    segment: &str,
    target: &str,
) -> Result<(String, CordonScope), AdminRequestError> {
    require_method(method, POST)?;
    let host = decode_name(segment).ok_or(AdminRequestError::Name)?;
    Ok((host, read_scope(target)?))
}

fn read_plan_call(verb: &str, target: &str) -> Result<AdminRequest, AdminRequestError> {
    if verb == DRY_RUN {
        return Ok(AdminRequest::SubmitPlan { dry_run: true });
    }
    let verb = PlanVerb::from_name(verb).ok_or(AdminRequestError::UnknownPath)?;
    read_plan_action(verb, target).map(AdminRequest::ChangePlan)
}

fn read_plan_action(verb: PlanVerb, target: &str) -> Result<PlanAction, AdminRequestError> {
    let query = Query::of(target);
    let by_verb = |name: &'static str| match (
        query.parameter(name)?,
        verb.required_parameters().contains(&name),
    ) {
        (Some(value), _) => Ok(value),
        (None, false) => Ok(String::new()),
        (None, true) => Err(AdminRequestError::MissingParameter(name)),
    };
    let plan = query.required("plan")?;
    Ok(PlanAction {
        verb,
        plan: plan
            .parse()
            .map_err(|_| AdminRequestError::InvalidParameter("plan"))?,
        machine: by_verb("machine")?,
        member: by_verb("member")?,
        reason: by_verb("why")?,
        author: query.required("author")?,
    })
}

/// The parameters behind the path of a target.
struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    fn of(target: &'a str) -> Self {
        let before_fragment = target.split('#').next().unwrap_or_default();
        Query(
            before_fragment
                .split_once('?')
                .map_or("", |(_, query)| query),
        )
    }

    /// The decoded value of a parameter, if it is given.
    fn parameter(&self, name: &'static str) -> Result<Option<String>, AdminRequestError> {
        let pairs = self.0.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value);
        match (values.next(), values.next()) {
            (None, _) => Ok(None),
            (Some(value), None) => decode_name(value)
                .map(Some)
                .ok_or(AdminRequestError::InvalidParameter(name)),
            (Some(_), Some(_)) => Err(AdminRequestError::InvalidParameter(name)),
        }
    }

    fn required(&self, name: &'static str) -> Result<String, AdminRequestError> {
        self.parameter(name)?
            .ok_or(AdminRequestError::MissingParameter(name))
    }
}

/// The scope of a cordon. A misspelt scope is an error: taken for none it would leave the host in use at all other members.
fn read_scope(target: &str) -> Result<CordonScope, AdminRequestError> {
    let query = Query::of(target).0;
    let mut scopes = query
        .split('&')
        .filter(|pair| pair.split('=').next() == Some("scope"));
    match (scopes.next(), scopes.next()) {
        (None, _) => Ok(CordonScope::Local),
        (Some("scope=group"), None) => Ok(CordonScope::Group),
        _ => Err(AdminRequestError::Scope),
    }
}

fn require_method(method: &str, required: &'static str) -> Result<(), AdminRequestError> {
    if method == required {
        Ok(())
    } else {
        Err(AdminRequestError::Method(required))
    }
}

/// A percent-encoded name; `None` if it is empty, too long, no UTF-8 or holds a control character, since a line break in a
/// name would forge a line of the log.
fn decode_name(encoded: &str) -> Option<String> {
    let name = String::from_utf8(percent_decode(encoded.as_bytes())?).ok()?;
    let valid = (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control);
    valid.then_some(name)
}

fn percent_decode(encoded: &[u8]) -> Option<Vec<u8>> {
    let mut decoded = Vec::with_capacity(encoded.len());
    let mut rest = encoded;
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        if *first == b'%' {
            let (digits, tail) = rest.split_at_checked(2)?;
            rest = tail;
            decoded.push(hexadecimal_byte(digits)?);
        } else {
            decoded.push(*first);
        }
    }
    Some(decoded)
}

fn hexadecimal_byte(digits: &[u8]) -> Option<u8> {
    // `from_str_radix` would take a sign for a part of the number.
    let all_digits = digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| all_digits)?;
    u8::from_str_radix(text, 16).ok()
}
