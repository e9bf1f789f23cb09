//! Tests of the recognition of event boundaries.

use sse::Scanner;

/// Streams, the number of their whole events, and whether they may end there.
const STREAMS: [(&str, u64, bool); 20] = [
    ("", 0, true),
    ("\n\n", 0, true),
    ("data: a\n\n", 1, true),
    ("data: a\r\n\r\n", 1, true),
    ("data: a\r\r", 1, true),
    ("data: a\n\ndata: b\ndata: c\n\n", 2, true),
    ("data\n\n", 1, true),
    (": comment\n", 0, true),
    (": comment\n\n", 0, true),
    ("data: a\n\n: comment\n", 1, true),
    ("data: a\n: comment\n\n", 1, true),
    ("d", 0, false),
    ("data: a", 0, false),
    ("data: a\n", 0, false),
    ("data: a\r", 0, false),
    ("data: a\r\n", 0, false),
    ("data: a\r\n\r", 1, false),
    ("data: a\n: comment\n", 0, false),
    ("data: a\n\n: comm", 1, false),
    ("data: a\n\nid: 2\ndata: b", 1, false),
];

#[test]
fn boundaries_are_recognized() {
    for (stream, events, boundary) in STREAMS {
        let mut scanner = Scanner::default();
        scanner.scan(stream.as_bytes());
        assert_eq!((scanner.events(), scanner.is_at_boundary()), (events, boundary), "{stream:?}");
    }
}

#[test]
fn boundaries_do_not_depend_on_the_division_into_frames() {
    for (stream, events, boundary) in STREAMS {
        for cut in 0..=stream.len() {
            let mut scanner = Scanner::default();
            let (first, second) = stream.as_bytes().split_at(cut);
            scanner.scan(first);
            scanner.scan(second);
            let result = (scanner.events(), scanner.is_at_boundary());
            assert_eq!(result, (events, boundary), "{stream:?} cut at {cut}");
        }
    }
}
