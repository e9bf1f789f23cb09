//! Files in memory that lose at a crash what was not synced.

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
    /// The part that survives a crash.
    synced: Vec<u8>,
}

#[derive(Default)]
struct State {
    files: BTreeMap<String, Content>,
    /// The names that survive a crash, and whose content they have.
    synced: BTreeMap<String, Content>,
    /// The calls that succeed before all fail; none for no bound.
    calls: Option<usize>,
    sync_fails: bool,
    syncs: usize,
}

/// Files in memory; clones share them.
#[derive(Clone, Default)]
pub(crate) struct Memory {
    state: Arc<Mutex<State>>,
}

impl Memory {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Counts a call that changes something; fails if no more are allowed.
    fn call(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.state();
        match &mut state.calls {
            Some(0) => return Err(io::Error::other("stopped by the test")),
            Some(calls) => *calls -= 1,
            None => {}
        }
        Ok(state)
    }

    /// Lets all calls fail after some more.
    pub(crate) fn fail_after(&self, calls: usize) {
        self.state().calls = Some(calls);
    }

    pub(crate) fn sync_fails(&self, fails: bool) {
        self.state().sync_fails = fails;
    }

    /// Returns how many files were synced so far.
    pub(crate) fn syncs(&self) -> usize {
        self.state().syncs
    }

    /// Loses what was not synced, but for a random part of it; returns the files after it.
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

    /// Changes a file behind the store's back.
    pub(crate) fn replace(&self, name: &str, bytes: &[u8]) {
        let content = Content { bytes: bytes.to_vec(), synced: bytes.to_vec() };
        self.state().files.insert(name.to_owned(), content);
    }

    pub(crate) fn delete(&self, name: &str) {
        self.state().files.remove(name);
    }

    /// Returns the names of the segments in order.
    pub(crate) fn segments(&self) -> Vec<String> {
        let state = self.state();
        state.files.keys().filter(|name| name.ends_with(".log")).cloned().collect()
    }

    /// Copies the files.
    pub(crate) fn copy(&self) -> Memory {
        let files = self.state().files.clone();
        Memory { state: Arc::new(Mutex::new(State { files, ..State::default() })) }
    }
}

/// Returns what is left of a file: all that was synced, and of the rest a part, zeros or garbage.
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
        let mut state = self.call()?;
        state.files.entry(name.to_owned()).or_default().bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.call()?;
        state.files.entry(name.to_owned()).or_default().bytes.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.call()?;
        if state.sync_fails {
            return Err(io::Error::other("the disk is gone"));
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
        let mut state = self.call()?;
        let content = state.files.remove(from).expect("an existing file");
        state.files.insert(to.to_owned(), content);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.call()?.files.remove(name);
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let mut state = self.call()?;
        state.synced = state.files.clone();
        Ok(())
    }
}
