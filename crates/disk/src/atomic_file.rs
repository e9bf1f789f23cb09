//! Files that are replaced as a whole.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::files::Files;
use crate::frame;

/// The end of the name of a file that is not complete.
const TEMPORARY: &str = ".tmp";

/// Replaces a file by a value; after a crash at any moment either the old or the new one is there.
pub(crate) fn write(
    files: &mut dyn Files,
    name: &str,
    value: &impl Serialize,
) -> Result<(), Error> {
    let content = postcard::to_stdvec(value).expect("a value of plain fields can be encoded");
    let temporary = format!("{name}{TEMPORARY}");
    files.append(&temporary, &frame::write(0, 0, &content)).map_err(Error::io(&temporary))?;
    files.sync(&temporary).map_err(Error::io(&temporary))?;
    files.rename(&temporary, name).map_err(Error::io(name))?;
    files.sync_directory().map_err(Error::io(name))
}

/// Reads a value; none if the file does not exist.
pub(crate) fn read<T: DeserializeOwned>(files: &dyn Files, name: &str) -> Result<Option<T>, Error> {
    let Some(bytes) = files.read(name).map_err(Error::io(name))? else { return Ok(None) };
    let whole = frame::read(0, &bytes, 0).filter(|(_, end)| *end == bytes.len());
    let (content, _) = whole.ok_or_else(|| Error::damaged(name, 0, "the checksum is wrong"))?;
    let value = postcard::from_bytes(content);
    value.map(Some).map_err(|_| Error::damaged(name, 0, "the content cannot be decoded"))
}

/// Removes the files that a crash left incomplete.
pub(crate) fn clean(files: &mut dyn Files) -> Result<(), Error> {
    for name in files.list().map_err(Error::io("."))? {
        if name.ends_with(TEMPORARY) {
            files.remove(&name).map_err(Error::io(&name))?;
        }
    }
    Ok(())
}
