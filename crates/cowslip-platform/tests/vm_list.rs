//! Contract tests of the VM list, with its delay and injected faults.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use common::{Failure, TIMEOUT_MS, closed_addr, eventually, failure, pause_ms, put_fault};
use cowslip_platform::{PlatformClient, VmEntry, VmList, VmRole, VmState};
use cowslip_standins::{PlatformServer, StandinClient};
use cowslip_units::{DomainId, VmId};
use http::Method;
use rstest::rstest;
use serde_json::json;

/// Delay of the list in the tests, in ms.
const LAG_MS: u64 = 1_000;

fn entry(name: &str, state: VmState) -> VmEntry {
    VmEntry {
        vm: VmId::new(name).unwrap(),
        domain: DomainId::new("za-south-a").unwrap(),
        role: VmRole::Upstream,
        state,
        address: "127.0.0.1:1".parse().unwrap(),
        controller: None,
    }
}

fn platform() -> PlatformServer {
    PlatformServer::new()
        .with_vm_list_lag_ms(LAG_MS)
        .with_vm(entry("vm-b", VmState::Live))
        .with_vm(entry("vm-a", VmState::Live))
}

/// Guards against a wrong classification of failures.
#[rstest]
#[case::none("none", 0, None)]
#[case::down("down", 0, Some(Failure::Refused(503)))]
#[case::slower_than_timeout("slow", TIMEOUT_MS + 200, Some(Failure::InDoubt))]
#[case::connection_dropped("drop_connection", 0, Some(Failure::InDoubt))]
#[tokio::test]
async fn list_under_fault(#[case] mode: &str, #[case] ms: u64, #[case] expected: Option<Failure>) {
    let platform = platform().start().unwrap();
    let client = PlatformClient::new(platform.addr).with_timeout_ms(TIMEOUT_MS);
    put_fault(platform.addr, json!({"service": "vms", "mode": mode, "ms": ms})).await;
    let outcome = client.list().await;
    assert_eq!(failure(&outcome), expected, "{outcome:?}");
    if let Ok(entries) = outcome {
        assert_eq!(entries, [entry("vm-a", VmState::Live), entry("vm-b", VmState::Live)]);
    }
}

/// Guards against a stand-in that shows changes at once, which would hide a missing check at dispatch.
#[tokio::test]
async fn changes_show_after_delay() {
    let platform = platform().start().unwrap();
    let client = PlatformClient::new(platform.addr).with_timeout_ms(TIMEOUT_MS);
    let control = StandinClient::new(platform.addr);
    pause_ms(100).await;
    let leaving = serde_json::to_vec(&entry("vm-a", VmState::Leaving)).unwrap();
    control.call(Method::PUT, "/vms", leaving.into()).await.unwrap();
    control.call(Method::DELETE, "/vms/vm-b", Vec::new().into()).await.unwrap();
    assert_eq!(client.list().await.unwrap(), [entry("vm-a", VmState::Live), entry("vm-b", VmState::Live)]);
    eventually("the changes show", || async {
        client.list().await.unwrap() == [entry("vm-a", VmState::Leaving)]
    })
    .await;
}

/// Guards against a stopped platform that still answers, and against a port that stays in use.
#[tokio::test]
async fn stopped_platform_is_not_connected_and_comes_back() {
    assert_eq!(failure(&PlatformClient::new(closed_addr()).list().await), Some(Failure::NotConnected));
    let platform = platform().start().unwrap();
    let addr = platform.addr;
    let client = PlatformClient::new(addr).with_timeout_ms(TIMEOUT_MS);
    client.list().await.unwrap();
    platform.stop();
    assert_eq!(failure(&client.list().await), Some(Failure::NotConnected));
    let _again = PlatformServer::new().with_addr(addr).start().unwrap();
    assert!(client.list().await.unwrap().is_empty());
}
