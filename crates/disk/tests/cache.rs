//! Files with state that may be lost.

use std::fs;

use disk::load_cache;
use disk::save_cache;

#[test]
fn the_latest_value_is_read() {
    let folder = tempfile::tempdir().expect("a directory");
    let path = folder.path().join("endpoints");
    assert_eq!(load_cache::<Vec<u32>>(&path).expect("readable"), None);
    for value in [vec![1, 2], vec![3]] {
        save_cache(&path, &value).expect("written");
        assert_eq!(load_cache(&path).expect("readable"), Some(value));
    }
    assert_eq!(fs::read_dir(folder.path()).expect("readable").count(), 1);
}

// Guards against a value that is lost because the next one could not be written, and against the room that an incomplete
// file takes up.
#[test]
fn a_failed_write_leaves_the_former_value() {
    let folder = tempfile::tempdir().expect("a directory");
    let path = folder.path().join("endpoints");
    save_cache(&path, &vec![1u8]).expect("written");
    // All writes to this file fail with ENOSPC.
    std::os::unix::fs::symlink("/dev/full", path.with_extension("tmp")).expect("a link");
    let error = save_cache(&path, &vec![2u8]).expect_err("the disk is full");
    assert!(error.to_string().contains("No space left"), "{error}");
    assert_eq!(load_cache(&path).expect("readable"), Some(vec![1u8]));
    assert_eq!(fs::read_dir(folder.path()).expect("readable").count(), 1);
    save_cache(&path, &vec![3u8]).expect("written");
    assert_eq!(load_cache(&path).expect("readable"), Some(vec![3u8]));
}

#[test]
fn a_damaged_file_is_an_error() {
    let folder = tempfile::tempdir().expect("a directory");
    let path = folder.path().join("endpoints");
    save_cache(&path, &"a value".to_owned()).expect("written");
    let bytes = fs::read(&path).expect("readable");
    for length in 0..bytes.len() {
        fs::write(&path, &bytes[..length]).expect("written");
        assert!(load_cache::<String>(&path).is_err(), "{length}");
    }
    let mut flipped = bytes.clone();
    *flipped.last_mut().expect("not empty") ^= 1;
    fs::write(&path, flipped).expect("written");
    assert!(load_cache::<String>(&path).is_err());
    let longer = [&bytes[..], b"x"].concat();
    fs::write(&path, longer).expect("written");
    assert!(load_cache::<String>(&path).is_err());
}

#[test]
fn a_value_of_another_type_is_an_error() {
    let folder = tempfile::tempdir().expect("a directory");
    let path = folder.path().join("endpoints");
    save_cache(&path, &1u8).expect("written");
    assert!(load_cache::<String>(&path).is_err());
}
