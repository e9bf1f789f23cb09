//! Authentication of callers by the API keys of tenants.

use axum::http::HeaderMap;
use axum::http::header::AUTHORIZATION;
use base::Code;
use base::Event;
use base::Map;
use base::Name;
use conf::section::Tenant;
use sha2::Digest;
use sha2::Sha256;

use crate::refusal::Refusal;

/// The longest key, in bytes.
const MAX_KEY_BYTES: usize = 512;

/// The tenants by the SHA-256 digests of their keys. The keys themselves are not kept.
pub(crate) struct Tenants {
    /// Whether requests need keys.
    required: bool,
    keys: Map<[u8; 32], Name>,
}

impl Tenants {
    /// Builds the table of the tenants in the settings.
    pub(crate) fn new(tenants: &[Tenant]) -> Tenants {
        let keys = tenants.iter().flat_map(|tenant| {
            tenant.keys.iter().map(|key| (Sha256::digest(key).into(), tenant.name.clone()))
        });
        Tenants { required: !tenants.is_empty(), keys: keys.collect() }
    }

    /// Returns the tenant that sent a request; `None` if requests need no keys.
    pub(crate) fn authenticate(
        &self,
        request: &Name,
        headers: &HeaderMap,
    ) -> Result<Option<Name>, Refusal> {
        if !self.required {
            return Ok(None);
        }
        let mut values = headers.get_all(AUTHORIZATION).iter();
        let reason = match (values.next(), values.next()) {
            (None, _) => "missing",
            (Some(value), None) => match key(value.as_bytes()) {
                Some(key) => match self.keys.get::<[u8; 32]>(&Sha256::digest(key).into()) {
                    Some(tenant) => return Ok(Some(tenant.clone())),
                    None => "unknown",
                },
                None => "malformed",
            },
            (Some(_), Some(_)) => "malformed",
        };
        base::event!(INFO, Event::Unauthorized, request = %request, key = reason);
        Err(Refusal::with(Code::Unauthorized, "The API key is missing or wrong."))
    }
}

/// Returns the key in the value of an `Authorization` header; `None` if it is malformed.
fn key(value: &[u8]) -> Option<&[u8]> {
    let (scheme, key) = value.split_at(value.iter().position(u8::is_ascii_whitespace)?);
    let key = key.trim_ascii();
    let valid = scheme.eq_ignore_ascii_case(b"bearer")
        && (1..=MAX_KEY_BYTES).contains(&key.len())
        && key.is_ascii();
    valid.then_some(key)
}
