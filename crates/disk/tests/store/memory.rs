//! In-memory files that lose unsynced changes at a crash.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use disk::Files;
use rand::RngExt;
use rand::rngs::SmallRng;

#[derive(Clone, Default)]
struct Content {
    bytes: Vec<u8>,
    /// The content that survives a crash.
    synced: Vec<u8>,
}

#[derive(Default)]
struct State {
    files: BTreeMap<String, Content>,
    /// The directory entries that survive a crash, with the content of their files.
    synced: BTreeMap<String, Content>,
    /// Number of changes that still succeed before all fail; `None` for no limit.
    remaining_changes: Option<usize>,
    sync_fails: bool,
    syncs: usize,
}

/// In-memory files. Clones share them.
#[derive(Clone, Default)]
pub(crate) struct Memory {
    state: Arc<Mutex<State>>,
}

impl Memory {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Counts a change. Fails if the limit of changes is reached.
    fn begin_change(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.state();
        match &mut state.remaining_changes {
            Some(0) => return Err(io::Error::other("injected I/O failure")),
            Some(changes) => *changes -= 1,
            None => {}
        }
        Ok(state)
    }

    /// Makes all changes fail after the given number.
    pub(crate) fn fail_after(&self, changes: usize) {
        self.state().remaining_changes = Some(changes);
    }

    pub(crate) fn set_sync_fails(&self, fails: bool) {
        self.state().sync_fails = fails;
    }

    /// Returns the number of syncs so far.
    pub(crate) fn syncs(&self) -> usize {
        self.state().syncs
    }

    /// Simulates a crash: returns the files with unsynced data lost, except for a random part of
    /// it.
    pub(crate) fn crash(&self, random: &mut SmallRng) -> Memory {
        let state = self.state();
        let names = if random.random_bool(0.5) { &state.files } else { &state.synced };
        let torn = names.iter().map(|(name, content)| {
            let current = state.files.get(name).unwrap_or(content);
            let bytes = tear(current, random);
            (name.clone(), Content { synced: bytes.clone(), bytes })
        });
        let files: BTreeMap<String, Content> = torn.collect();
        let synced = files.clone();
        Memory { state: Arc::new(Mutex::new(State { files, synced, ..State::default() })) }
    }

    pub(crate) fn content(&self, name: &str) -> Vec<u8> {
        self.state().files[name].bytes.clone()
    }

    /// Replaces the content of a file without the store's knowledge.
    pub(crate) fn replace(&self, name: &str, bytes: &[u8]) {
        let content = Content { bytes: bytes.to_vec(), synced: bytes.to_vec() };
        self.state().files.insert(name.to_owned(), content);
    }

    pub(crate) fn delete(&self, name: &str) {
        self.state().files.remove(name);
    }

    /// Returns the names of the log segments in order.
    pub(crate) fn segments(&self) -> Vec<String> {
        let state = self.state();
        state.files.keys().filter(|name| name.ends_with(".log")).cloned().collect()
    }

    /// Returns an independent copy of the files.
    pub(crate) fn copy(&self) -> Memory {
        let files = self.state().files.clone();
        Memory { state: Arc::new(Mutex::new(State { files, ..State::default() })) }
    }
}

/// Returns what a crash leaves of a file: the synced part, and of the rest a prefix, zeros or
/// garbage.
fn tear(content: &Content, random: &mut SmallRng) -> Vec<u8> {
    let synced = content.synced.len();
    if content.bytes.len() <= synced {
        return content.synced.clone();
    }
    let kept = random.random_range(synced..=content.bytes.len());
    let mut bytes = content.bytes[..kept].to_vec();
    match random.random_range(0..3) {
        0 => bytes.resize(content.bytes.len(), 0),
        1 => bytes.resize_with(content.bytes.len(), || random.random()),
        _ => {}
    }
    bytes
}

impl Files for Memory {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.state().files.get(name).map(|content| content.bytes.clone()))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.begin_change()?;
        state.files.entry(name.to_owned()).or_default().bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.begin_change()?;
        state.files.entry(name.to_owned()).or_default().bytes.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.begin_change()?;
        if state.sync_fails {
            return Err(io::Error::other("injected sync failure"));
        }
        state.syncs += 1;
        let content = state.files.entry(name.to_owned()).or_default();
        content.synced = content.bytes.clone();
        let content = content.clone();
        if let Some(synced) = state.synced.get_mut(name) {
            *synced = content;
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.begin_change()?;
        let content = state.files.remove(from).expect("an existing file");
        state.files.insert(to.to_owned(), content);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.begin_change()?.files.remove(name);
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let mut state = self.begin_change()?;
        state.synced = state.files.clone();
        Ok(())
    }
}
