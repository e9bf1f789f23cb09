//! Authentication by shared tokens.

use axum::http::HeaderMap;
use axum::http::header::AUTHORIZATION;
use base::Name;

/// Compares two secrets in a time that depends only on their lengths.
pub(crate) fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    if left.len() != right.len() {
        return false;
    }
    let difference = left.iter().zip(right).fold(0, |sum, (a, b)| sum | (a ^ b));
    std::hint::black_box(difference) == 0
}

/// Returns whether `headers` contain `Authorization: Bearer TOKEN`; true if no token is configured.
pub(crate) fn bearer_matches(headers: &HeaderMap, token: Option<&Name>) -> bool {
    let Some(token) = token else { return true };
    let value = headers.get(AUTHORIZATION).map(|value| value.as_bytes()).unwrap_or_default();
    value.strip_prefix(b"Bearer ").is_some_and(|given| constant_time_eq(given, token.as_bytes()))
}

/// Returns whether the header `name` contains the token; true if no token is configured.
pub(crate) fn header_matches(headers: &HeaderMap, name: &str, token: Option<&Name>) -> bool {
    let Some(token) = token else { return true };
    headers.get(name).is_some_and(|given| constant_time_eq(given.as_bytes(), token.as_bytes()))
}
