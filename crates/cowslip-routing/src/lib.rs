//! Decisions on a request: the waiting queue, the selection of an upstream, retries, and checks of answers.
//!
//! Everything here is a plain state machine without I/O or clock reads; callers pass the time, and random
//! choices come from a seeded generator. The router runs these machines in its single event loop, and
//! randomised tests run them with virtual time.

mod answer_head;
mod call_outcome;
mod choice_candidate;
mod circuit_breaker;
mod class_queue;
mod ended_upstreams;
mod error_response;
mod event_splitter;
mod fair_queue;
mod prefix_affinity;
mod queue_entry;
mod queue_rejection;
mod queue_ticket;
mod request_class;
mod request_queue;
mod request_state;
mod retry_budget;
mod stream_check;
mod target_forecast;
mod team_lane;
mod upstream_load;
mod upstream_selector;
mod wait_target;
mod waiting_request;

pub use answer_head::{AnswerHead, TokenUsage};
pub use call_outcome::CallOutcome;
pub use choice_candidate::ChoiceCandidate;
pub use circuit_breaker::{BreakerState, CircuitBreaker};
pub use ended_upstreams::EndedUpstreams;
pub use error_response::ErrorResponse;
pub use event_splitter::{EventFault, EventSplitter};
pub use fair_queue::{FairQueue, LESS_URGENT_SHARE};
pub use prefix_affinity::PrefixAffinity;
pub use queue_entry::QueueEntry;
pub use queue_rejection::QueueRejection;
pub use queue_ticket::QueueTicket;
pub use request_class::RequestClass;
pub use request_queue::{QueueLimit, RequestQueue};
pub use request_state::{RequestState, SendStage};
pub use retry_budget::RetryBudget;
pub use stream_check::{AnswerFault, StreamCheck, StreamStep, check_complete_answer};
pub use target_forecast::TargetForecast;
pub use upstream_load::UpstreamLoad;
pub use upstream_selector::{PromptPrefix, UpstreamSelector};
pub use wait_target::WaitTarget;
pub use waiting_request::WaitingRequest;
