//! Changes of the configuration by operators.

use base::Code;
use base::Name;

use crate::command::Change;
use crate::draft::Draft;
use crate::refusal::Refusal;
use crate::view::Adapter;
use crate::view::Defaults;
use crate::view::Exception;
use crate::view::Patch;
use crate::view::Rule;
use crate::view::Service;
use crate::view::Setting;
use crate::view::Version;

/// The longest name that an operator may give, in bytes.
const NAME_BYTES: usize = 128;
/// The longest reason of an exception, in bytes.
const REASON_BYTES: usize = 1_024;
/// The highest weight of load stalls.
const STALL_WEIGHT: u8 = 100;

type Result = std::result::Result<(), Refusal>;

/// Carries out a change; a refused one has changed nothing.
pub(crate) fn change(draft: &mut Draft, change: &Change, author: &Name, now_ms: u64) -> Result {
    match change {
        Change::CreateAdapter { adapter, base } => create_adapter(draft, adapter, base),
        Change::RemoveAdapter { adapter } => remove_adapter(draft, adapter),
        Change::CreateVersion { adapter, version } => create_version(draft, adapter, version),
        Change::RemoveVersion { adapter, version } => remove_version(draft, adapter, version),
        Change::Deprecate { adapter, version, deprecated } => {
            deprecate(draft, adapter, version, *deprecated)
        }
        Change::SetDefaultVersion { adapter, version } => set_version(draft, adapter, version),
        Change::SetDefault { setting } => set_default(draft, setting),
        Change::SetException { adapter, rule, reason } => {
            let exception = Exception {
                rule: rule.clone(),
                reason: reason.clone(),
                author: author.clone(),
                created_ms: now_ms,
            };
            set_exception(draft, adapter, exception)
        }
        Change::RemoveException { adapter } => remove_exception(draft, adapter),
        Change::SetService { service } => set_service(draft, service),
        Change::RemoveService { kind } => remove_service(draft, kind),
        Change::Drain { host, draining } => drain(draft, host, *draining),
        Change::Pardon { fingerprint } => pardon(draft, *fingerprint),
    }
}

fn create_adapter(draft: &mut Draft, adapter: &Name, base: &Name) -> Result {
    check_name("adapter", adapter)?;
    check_base(base)?;
    if draft.view().adapters.contains_key(adapter) {
        return Err(Refusal::new(Code::Exists, format!("adapter '{adapter}' exists")));
    }
    let value = Adapter { base: base.clone(), versions: Vec::new(), default: None };
    draft.configure(Patch::Adapter(adapter.clone(), Some(value)));
    Ok(())
}

fn remove_adapter(draft: &mut Draft, adapter: &Name) -> Result {
    find(draft, adapter)?;
    if draft.view().exceptions.contains_key(adapter) {
        let detail = format!("adapter '{adapter}' has an exception; remove it first");
        return Err(Refusal::new(Code::InUse, detail));
    }
    draft.configure(Patch::Adapter(adapter.clone(), None));
    Ok(())
}

fn create_version(draft: &mut Draft, adapter: &Name, version: &Name) -> Result {
    check_name("version", version)?;
    let mut value = find(draft, adapter)?;
    if position(&value, version).is_some() {
        let detail = format!("adapter '{adapter}' has version '{version}'");
        return Err(Refusal::new(Code::Exists, detail));
    }
    value.versions.push(Version { name: version.clone(), deprecated: false });
    value.default.get_or_insert_with(|| version.clone());
    draft.configure(Patch::Adapter(adapter.clone(), Some(value)));
    Ok(())
}

fn remove_version(draft: &mut Draft, adapter: &Name, version: &Name) -> Result {
    let mut value = find(draft, adapter)?;
    let at = find_version(&value, adapter, version)?;
    if value.default.as_ref() == Some(version) {
        let detail = format!("version '{version}' is the default version of '{adapter}'");
        return Err(Refusal::new(Code::InUse, detail));
    }
    value.versions.remove(at);
    draft.configure(Patch::Adapter(adapter.clone(), Some(value)));
    Ok(())
}

fn deprecate(draft: &mut Draft, adapter: &Name, version: &Name, deprecated: bool) -> Result {
    let mut value = find(draft, adapter)?;
    let at = find_version(&value, adapter, version)?;
    value.versions[at].deprecated = deprecated;
    draft.configure(Patch::Adapter(adapter.clone(), Some(value)));
    Ok(())
}

fn set_version(draft: &mut Draft, adapter: &Name, version: &Name) -> Result {
    let mut value = find(draft, adapter)?;
    find_version(&value, adapter, version)?;
    value.default = Some(version.clone());
    draft.configure(Patch::Adapter(adapter.clone(), Some(value)));
    Ok(())
}

fn set_default(draft: &mut Draft, setting: &Setting) -> Result {
    let mut defaults: Defaults = draft.view().defaults.clone();
    match *setting {
        Setting::DeadlineMs(value) => defaults.deadline_ms = positive("deadline_ms", value)?,
        Setting::CallerLimit(value) => defaults.caller_limit = positive("caller_limit", value)?,
        Setting::QueueLimit(value) => defaults.queue_limit = value,
        Setting::StallWeight(value) => defaults.stall_weight = weight(value)?,
    }
    draft.configure(Patch::Defaults(defaults));
    Ok(())
}

fn set_exception(draft: &mut Draft, adapter: &Name, exception: Exception) -> Result {
    find(draft, adapter)?;
    let reason = exception.reason.trim();
    if reason.is_empty() {
        let detail = format!("the exception for '{adapter}' has no reason");
        return Err(Refusal::new(Code::ReasonRequired, detail));
    }
    if reason.len() > REASON_BYTES {
        let detail = format!("the reason is longer than {REASON_BYTES} bytes");
        return Err(Refusal::new(Code::Invalid, detail));
    }
    if exception.rule == Rule::QueueLimit(0) {
        return Err(Refusal::new(Code::Invalid, "a queue limit of 0 refuses every request"));
    }
    draft.configure(Patch::Exception(adapter.clone(), Some(exception)));
    Ok(())
}

fn remove_exception(draft: &mut Draft, adapter: &Name) -> Result {
    if !draft.view().exceptions.contains_key(adapter) {
        return Err(Refusal::unknown("exception for adapter", adapter));
    }
    draft.configure(Patch::Exception(adapter.clone(), None));
    Ok(())
}

fn set_service(draft: &mut Draft, service: &Service) -> Result {
    check_name("service", &service.kind)?;
    for call in &service.non_idempotent {
        check_call(call)?;
    }
    draft.configure(Patch::Service(service.kind.clone(), Some(service.clone())));
    Ok(())
}

fn remove_service(draft: &mut Draft, kind: &Name) -> Result {
    if !draft.view().services.contains_key(kind) {
        return Err(Refusal::unknown("service", kind));
    }
    draft.configure(Patch::Service(kind.clone(), None));
    Ok(())
}

fn drain(draft: &mut Draft, host: &Name, draining: bool) -> Result {
    check_name("host", host)?;
    draft.configure(Patch::Draining(host.clone(), draining));
    Ok(())
}

fn pardon(draft: &mut Draft, fingerprint: u64) -> Result {
    if !draft.view().quarantine.contains_key(&fingerprint) {
        return Err(Refusal::unknown("quarantined request", fingerprint));
    }
    draft.configure(Patch::Quarantine(fingerprint, None));
    Ok(())
}

fn find(draft: &Draft, adapter: &Name) -> std::result::Result<Adapter, Refusal> {
    let found = draft.view().adapters.get(adapter).cloned();
    found.ok_or_else(|| Refusal::unknown("adapter", adapter))
}

fn find_version(
    value: &Adapter,
    adapter: &Name,
    version: &Name,
) -> std::result::Result<usize, Refusal> {
    let name = format_args!("{adapter}@{version}").to_string();
    position(value, version).ok_or_else(|| Refusal::unknown("version", name))
}

fn position(value: &Adapter, version: &Name) -> Option<usize> {
    value.versions.iter().position(|known| known.name == *version)
}

fn positive<T: Default + PartialEq>(setting: &str, value: T) -> std::result::Result<T, Refusal> {
    if value == T::default() {
        return Err(Refusal::new(Code::Invalid, format!("{setting} must be more than 0")));
    }
    Ok(value)
}

fn weight(value: u8) -> std::result::Result<u8, Refusal> {
    if value > STALL_WEIGHT {
        let detail = format!("stall_weight {value} is more than {STALL_WEIGHT}");
        return Err(Refusal::new(Code::Invalid, detail));
    }
    Ok(value)
}

fn check_name(kind: &str, name: &Name) -> Result {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    let valid = !name.is_empty() && name.len() <= NAME_BYTES && name.chars().all(allowed);
    if !valid {
        let detail = format!(
            "{kind} '{name}' is no name of 1 to {NAME_BYTES} letters, digits, '-', '_', '.', ':'"
        );
        return Err(Refusal::new(Code::Invalid, detail));
    }
    Ok(())
}

fn check_base(base: &Name) -> Result {
    base.split('/').try_for_each(|part| check_name("base model", &Name::from(part)))
}

fn check_call(call: &Name) -> Result {
    let parts = call.split_once(' ');
    let valid = parts.is_some_and(|(method, path)| {
        let known = method == "*" || method.chars().all(|c| c.is_ascii_uppercase());
        known && !method.is_empty() && path.starts_with('/')
    });
    if !valid {
        let detail = format!("'{call}' is not METHOD /path-prefix");
        return Err(Refusal::new(Code::Invalid, detail));
    }
    Ok(())
}
