//! Placement of requests that resume a stream, which must stay with the build that began it.

mod common;

use base::Code;
use base::Name;
use common::Cell;
use common::announcement;
use fleet::message::Outcome;

/// Returns a cell with `engines` engines of build v1 and `newer` of build v2.
fn cell(engines: usize, newer: usize) -> Cell {
    let mut cell = Cell::new(engines);
    for number in engines..engines + newer {
        let id = Name::from(format!("newer-{number}"));
        cell.engines.insert(id.clone(), common::Engine::default());
        let mut announcement = announcement(&id, number as u16);
        announcement.build = Name::from("v2");
        cell.scheduler.engine_announced(&announcement, cell.now);
    }
    cell.process_actions();
    cell
}

fn resume(cell: &mut Cell, adapter: &str, build: &str) -> u64 {
    cell.submit_with(adapter, |query| query.build = Some(Name::from(build)))
}

/// Returns the build of the engine that a request was granted.
fn granted_build(cell: &Cell, request: u64) -> Option<Name> {
    let grant = cell.grants.iter().find(|grant| grant.request == request)?;
    Some(grant.endpoint.build.clone())
}

#[test]
fn a_resumed_stream_is_granted_an_engine_of_its_build() {
    let mut cell = cell(2, 1);
    let requests: Vec<u64> = (0..12).map(|_| resume(&mut cell, "", "v2")).collect();
    cell.advance(400);
    for request in requests {
        if let Some(build) = granted_build(&cell, request) {
            assert_eq!(&*build, "v2");
        } else {
            assert!(cell.denial_code(request).is_some(), "request {request} has no decision");
        }
    }
    assert!(cell.grants.len() >= 4, "{:?}", cell.denials);
}

#[test]
fn an_adapter_is_loaded_for_a_resumed_stream_although_another_build_holds_it() {
    let mut cell = cell(1, 1);
    let begun = cell.submit("a1");
    cell.advance(400);
    assert_eq!(granted_build(&cell, begun).as_deref(), Some("v1"));
    let resumed = resume(&mut cell, "a1", "v2");
    cell.advance(400);
    assert_eq!(granted_build(&cell, resumed).as_deref(), Some("v2"));
}

#[test]
fn a_resumed_stream_is_refused_at_once_if_no_engine_has_its_build() {
    let mut cell = cell(2, 1);
    let request = resume(&mut cell, "", "v0");
    assert_eq!(cell.denial_code(request), Some(Code::BuildUnavailable));
    assert!(cell.denials.iter().all(|denial| denial.retry_ms > 0));
}

// Guards against a refusal of all resumed streams of a build whose few engines are suspected.
#[test]
fn a_resumed_stream_is_granted_although_all_engines_of_its_build_are_suspected() {
    let mut cell = cell(6, 2);
    for _ in 0..8 {
        let request = resume(&mut cell, "", "v2");
        cell.advance(50);
        cell.end_at_gate(request, Outcome::Lost);
    }
    let request = resume(&mut cell, "", "v2");
    cell.advance(50);
    assert_eq!(granted_build(&cell, request).as_deref(), Some("v2"), "{:?}", cell.denials);
}
