//! Files with state that may be lost.

use std::fs;
use std::io;
use std::io::Write;
use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::frame;
use crate::private;

/// Replaces a file by one with this value. After a crash it has the old or the new value, or is damaged.
pub fn save_cache(path: &Path, value: &impl Serialize) -> Result<(), Error> {
    let content = postcard::to_stdvec(value).expect("a value of plain fields can be encoded");
    let temporary = path.with_extension("tmp");
    let write = || {
        let mut file = private::create(&temporary)?;
        file.write_all(&frame::write(0, 0, &content))?;
        file.sync_data()?;
        fs::rename(&temporary, path)
    };
    write().map_err(|error| {
        // An incomplete file takes up room. Without effect if it was not created.
        fs::remove_file(&temporary).ok();
        Error::io(&path.to_string_lossy())(error)
    })
}

/// Reads a file. Returns `None` if it does not exist; fails if it is damaged or has a value of another type.
pub fn load_cache<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, Error> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(Error::io(&path.to_string_lossy())(error)),
    };
    let damaged = |message| Error::damaged(&path.to_string_lossy(), 0, message);
    let frame = frame::read(0, &bytes, 0).filter(|(_, end)| *end == bytes.len());
    let (content, _) = frame.ok_or_else(|| damaged("checksum mismatch"))?;
    postcard::from_bytes(content).map(Some).map_err(|_| damaged("failed to decode the content"))
}
