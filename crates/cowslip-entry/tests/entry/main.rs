//! Tests of the gateway's decisions, in virtual time.

mod book_cases;
mod config_cases;
mod demand_cases;
mod grant_runs;
mod handover_cases;
mod limit_runs;
mod names;
mod news_cases;
mod notice_cases;
mod planner_cases;
mod planner_runs;
mod proof_cases;
mod rare_runs;
mod speed_runs;
mod view_cases;
mod view_runs;
mod wait_cases;
