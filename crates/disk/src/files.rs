//! The file operations that a store needs, as a trait so that tests can inject failures.

use std::fs;
use std::fs::File;
use std::fs::TryLockError;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use crate::error::Error;
use crate::private;

/// The file that is locked while the directory is open.
const LOCK: &str = "lock";

/// The files in one directory. Changes survive a crash only once they are synced.
pub trait Files: Send {
    /// Returns the names of the files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads a file. Returns `None` if it does not exist.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Appends to a file, which is created if needed.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to a length in bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Syncs the content of a file.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, replacing an existing file `to`.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Syncs the directory entries: files created, renamed or removed.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// A directory of the file system.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    /// The name and handle of the file appended to last.
    open_file: Option<(String, File)>,
    /// Holds the lock for the lifetime of this value.
    _lock: File,
}

impl Directory {
    /// Opens a directory, which is created if needed, and locks it against other processes. Only the owner may read it and
    /// its files.
    pub fn open(path: impl AsRef<Path>) -> Result<Directory, Error> {
        let path = path.as_ref().to_owned();
        private::create_directory(&path).map_err(Error::io(&path.to_string_lossy()))?;
        sync_parent(&path).map_err(Error::io(&path.to_string_lossy()))?;
        let lock = private::append(&path.join(LOCK)).map_err(Error::io(LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(Directory { path, open_file: None, _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(Error::InUse),
            Err(TryLockError::Error(source)) => Err(Error::io(LOCK)(source)),
        }
    }

    /// Returns a handle for appending to a file.
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let same = self.open_file.as_ref().is_some_and(|(open, _)| open == name);
        if !same {
            let file = private::append(&self.path.join(name))?;
            self.open_file = Some((name.to_owned(), file));
        }
        let open = self.open_file.as_mut().map(|(_, file)| file);
        open.ok_or_else(|| io::Error::other("no file is open"))
    }
}

/// Syncs the parent directory, and so the directory's own entry in it.
pub(crate) fn sync_parent(path: &Path) -> io::Result<()> {
    match path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
        Some(parent) => File::open(parent)?.sync_all(),
        None => File::open(".")?.sync_all(),
    }
}

impl Files for Directory {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_file = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_file = None;
        fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
