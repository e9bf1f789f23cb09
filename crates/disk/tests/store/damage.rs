//! A torn tail of the log is truncated; damage anywhere else is an error.

use disk::Error;
use disk::Identity;
use disk::Store;

use super::entries;
use super::entry;
use super::hard_state;
use super::memory::Memory;
use super::snapshot;

/// Returns files with three frames in one segment, the segment's name, and the offset of the last
/// frame.
fn three_frames() -> (Memory, String, usize) {
    let files = Memory::default();
    let (mut store, ..) = Store::with_files(files.clone()).expect("new");
    let mut last = 0;
    for index in 1..=3 {
        last = files.segments().first().map_or(0, |name| files.content(name).len());
        store.append([entry(index, 1)]);
        store.set_hard_state(hard_state(index, 1, index));
        store.sync().expect("written");
    }
    let name = files.segments().remove(0);
    (files, name, last)
}

#[test]
fn torn_tail_is_truncated_at_any_length() {
    let (files, name, last) = three_frames();
    let whole = files.content(&name);
    for length in last..whole.len() {
        let torn = files.copy();
        torn.replace(&name, &whole[..length]);
        let (mut store, stored, _) = Store::with_files(torn.clone()).expect("a torn tail");
        assert_eq!((stored.entries, stored.hard_state), (entries(1, 2, 1), hard_state(2, 1, 2)));
        store.append([entry(3, 2)]);
        store.sync().expect("written");
        let (_, stored, _) = Store::with_files(torn).expect("opens");
        assert_eq!(stored.entries, [entries(1, 2, 1), vec![entry(3, 2)]].concat());
    }
}

#[test]
fn changed_byte_before_the_tail_is_damage() {
    let (files, name, last) = three_frames();
    let whole = files.content(&name);
    for offset in 0..last {
        let mut bytes = whole.clone();
        bytes[offset] ^= 0x10;
        let changed = files.copy();
        changed.replace(&name, &bytes);
        let opened = Store::with_files(changed.clone());
        assert!(matches!(opened, Err(Error::Damaged { .. })), "byte {offset}");
        assert_eq!(changed.content(&name), bytes, "the file is not truncated");
    }
}

#[test]
fn truncated_or_missing_earlier_segment_is_damage() {
    let files = Memory::default();
    let (mut store, ..) = Store::with_files(files.clone()).expect("new");
    store.set_segment_bytes(1);
    for index in 1..=3 {
        store.append([entry(index, 1)]);
        store.sync().expect("written");
    }
    let names = files.segments();
    assert_eq!(names.len(), 3);
    let truncated = files.copy();
    let bytes = files.content(&names[1]);
    truncated.replace(&names[1], &bytes[..bytes.len() - 1]);
    assert!(matches!(Store::with_files(truncated), Err(Error::Damaged { .. })));
    files.delete(&names[1]);
    assert!(matches!(Store::with_files(files), Err(Error::Damaged { .. })));
}

#[test]
fn missing_segment_after_the_snapshot_is_damage() {
    let files = Memory::default();
    let (mut store, ..) = Store::with_files(files.clone()).expect("new");
    store.set_segment_bytes(1);
    store.append(entries(1, 5, 1));
    store.sync().expect("written");
    store.append(entries(6, 9, 1));
    store.sync().expect("written");
    let covered = files.copy();
    covered.delete(&covered.segments()[0]);
    assert!(matches!(Store::with_files(covered), Err(Error::Damaged { .. })), "no snapshot");
    store.write_snapshot(&snapshot(3, 1)).expect("written");
    files.delete(&files.segments()[0]);
    assert!(matches!(Store::with_files(files), Err(Error::Damaged { .. })), "a snapshot");
}

#[test]
fn frame_copied_into_a_torn_frame_is_not_valid() {
    let (files, name, last) = three_frames();
    let whole = files.content(&name);
    let torn = [&whole[..last], &whole[last..last + 14], &whole[..last]].concat();
    files.replace(&name, &torn);
    let (_, stored, _) = Store::with_files(files).expect("a torn tail");
    assert_eq!(stored.entries, entries(1, 2, 1));
}

#[test]
fn changed_snapshot_or_identity_is_damage() {
    let files = Memory::default();
    let (mut store, ..) = Store::with_files(files.clone()).expect("new");
    store.write_identity(&Identity { group: 1, replica: 2, host: "h1".into() }).expect("written");
    store.write_snapshot(&snapshot(3, 1)).expect("written");
    for name in ["snapshot", "identity"] {
        let mut bytes = files.content(name);
        *bytes.last_mut().expect("not empty") ^= 1;
        let changed = files.copy();
        changed.replace(name, &bytes);
        assert!(matches!(Store::with_files(changed), Err(Error::Damaged { .. })), "{name}");
    }
}
