//! Checks of answers, the run state and the format of error responses.

use cowslip_routing::{
    AnswerFault, EndedUpstreams, ErrorResponse, EventSplitter, RequestState, StreamCheck, StreamStep,
    check_complete_answer,
};
use cowslip_units::{ErrorKind, InvariantName, RequestId, RunState, UpstreamId, drain_violations};
use rstest::rstest;

fn request() -> RequestId {
    "r1".parse().expect("an id")
}

fn chunk(id: &str, offset: u64, finish: &str) -> String {
    format!(r#"{{"id":"{id}","offset":{offset},"choices":[{{"delta":{{}},"finish_reason":{finish}}}]}}"#)
}

const NULL: &str = "null";
const STOP: &str = r#""stop""#;

/// Guards against forwarding another request's answer, a gap, malformed data or a truncated stream as a
/// complete answer.
#[rstest]
#[case::whole(vec![chunk("r1", 0, NULL), chunk("r1", 1, STOP), "[DONE]".into()], Ok(StreamStep::End))]
#[case::repeated(vec![chunk("r1", 0, NULL), chunk("r1", 0, NULL)], Ok(StreamStep::Repeated))]
#[case::other_id(vec![chunk("r2", 0, NULL)], Err(AnswerFault::WrongId))]
#[case::no_id(vec![r#"{"offset":0,"choices":[{}]}"#.into()], Err(AnswerFault::WrongId))]
#[case::gap(vec![chunk("r1", 0, NULL), chunk("r1", 2, NULL)], Err(AnswerFault::Gap { expected: 1, got: 2 }))]
#[case::garbage(vec!["{\"id\":".into()], Err(AnswerFault::Malformed))]
#[case::no_offset(vec![r#"{"id":"r1","choices":[{}]}"#.into()], Err(AnswerFault::Malformed))]
#[case::early_end(vec![chunk("r1", 0, NULL), "[DONE]".into()], Err(AnswerFault::EarlyEnd))]
#[case::after_finish(vec![chunk("r1", 0, STOP), chunk("r1", 1, NULL)], Err(AnswerFault::AfterEnd))]
#[case::after_end(vec![chunk("r1", 0, STOP), "[DONE]".into(), "[DONE]".into()], Err(AnswerFault::AfterEnd))]
fn a_stream_is_checked(#[case] events: Vec<String>, #[case] last: Result<StreamStep, AnswerFault>) {
    let mut check = StreamCheck::new(request());
    let steps: Vec<_> = events.iter().map(|event| check.check(event)).collect();
    assert_eq!(steps.last(), Some(&last));
}

/// Accepts a stream as complete when its end marker arrives, as a reader without a check does.
fn naive_end(events: &[String]) -> bool {
    events.last().is_some_and(|event| event == "[DONE]")
}

/// Guards against cases that a reader without a check would reject too: such a reader accepts each of these
/// streams as complete, and the check must not.
#[rstest]
#[case::other_id(vec![chunk("r2", 0, STOP), "[DONE]".into()])]
#[case::gap(vec![chunk("r1", 0, NULL), chunk("r1", 2, STOP), "[DONE]".into()])]
#[case::out_of_order(vec![chunk("r1", 1, NULL), chunk("r1", 0, STOP), "[DONE]".into()])]
#[case::early_end(vec![chunk("r1", 0, NULL), "[DONE]".into()])]
fn a_reader_without_a_check_is_caught(#[case] events: Vec<String>) {
    assert!(naive_end(&events));
    let mut check = StreamCheck::new(request());
    let whole = events.iter().try_for_each(|event| check.check(event).map(|_| ()));
    assert!(whole.is_err(), "the check accepts {events:?} as complete");
}

/// Guards against an end marker that reaches the caller before all chunks: the assertion must record it.
#[test]
fn an_end_forwarded_too_early_is_recorded() {
    let mut check = StreamCheck::new(request());
    assert_eq!(check.check(&chunk("r1", 0, NULL)), Ok(StreamStep::Chunk));
    check.forwarded(StreamStep::Chunk);
    assert!(drain_violations().is_empty());
    check.forwarded(StreamStep::End);
    assert_eq!(
        drain_violations().first().map(|violation| violation.invariant),
        Some(InvariantName::OwnAnswer)
    );
}

/// Guards against a complete answer that belongs to another request or is malformed or truncated.
#[rstest]
#[case::good(Some("r1"), r#"{"id":"r1","choices":[{"finish_reason":"stop"}]}"#, None)]
#[case::header(Some("r2"), r#"{"id":"r1","choices":[{"finish_reason":"stop"}]}"#, Some(AnswerFault::WrongId))]
#[case::no_header(None, r#"{"id":"r1","choices":[{"finish_reason":"stop"}]}"#, Some(AnswerFault::WrongId))]
#[case::body(Some("r1"), r#"{"id":"r2","choices":[{"finish_reason":"stop"}]}"#, Some(AnswerFault::WrongId))]
#[case::cut(Some("r1"), r#"{"id":"r1","choices":[{"finish_re"#, Some(AnswerFault::Malformed))]
#[case::unfinished(Some("r1"), r#"{"id":"r1","choices":[]}"#, Some(AnswerFault::Malformed))]
#[case::other_json(Some("r1"), "[1]", Some(AnswerFault::Malformed))]
fn a_whole_answer_is_checked(
    #[case] header: Option<&str>,
    #[case] body: &str,
    #[case] fault: Option<AnswerFault>,
) {
    assert_eq!(check_complete_answer(&request(), header, body.as_bytes()).err(), fault);
}

/// Guards against events that are split across packets at any position.
#[rstest]
fn events_survive_any_split(#[values(1, 2, 3, 7, 100)] size: usize) {
    let mut splitter = EventSplitter::new();
    let mut events = Vec::new();
    for part in b"data: one\n\ndata: two\r\n\r\nevent: x\ndata:three\n\ndata: cut".chunks(size) {
        splitter.push(part);
        while let Some(event) = splitter.next_event() {
            events.push(event.expect("a whole event"));
        }
    }
    assert_eq!(events, ["one", "two", "three"]);
    assert!(!splitter.is_empty());
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Sending,
    NotRun,
    FirstByte,
    Answered,
}

/// Guards against an error response with "not run" although a byte was sent, and against a second run.
#[rstest]
#[case::waiting(&[], RunState::NotRun, false)]
#[case::sent(&[Event::Sending], RunState::Unknown, false)]
#[case::refused_upstream(&[Event::Sending, Event::NotRun], RunState::NotRun, false)]
#[case::sent_after_refusal(&[Event::Sending, Event::NotRun, Event::Sending], RunState::Unknown, false)]
#[case::first_byte(&[Event::Sending, Event::FirstByte], RunState::Unknown, false)]
#[case::answered(&[Event::Sending, Event::FirstByte, Event::Answered], RunState::Ran, false)]
#[case::sent_twice(&[Event::Sending, Event::Sending], RunState::Unknown, true)]
#[case::sent_twice_refused_once(&[Event::Sending, Event::Sending, Event::NotRun], RunState::Unknown, true)]
fn the_run_state_is_true(#[case] events: &[Event], #[case] ran: RunState, #[case] violated: bool) {
    let mut state = RequestState::new(request(), false);
    for event in events {
        match event {
            Event::Sending => state.sending(),
            Event::NotRun => state.not_run(),
            Event::FirstByte => state.first_byte(),
            Event::Answered => state.answered(),
        }
    }
    assert_eq!(state.run_state(), ran);
    assert_eq!(drain_violations().len(), usize::from(violated));
    state.refused(RunState::NotRun);
    assert_eq!(drain_violations().len(), usize::from(ran != RunState::NotRun));
}

/// Guards against a change of the error format, which callers parse.
#[test]
fn an_error_response_has_the_documented_format() {
    let response = ErrorResponse::new(ErrorKind::NoCapacity, "full").with_retry_ms(1_200);
    assert_eq!(
        response.to_json(),
        r#"{"error":{"kind":"no_capacity","message":"full","ran":"not_run","retry_after_ms":1200}}"#
    );
    assert_eq!((response.status(), response.retry_after_s()), (503, Some(2)));
}

/// Guards against a list of ended upstreams that the next owner of a report loses or counts twice, and against
/// giving up a request for one upstream that keeps ending.
#[test]
fn ended_upstreams_are_counted_over_owners() {
    let id = |name: &str| -> UpstreamId { name.parse().expect("an id") };
    let mut run = EndedUpstreams::new(2);
    run.add(id("e1"));
    let mut ended = EndedUpstreams::new(3).with_limit_at_one(5);
    ended.begin_with(&[id("e1"), id("e1")]);
    ended.add_all(&run);
    ended.begin_with(&[id("e1"), id("e1")]);
    assert_eq!((ended.ids().len(), ended.is_exhausted()), (3, false), "one upstream ended three times");
    ended.add(id("e2"));
    assert!(ended.is_exhausted(), "several upstreams ended");
    run.add(id("e1"));
    assert!(run.is_exhausted(), "a call has one limit");
}
