//! Cost of calls between processes, measured over loopback with both ends on one thread.

use std::net::SocketAddr;
use std::time::Instant;

use cowslip_messages::{PeerReport, PermitRequest};
use cowslip_rpc::{RouterApiClient, RouterApiServer, connect};
use cowslip_units::{IncarnationId, ViewVersion};
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::server::Server;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::share_fixtures::permit_report;
use crate::time_meter::median;
use crate::{
    CapacityError, EchoRouter, FleetGenerator, RunPlan, SlopePoint, SlopeRow, SlopeUnit, json_bytes,
};

/// Timeout of a call in ms.
const CALL_TIMEOUT_MS: u64 = 5_000;
/// Idle time in ms after which a request or response of unknown length counts as complete.
const IDLE_READ_MS: u64 = 200;

/// Measures time and size of calls by the size of their parameters.
pub(crate) fn call_slopes(plan: &RunPlan) -> Result<Vec<SlopeRow>, CapacityError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(measure(plan))
}

async fn measure(plan: &RunPlan) -> Result<Vec<SlopeRow>, CapacityError> {
    let own = plan.generator().member(0).incarnation;
    let server = Server::builder().build("127.0.0.1:0").await?;
    let addr = server.local_addr()?;
    let handle = server.start(EchoRouter { own: own.clone() }.into_rpc());
    let client = connect(addr, CALL_TIMEOUT_MS).map_err(|error| CapacityError::Call(error.to_string()))?;
    let (mut times, mut frames) = (Vec::new(), Vec::new());
    for hints in plan.sizes(&[0, 20, 200, 2_000]) {
        let report = permit_report(&own, &FleetGenerator::upstreams(hints));
        // The echo router returns the report, so it is sent in both directions.
        let bytes = json_bytes(&report);
        let size = truncate(2.0 * bytes);
        let micros = exchange_micros(plan, &client, &report).await?;
        times.push(SlopePoint::new(size, micros));
        let frame = frame_bytes(addr, &report).await?;
        frames.push(SlopePoint::new(size, frame));
    }
    let borrow = borrow_micros(plan, &client, &own).await?;
    let _ = handle.stop();
    let by = "bytes of parameter and result as JSON";
    Ok(vec![
        SlopeRow::new(
            "call.micros",
            by,
            SlopeUnit::Micros,
            "cowslip_rpc (jsonrpsee over HTTP), both ends",
            500,
            times,
        ),
        SlopeRow::new(
            "call.wire_bytes",
            by,
            SlopeUnit::WrittenBytes,
            "cowslip_rpc (jsonrpsee over HTTP), request and response without TCP and IP headers",
            500,
            frames,
        ),
        SlopeRow::new(
            "call.borrow_micros",
            "consecutive calls measured together (permit_borrow)",
            SlopeUnit::Micros,
            "cowslip_rpc (jsonrpsee over HTTP), both ends",
            1_000,
            borrow,
        ),
    ])
}

async fn exchange_micros(
    plan: &RunPlan,
    client: &HttpClient,
    report: &PeerReport,
) -> Result<f64, CapacityError> {
    let (runs, calls) = if plan.quick { (1, 3) } else { (9, 200) };
    let mut micros = Vec::new();
    for _ in 0..=runs {
        let start = Instant::now();
        for _ in 0..calls {
            call(client.peer_exchange(report.clone()).await)?;
        }
        micros.push(start.elapsed().as_secs_f64() * 1e6 / f64::from(calls));
    }
    // The first run establishes the connection and warms up.
    micros.remove(0);
    Ok(median(micros))
}

async fn borrow_micros(
    plan: &RunPlan,
    client: &HttpClient,
    own: &IncarnationId,
) -> Result<Vec<SlopePoint>, CapacityError> {
    let mut points = Vec::new();
    for calls in plan.sizes(&[100, 300, 1_000]) {
        let mut micros = Vec::new();
        for _ in 0..if plan.quick { 1 } else { 5 } {
            let start = Instant::now();
            for sequence in 0..calls {
                let request = PermitRequest {
                    borrower: own.clone(),
                    upstream: FleetGenerator::upstream(17),
                    sequence: u64::try_from(sequence).unwrap_or_default(),
                    version: ViewVersion::new(20_000),
                };
                call(client.permit_borrow(request).await)?;
            }
            micros.push(start.elapsed().as_secs_f64() * 1e6);
        }
        points.push(SlopePoint::new(calls, median(micros)));
    }
    Ok(points)
}

/// Bytes of the HTTP request and response of one exchange.
#[allow(clippy::cast_precision_loss)]
async fn frame_bytes(addr: SocketAddr, report: &PeerReport) -> Result<f64, CapacityError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let client = connect(listener.local_addr()?, CALL_TIMEOUT_MS)
        .map_err(|error| CapacityError::Call(error.to_string()))?;
    let sent = report.clone();
    // The call is never answered; it fails when the connection is dropped.
    let pending_call = tokio::spawn(async move { client.peer_exchange(sent).await.is_ok() });
    let (mut stream, _) = listener.accept().await?;
    let request = read_until_idle(&mut stream).await?;
    drop(stream);
    drop(listener);
    pending_call.abort();
    let mut stream = TcpStream::connect(addr).await?;
    stream.write_all(&request).await?;
    let answer = read_until_idle(&mut stream).await?;
    Ok((request.len() + answer.len()) as f64)
}

async fn read_until_idle(stream: &mut TcpStream) -> Result<Vec<u8>, CapacityError> {
    let mut bytes = Vec::new();
    let mut part = vec![0; 64 * 1024];
    let quiet = std::time::Duration::from_millis(IDLE_READ_MS);
    while let Ok(read) = tokio::time::timeout(quiet, stream.read(&mut part)).await {
        match read? {
            0 => break,
            count => bytes.extend_from_slice(&part[..count]),
        }
    }
    Ok(bytes)
}

fn call<T>(result: Result<T, jsonrpsee::core::ClientError>) -> Result<T, CapacityError> {
    result.map_err(|error| CapacityError::Call(error.to_string()))
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn truncate(value: f64) -> usize {
    value as usize
}
