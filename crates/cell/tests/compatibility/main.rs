//! Tests that this release reads what each earlier one has sent or written, and that an earlier one reads what this
//! release sends or writes. `released` has a file with encoded values for each release, and the directory of a replica;
//! `RADISH_BLESS=COMMIT` writes those of the release that is built from this commit.

mod samples;

use std::fmt::Write;
use std::path::Path;
use std::path::PathBuf;

use bytes::Bytes;
use cell::state::Command;
use cell::state::State;
use disk::Identity;
use disk::Store;
use raft::message::Entry;
use raft::message::HardState;
use raft::message::Payload;
use samples::Sample;

/// The frames and records that have grown since a release. An earlier release ignores what follows the fields that it
/// knows.
const EXTENDED: [&str; 3] = ["hello", "welcome", "state"];

fn directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility/released")
}

fn samples() -> Vec<Sample> {
    samples::records().into_iter().chain(samples::frames()).collect()
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a string can be written");
        text
    })
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = (0..text.len()).step_by(2).map(|at| &text[at..at + 2]);
    digits.map(|byte| u8::from_str_radix(byte, 16).expect("hexadecimal digits")).collect()
}

/// The encoded values of a release, by the name of the sample.
type Values = Vec<(String, Vec<u8>)>;

/// Returns the encoded values of each release, by its commit.
fn released() -> Vec<(String, Values)> {
    let files = std::fs::read_dir(directory()).expect("the directory");
    let paths = files.map(|file| file.expect("a file").path());
    let paths = paths.filter(|path| path.extension().is_some_and(|extension| extension == "txt"));
    let mut releases: Vec<_> = paths
        .map(|path| {
            let text = std::fs::read_to_string(&path).expect("a text file");
            let lines = text.lines().map(|line| {
                let (name, bytes) = line.split_once(' ').expect("a name and bytes");
                (name.to_owned(), from_hex(bytes))
            });
            let release = path.file_stem().expect("a name").to_string_lossy().into_owned();
            (release, lines.collect())
        })
        .collect();
    releases.sort();
    releases
}

/// Returns the entries of the log of a replica.
fn log() -> Vec<Entry> {
    let commands = [
        Command::Publish {
            plan: samples::plan(9).into(),
            document: Bytes::from_static(b"{\"Version\":9}").into(),
        },
        Command::Name(samples::version()),
    ];
    let commands = commands.iter().map(|command| postcard::to_stdvec(command).expect("encoded"));
    let payloads = commands.map(|command| Payload::Data(command.into()));
    let entry = |(index, payload)| Entry { index, term: 2, payload };
    (4..).zip(payloads).map(entry).collect()
}

const HARD_STATE: HardState = HardState { term: 2, vote: Some(5), commit: 4 };

fn identity() -> Identity {
    Identity { group: 1, replica: 5, host: "10.0.0.1:7380".into() }
}

fn write_replica(path: &Path) {
    let (mut store, ..) = Store::open(path).expect("an empty directory");
    store.write_identity(&identity()).expect("written");
    let state = postcard::to_stdvec(&samples::state()).expect("encoded");
    store.write_snapshot(&samples::snapshot(state.into())).expect("written");
    store.append(log());
    store.set_hard_state(HARD_STATE);
    store.sync().expect("written");
}

/// Writes the encodings of this release if the environment variable is set.
#[test]
fn encodings_are_written_on_request() {
    let Ok(release) = std::env::var("RADISH_BLESS") else { return };
    let lines = samples().into_iter().map(|sample| {
        let bytes = to_hex(&sample.bytes);
        format!("{} {bytes}\n", sample.name)
    });
    let text: String = lines.collect();
    std::fs::write(directory().join(format!("{release}.txt")), text).expect("written");
    write_replica(&directory().join(release));
}

// Guards against a process that can't read what a process of an earlier release sends or has written.
#[test]
fn values_of_earlier_releases_are_read() {
    let samples = samples();
    let releases = released();
    assert!(!releases.is_empty());
    for (release, values) in releases {
        for (name, bytes) in values {
            let sample = samples.iter().find(|sample| sample.name == name);
            let sample = sample.unwrap_or_else(|| panic!("{release}: no sample of {name}"));
            let decoded = (sample.decode)(&bytes);
            assert_eq!(decoded.as_ref(), Ok(&sample.text), "{release}: {name}");
        }
    }
}

// Guards against a message or a record that a process of an earlier release can't read.
#[test]
fn values_of_this_release_are_read_by_earlier_ones() {
    let samples = samples();
    for (release, values) in released() {
        for (name, bytes) in values {
            let sample = samples.iter().find(|sample| sample.name == name);
            let sample = sample.unwrap_or_else(|| panic!("{release}: no sample of {name}"));
            if EXTENDED.contains(&&*name) {
                assert!(sample.bytes.starts_with(&bytes), "{release}: {name}");
            } else {
                assert_eq!(to_hex(&sample.bytes), to_hex(&bytes), "{release}: {name}");
            }
        }
    }
}

// Guards against a replica that can't open the files of an earlier release.
#[test]
fn replicas_of_earlier_releases_are_opened() {
    for (release, _) in released() {
        let copy = tempfile::tempdir().expect("a directory");
        for file in std::fs::read_dir(directory().join(&release)).expect("the directory") {
            let file = file.expect("a file");
            std::fs::copy(file.path(), copy.path().join(file.file_name())).expect("copied");
        }
        let (_, stored, known) = Store::open(copy.path()).expect("a replica");
        assert_eq!(known, Some(identity()), "{release}");
        assert_eq!(stored.hard_state, HARD_STATE, "{release}");
        assert_eq!(stored.entries, log(), "{release}");
        let snapshot = stored.snapshot.expect("a snapshot");
        let state = State::decode(&snapshot.data).expect("a state");
        assert_eq!(format!("{state:?}"), format!("{:?}", samples::state()), "{release}");
    }
}
