//! State written to a store is read back after it is reopened.

use disk::Error;
use disk::Identity;
use disk::Store;
use disk::move_aside;

use super::entries;
use super::entry;
use super::hard_state;
use super::memory::Memory;
use super::snapshot;

#[test]
fn reopened_store_has_all_written_state() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("keeper");
    let identity = Identity { group: 1, replica: 2, host: "h1".into() };
    let (mut store, stored, before) = Store::open(&path).expect("new");
    assert!(before.is_none() && stored.entries.is_empty() && stored.snapshot.is_none());
    store.write_identity(&identity).expect("written");
    store.append(entries(1, 10, 1));
    store.set_hard_state(hard_state(3, 7, 9));
    store.sync().expect("written");
    store.write_snapshot(&snapshot(4, 1)).expect("written");
    drop(store);
    let (_, stored, again) = Store::open(&path).expect("opens");
    assert_eq!(again, Some(identity));
    assert_eq!(stored.hard_state, hard_state(3, 7, 9));
    assert_eq!(stored.snapshot, Some(snapshot(4, 1)));
    assert_eq!(stored.entries, entries(5, 10, 1));
}

#[test]
fn directory_is_locked_while_open() {
    let folder = tempfile::tempdir().expect("a folder");
    let (store, ..) = Store::open(folder.path()).expect("new");
    assert!(matches!(Store::open(folder.path()), Err(Error::InUse)));
    drop(store);
    assert!(Store::open(folder.path()).is_ok());
}

#[test]
fn damaged_directory_is_moved_aside() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("keeper");
    for number in 1..3 {
        let (mut store, ..) = Store::open(&path).expect("new");
        store.append(entries(1, 1, 1));
        store.sync().expect("written");
        drop(store);
        let moved_to = move_aside(&path).expect("moved");
        assert!(moved_to.ends_with(format!("keeper.damaged-{number}")) && moved_to.is_dir());
        assert!(!path.exists());
    }
}

#[test]
fn append_replaces_entries_from_the_first_new_index() {
    let files = Memory::default();
    let (mut store, ..) = Store::with_files(files.clone()).expect("new");
    store.append(entries(1, 9, 1));
    store.sync().expect("written");
    store.append(entries(5, 6, 2));
    store.sync().expect("written");
    let (_, stored, _) = Store::with_files(files).expect("opens");
    assert_eq!(stored.entries, [entries(1, 4, 1), entries(5, 6, 2)].concat());
}

#[test]
fn snapshot_with_another_history_discards_all_entries() {
    let files = Memory::default();
    let (mut store, ..) = Store::with_files(files.clone()).expect("new");
    store.append(entries(1, 9, 1));
    store.sync().expect("written");
    store.write_snapshot(&snapshot(20, 4)).expect("written");
    let (_, stored, _) = Store::with_files(files.copy()).expect("opens");
    assert_eq!(stored.entries, []);
    store.append(entries(21, 22, 4));
    store.sync().expect("written");
    let (_, stored, _) = Store::with_files(files).expect("opens");
    assert_eq!(stored.entries, entries(21, 22, 4));
}

#[test]
fn snapshot_removes_covered_segments_and_keeps_the_hard_state() {
    let files = Memory::default();
    let (mut store, ..) = Store::with_files(files.clone()).expect("new");
    store.set_segment_bytes(100);
    store.set_hard_state(hard_state(1, 7, 0));
    for index in 1..=50 {
        store.append([entry(index, 1)]);
        store.sync().expect("written");
    }
    let before = files.segments().len();
    store.write_snapshot(&snapshot(45, 1)).expect("written");
    assert!(files.segments().len() < before / 2, "{before} segments before");
    let (_, stored, _) = Store::with_files(files).expect("opens");
    assert_eq!((stored.hard_state, stored.entries), (hard_state(1, 7, 0), entries(46, 50, 1)));
}

#[test]
fn one_sync_writes_all_pending_records() {
    let files = Memory::default();
    let (mut store, ..) = Store::with_files(files.clone()).expect("new");
    store.append(entries(1, 100, 1));
    store.set_hard_state(hard_state(1, 1, 1));
    store.sync().expect("written");
    store.sync().expect("nothing to write");
    assert_eq!(files.syncs(), 1);
}

#[test]
fn failed_sync_is_not_repeated() {
    let files = Memory::default();
    let (mut store, ..) = Store::with_files(files.clone()).expect("new");
    files.set_sync_fails(true);
    store.append(entries(1, 1, 1));
    assert!(matches!(store.sync(), Err(Error::Io { .. })));
    files.set_sync_fails(false);
    store.append(entries(2, 2, 1));
    assert!(matches!(store.sync(), Err(Error::WriteFailed)));
    assert!(matches!(store.write_snapshot(&snapshot(1, 1)), Err(Error::WriteFailed)));
    assert_eq!(files.syncs(), 0);
}
