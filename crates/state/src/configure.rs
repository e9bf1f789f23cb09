//! Configuration changes by operators.

use base::Code;
use base::Name;

use crate::command::Change;
use crate::editor::Editor;
use crate::refusal::Refusal;
use crate::view::Adapter;
use crate::view::Defaults;
use crate::view::Exception;
use crate::view::Patch;
use crate::view::Rule;
use crate::view::Service;
use crate::view::Setting;
use crate::view::Version;

/// The maximum length of a name in the configuration, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// The maximum length of the reason of an exception, in bytes.
const MAX_REASON_BYTES: usize = 1_024;
/// The maximum weight of load stalls.
const MAX_STALL_WEIGHT: u8 = 100;

type Result = std::result::Result<(), Refusal>;

/// Applies a change; a refused change leaves the view as it was.
pub(crate) fn apply(editor: &mut Editor, change: &Change, author: &Name, now_ms: u64) -> Result {
    match change {
        Change::CreateAdapter { adapter, base } => create_adapter(editor, adapter, base),
        Change::RemoveAdapter { adapter } => remove_adapter(editor, adapter),
        Change::CreateVersion { adapter, version } => create_version(editor, adapter, version),
        Change::RemoveVersion { adapter, version } => remove_version(editor, adapter, version),
        Change::Deprecate { adapter, version, deprecated } => {
            deprecate(editor, adapter, version, *deprecated)
        }
        Change::SetDefaultVersion { adapter, version } => {
            set_default_version(editor, adapter, version)
        }
        Change::SetDefault { setting } => set_default(editor, setting),
        Change::SetException { adapter, rule, reason } => {
            let exception = Exception {
                rule: rule.clone(),
                reason: reason.clone(),
                author: author.clone(),
                created_ms: now_ms,
            };
            set_exception(editor, adapter, exception)
        }
        Change::RemoveException { adapter } => remove_exception(editor, adapter),
        Change::SetService { service } => set_service(editor, service),
        Change::RemoveService { kind } => remove_service(editor, kind),
        Change::Drain { host, draining } => drain(editor, host, *draining),
        Change::Pardon { fingerprint } => pardon(editor, *fingerprint),
    }
}

fn create_adapter(editor: &mut Editor, adapter: &Name, base: &Name) -> Result {
    check_name("adapter", adapter)?;
    check_base(base)?;
    if editor.view().adapters.contains_key(adapter) {
        return Err(Refusal::new(Code::Exists, format!("adapter '{adapter}' exists")));
    }
    let value = Adapter { base: base.clone(), versions: Vec::new(), default: None };
    editor.configure(Patch::Adapter(adapter.clone(), Some(value)));
    Ok(())
}

fn remove_adapter(editor: &mut Editor, adapter: &Name) -> Result {
    find_adapter(editor, adapter)?;
    if editor.view().exceptions.contains_key(adapter) {
        let detail = format!("adapter '{adapter}' has an exception; remove it first");
        return Err(Refusal::new(Code::InUse, detail));
    }
    editor.configure(Patch::Adapter(adapter.clone(), None));
    Ok(())
}

fn create_version(editor: &mut Editor, adapter: &Name, version: &Name) -> Result {
    check_name("version", version)?;
    let mut value = find_adapter(editor, adapter)?;
    if version_index(&value, version).is_some() {
        let detail = format!("adapter '{adapter}' has version '{version}'");
        return Err(Refusal::new(Code::Exists, detail));
    }
    value.versions.push(Version { name: version.clone(), deprecated: false });
    value.default.get_or_insert_with(|| version.clone());
    editor.configure(Patch::Adapter(adapter.clone(), Some(value)));
    Ok(())
}

fn remove_version(editor: &mut Editor, adapter: &Name, version: &Name) -> Result {
    let mut value = find_adapter(editor, adapter)?;
    let index = find_version(&value, adapter, version)?;
    if value.default.as_ref() == Some(version) {
        let detail = format!("version '{version}' is the default version of '{adapter}'");
        return Err(Refusal::new(Code::InUse, detail));
    }
    value.versions.remove(index);
    editor.configure(Patch::Adapter(adapter.clone(), Some(value)));
    Ok(())
}

fn deprecate(editor: &mut Editor, adapter: &Name, version: &Name, deprecated: bool) -> Result {
    let mut value = find_adapter(editor, adapter)?;
    let index = find_version(&value, adapter, version)?;
    value.versions[index].deprecated = deprecated;
    editor.configure(Patch::Adapter(adapter.clone(), Some(value)));
    Ok(())
}

fn set_default_version(editor: &mut Editor, adapter: &Name, version: &Name) -> Result {
    let mut value = find_adapter(editor, adapter)?;
    find_version(&value, adapter, version)?;
    value.default = Some(version.clone());
    editor.configure(Patch::Adapter(adapter.clone(), Some(value)));
    Ok(())
}

fn set_default(editor: &mut Editor, setting: &Setting) -> Result {
    let mut defaults: Defaults = editor.view().defaults.clone();
    match *setting {
        Setting::DeadlineMs(value) => defaults.deadline_ms = check_positive("deadline_ms", value)?,
        Setting::CallerLimit(value) => {
            defaults.caller_limit = check_positive("caller_limit", value)?;
        }
        Setting::QueueLimit(value) => defaults.queue_limit = value,
        Setting::StallWeight(value) => defaults.stall_weight = check_stall_weight(value)?,
    }
    editor.configure(Patch::Defaults(defaults));
    Ok(())
}

fn set_exception(editor: &mut Editor, adapter: &Name, exception: Exception) -> Result {
    find_adapter(editor, adapter)?;
    let reason = exception.reason.trim();
    if reason.is_empty() {
        let detail = format!("the exception for '{adapter}' has no reason");
        return Err(Refusal::new(Code::ReasonRequired, detail));
    }
    if reason.len() > MAX_REASON_BYTES {
        let detail = format!("the reason is longer than {MAX_REASON_BYTES} bytes");
        return Err(Refusal::new(Code::Invalid, detail));
    }
    if exception.rule == Rule::QueueLimit(0) {
        return Err(Refusal::new(Code::Invalid, "a queue limit of 0 refuses every request"));
    }
    editor.configure(Patch::Exception(adapter.clone(), Some(exception)));
    Ok(())
}

fn remove_exception(editor: &mut Editor, adapter: &Name) -> Result {
    if !editor.view().exceptions.contains_key(adapter) {
        return Err(Refusal::unknown("exception for adapter", adapter));
    }
    editor.configure(Patch::Exception(adapter.clone(), None));
    Ok(())
}

fn set_service(editor: &mut Editor, service: &Service) -> Result {
    check_name("service", &service.kind)?;
    for call in &service.non_idempotent {
        check_call(call)?;
    }
    editor.configure(Patch::Service(service.kind.clone(), Some(service.clone())));
    Ok(())
}

fn remove_service(editor: &mut Editor, kind: &Name) -> Result {
    if !editor.view().services.contains_key(kind) {
        return Err(Refusal::unknown("service", kind));
    }
    editor.configure(Patch::Service(kind.clone(), None));
    Ok(())
}

fn drain(editor: &mut Editor, host: &Name, draining: bool) -> Result {
    check_name("host", host)?;
    editor.configure(Patch::Draining(host.clone(), draining));
    Ok(())
}

fn pardon(editor: &mut Editor, fingerprint: u64) -> Result {
    if !editor.view().quarantine.contains_key(&fingerprint) {
        return Err(Refusal::unknown("quarantined request", fingerprint));
    }
    editor.configure(Patch::Quarantine(fingerprint, None));
    Ok(())
}

fn find_adapter(editor: &Editor, adapter: &Name) -> std::result::Result<Adapter, Refusal> {
    let found = editor.view().adapters.get(adapter).cloned();
    found.ok_or_else(|| Refusal::unknown("adapter", adapter))
}

fn find_version(
    value: &Adapter,
    adapter: &Name,
    version: &Name,
) -> std::result::Result<usize, Refusal> {
    let name = format_args!("{adapter}@{version}").to_string();
    version_index(value, version).ok_or_else(|| Refusal::unknown("version", name))
}

fn version_index(value: &Adapter, version: &Name) -> Option<usize> {
    value.versions.iter().position(|existing| existing.name == *version)
}

fn check_positive<T: Default + PartialEq>(
    setting: &str,
    value: T,
) -> std::result::Result<T, Refusal> {
    if value == T::default() {
        return Err(Refusal::new(Code::Invalid, format!("{setting} must be more than 0")));
    }
    Ok(value)
}

fn check_stall_weight(value: u8) -> std::result::Result<u8, Refusal> {
    if value > MAX_STALL_WEIGHT {
        let detail = format!("stall_weight {value} is more than {MAX_STALL_WEIGHT}");
        return Err(Refusal::new(Code::Invalid, detail));
    }
    Ok(value)
}

fn check_name(kind: &str, name: &Name) -> Result {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    let valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed);
    if !valid {
        let detail = format!(
            "{kind} '{name}' is no name of 1 to {MAX_NAME_BYTES} letters, digits, '-', '_', '.', ':'"
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
        let is_method = method == "*" || method.chars().all(|c| c.is_ascii_uppercase());
        is_method && !method.is_empty() && path.starts_with('/')
    });
    if !valid {
        let detail = format!("'{call}' is not METHOD /path-prefix");
        return Err(Refusal::new(Code::Invalid, detail));
    }
    Ok(())
}
