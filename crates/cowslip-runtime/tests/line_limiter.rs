//! Rate limit for log lines of one kind.

use std::sync::{Arc, Mutex};

use cowslip_runtime::{LimitedDrain, LineLimiter};
use slog::{Drain, Logger, OwnedKVList, Record, info, o};

/// Guards against one kind of line that uses up the limit of others, and against suppressed lines that are
/// not counted.
#[test]
fn each_kind_has_its_own_limit() {
    let mut limiter = LineLimiter::new(3);
    let flood = (0..10).filter(|_| limiter.take("flood", 7)).count();
    assert_eq!(flood, 3);
    assert!(limiter.take("other", 7));
    assert!(limiter.take("flood", 8), "the limit applies per second");
    assert_eq!(limiter.take_suppressed(), vec![("flood".to_owned(), 7)]);
    assert!(limiter.take_suppressed().is_empty(), "the counts are reset by each call");
}

#[derive(Clone, Default)]
struct LineRecorder(Arc<Mutex<Vec<String>>>);

impl Drain for LineRecorder {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), slog::Never> {
        self.0.lock().expect("lines").push(record.msg().to_string());
        Ok(())
    }
}

/// Guards against a logger that bypasses the limit.
#[test]
fn a_logger_respects_the_limit() {
    let lines = LineRecorder::default();
    let limiter = Arc::new(Mutex::new(LineLimiter::new(2)));
    let drain = LimitedDrain::new(lines.clone(), Arc::clone(&limiter));
    let logger = Logger::root(drain.ignore_res(), o!());
    for number in 0..1_000 {
        info!(logger, "flood"; "number" => number);
    }
    info!(logger, "single");
    let written = lines.0.lock().expect("lines").clone();
    // The run may extend over the end of a second.
    assert!(written.len() <= 5, "{} lines", written.len());
    assert_eq!(written.last().map(String::as_str), Some("single"));
    let suppressed = limiter.lock().expect("limiter").take_suppressed();
    assert_eq!(suppressed.iter().map(|(_, count)| count).sum::<u64>() as usize, 1_001 - written.len());
}
