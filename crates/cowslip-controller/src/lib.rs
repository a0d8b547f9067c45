//! The controller process.
//!
//! Every controller follows the change log ([`ControllerCore::follow_view`]) and serves operators and routers
//! ([`ControllerService`]). The controller that holds the leader lease also maintains the member list, reads
//! the engines' reports, runs the planner and sends orders. All of this runs as tasks on one thread that
//! share one [`ControllerState`]; the state is never locked across an await.

mod change_commit;
mod change_propagation;
mod controller_core;
mod controller_service;
mod controller_settings;
mod controller_state;
mod engine_calls;
mod issuer_row;
mod leader_loop;
mod leader_state;
mod lease_loop;
mod ledger_head;
mod ledger_store;
mod member_loop;
mod operator_calls;
mod operator_fault;
mod peer_clients;
mod platform_services;
mod policy_choice;
mod policy_name;
mod report_reader;
mod router_contact;
mod rows_digest;
mod run_controller;
mod sheet_store;
mod snapshot_loop;
mod stored_ledger;
mod view_follower;
mod vm_watch;

pub use controller_core::ControllerCore;
pub use controller_service::ControllerService;
pub use controller_settings::ControllerSettings;
pub use controller_state::ControllerState;
pub use platform_services::PlatformServices;
pub use policy_choice::PolicyChoice;
pub use policy_name::PolicyName;
pub use run_controller::{RunFault, run_controller};
