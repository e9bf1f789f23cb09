//! Small files that are replaced atomically.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::files::Files;
use crate::frame;

/// Suffix of a file that is still being written.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Replaces a file atomically: after a crash at any moment it has either the old or the new value.
pub(crate) fn write(
    files: &mut dyn Files,
    name: &str,
    value: &impl Serialize,
) -> Result<(), Error> {
    let content = postcard::to_stdvec(value).expect("a value of plain fields can be encoded");
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    files.append(&temporary, &frame::write(0, 0, &content)).map_err(Error::io(&temporary))?;
    files.sync(&temporary).map_err(Error::io(&temporary))?;
    files.rename(&temporary, name).map_err(Error::io(name))?;
    files.sync_directory().map_err(Error::io(name))
}

/// Reads a file. Returns `None` if it does not exist.
pub(crate) fn read<T: DeserializeOwned>(files: &dyn Files, name: &str) -> Result<Option<T>, Error> {
    let Some(bytes) = files.read(name).map_err(Error::io(name))? else { return Ok(None) };
    let valid_frame = frame::read(0, &bytes, 0).filter(|(_, end)| *end == bytes.len());
    let (content, _) = valid_frame.ok_or_else(|| Error::damaged(name, 0, "checksum mismatch"))?;
    let value = postcard::from_bytes(content);
    value.map(Some).map_err(|_| Error::damaged(name, 0, "failed to decode the content"))
}

/// Removes incomplete files left by a crash.
pub(crate) fn remove_temporary_files(files: &mut dyn Files) -> Result<(), Error> {
    for name in files.list().map_err(Error::io("."))? {
        if name.ends_with(TEMPORARY_SUFFIX) {
            files.remove(&name).map_err(Error::io(&name))?;
        }
    }
    Ok(())
}
