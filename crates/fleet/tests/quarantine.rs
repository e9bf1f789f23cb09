//! What requests are recognized by, and the list of what is quarantined.

use fleet::quarantine::Fingerprint;
use fleet::quarantine::List;
use fleet::quarantine::Subject;

#[test]
fn the_last_part_of_a_prompt_is_not_a_subject() {
    let subjects = |parts: &[u64]| -> Vec<Subject> {
        Fingerprint::new(7, parts.iter().copied()).subjects().collect()
    };
    let request = Subject::Request(7);
    assert_eq!(subjects(&[]), [request]);
    assert_eq!(subjects(&[1]), [request]);
    assert_eq!(subjects(&[2, 1, 2, 3]), [request, Subject::Part(1), Subject::Part(2)]);
}

#[test]
fn a_full_list_releases_its_oldest_subject() {
    let mut list = List::default();
    for number in 0..1_025 {
        assert!(list.insert(Subject::Request(number)));
    }
    assert!(!list.contains(Subject::Request(0)));
    assert!(list.contains(Subject::Request(1)) && list.contains(Subject::Request(1_024)));
    assert!(!list.insert(Subject::Request(1)));
    assert!(list.remove(Subject::Request(1)) && !list.remove(Subject::Request(1)));
}
