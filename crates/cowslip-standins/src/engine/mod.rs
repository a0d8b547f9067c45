//! Stand-in for a model engine: continuous batching, streams, orders, load reports and faults.

mod cache_log;
mod checkpoint_cache;
mod completion_request;
mod completion_text;
mod engine_fault;
mod engine_handler;
mod engine_journal;
mod engine_order;
mod engine_server;
mod engine_settings;
mod engine_shared;
mod engine_state;
mod order_runner;
mod prefix_cache;
mod reader_guard;
mod replica_entry;
mod report_history;
mod run_entry;
mod run_progress;
mod run_queue;
mod run_rejection;
mod stream_writer;
mod token_loop;

pub use engine_fault::{EngineFault, EngineFaultMode};
pub use engine_journal::{EngineJournal, OrderRecord};
pub use engine_server::EngineServer;
