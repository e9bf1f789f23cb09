//! Authentication of requests by the API keys of tenants.

use std::fmt;
use std::sync::Arc;

use base::Code;
use base::Event;
use base::Name;
use fleet::plan::Route;
use fleet::routing::Table;
use fleet::tenant::Digest;
use fleet::tenant::Tenant;

use crate::call::Call;
use crate::gate::Gate;
use crate::protocol::Protocol;
use crate::refusal::Refusal;

/// What a request carries to prove which tenant sent it.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    #[default]
    Missing,
    /// Something that is no API key.
    Malformed,
    /// An API key, of which only the digest is kept.
    Key(Digest),
}

impl Credential {
    /// Returns why the credential proves nothing.
    fn reason(self) -> &'static str {
        match self {
            Credential::Missing => "missing",
            Credential::Malformed => "malformed",
            Credential::Key(_) => "unknown",
        }
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential(..)")
    }
}

/// The sender of a request, as endpoints are told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Sender {
    /// The plan has no tenants, so the sender was not checked.
    #[default]
    Unchecked,
    /// No tenant; the route is public.
    Anonymous,
    /// The tenant with this name.
    Tenant(Name),
}

/// Returns the tenant that sent a request; `None` if it needs no key and has none that is known.
pub fn authenticate(
    table: &Table,
    route: &Route,
    credential: Credential,
) -> Result<Option<Arc<Tenant>>, Code> {
    if !table.has_tenants() {
        return Ok(None);
    }
    let tenant = match credential {
        Credential::Key(digest) => table.tenant(&digest).cloned(),
        Credential::Missing | Credential::Malformed => None,
    };
    if tenant.is_none() && !route.public { Err(Code::Unauthorized) } else { Ok(tenant) }
}

/// Logs that a request on a route was refused because of its credential, which the line does not contain.
pub(crate) fn log_unauthorized(id: &Name, route: &Route, credential: Credential, version: u64) {
    base::event!(
        INFO, Event::Unauthorized, request = %id, route = %route.name, key = credential.reason(), version
    );
}

impl<P: Protocol> Gate<P> {
    /// Checks the credential of a request again if a newer plan has come into force since, so that a key that it removed
    /// does not reach an endpoint with a request that waited.
    pub(crate) fn reauthenticate(&self, call: &mut Call) -> Result<(), Refusal> {
        let Some(table) = self.view.table() else { return Ok(()) };
        let version = table.plan().version;
        if version == call.version {
            return Ok(());
        }
        let path = call.parts.uri.path();
        let route = table.route(&call.request.host, path).cloned();
        let route = route.unwrap_or_else(|| call.route.clone());
        let credential = call.request.credential;
        let tenant = authenticate(&table, &route, credential).map_err(|code| {
            log_unauthorized(&call.request.id, &route, credential, version);
            Refusal::new(code)
        })?;
        call.route.rank = tenant.as_ref().and_then(|tenant| tenant.rank).unwrap_or(route.rank);
        call.tenant = tenant;
        call.checked = table.has_tenants();
        call.version = version;
        Ok(())
    }
}
