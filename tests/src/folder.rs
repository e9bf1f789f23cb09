//! The folder of a site.

use std::path::Path;

use tempfile::TempDir;

/// A file system in memory, on systems that have one.
const MEMORY: &str = "/dev/shm";

/// Creates the folder for the data and the logs of a site, in memory if possible. All keepers of a site share it: a disk
/// that stalls would fail all of them at once, which no site tolerates, and so decide the result of a test.
pub fn create() -> TempDir {
    let memory = Path::new(MEMORY);
    let folder = if memory.is_dir() { TempDir::new_in(memory) } else { TempDir::new() };
    folder.expect("a temporary folder can be created")
}
