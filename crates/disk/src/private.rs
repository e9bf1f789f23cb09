//! Files and directories that only their owner may read, since the operator's document contains API keys.

use std::fs;
use std::fs::DirBuilder;
use std::fs::File;
use std::fs::OpenOptions;
use std::fs::Permissions;
use std::io;
use std::os::unix::fs::DirBuilderExt;
use std::os::unix::fs::OpenOptionsExt;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// The mode of directories.
const DIRECTORY_MODE: u32 = 0o700;
/// The mode of files.
const FILE_MODE: u32 = 0o600;

/// Creates a directory with its parents unless it exists. Restricts it and its files, which an earlier release may have
/// written with the mode of the process.
pub(crate) fn create_directory(path: &Path) -> io::Result<()> {
    DirBuilder::new().recursive(true).mode(DIRECTORY_MODE).create(path)?;
    restrict(path, DIRECTORY_MODE)?;
    for entry in fs::read_dir(path)? {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            restrict(&entry.path(), FILE_MODE)?;
        }
    }
    Ok(())
}

/// Opens a file for appending, which is created if needed.
pub(crate) fn append(path: &Path) -> io::Result<File> {
    File::options().create(true).append(true).mode(FILE_MODE).open(path)
}

/// Creates a file, or opens and truncates it.
pub(crate) fn create(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).write(true).truncate(true).mode(FILE_MODE).open(path)
}

/// Sets the mode of a file or directory that others may access.
fn restrict(path: &Path, mode: u32) -> io::Result<()> {
    let current = fs::metadata(path)?.permissions().mode();
    if current & 0o077 == 0 {
        Ok(())
    } else {
        fs::set_permissions(path, Permissions::from_mode(mode))
    }
}
