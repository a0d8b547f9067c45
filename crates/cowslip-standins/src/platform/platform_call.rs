//! Parses requests into platform calls.

use bytes::Bytes;
use cowslip_platform::{TableTransaction, VmEntry};
use http::Method;
use http::request::Parts;
use serde::de::DeserializeOwned;

use crate::http_reply::{decode_part, query_number, query_value};
use crate::platform::{PlatformFault, PlatformService};

/// Row limit of a scan that sets none.
const DEFAULT_SCAN_LIMIT: u64 = 1_000;

/// A platform call, parsed from a request.
#[derive(Clone, Debug)]
pub(crate) enum PlatformCall {
    /// Reads a row.
    ReadRow { key: String },
    /// Reads rows in key order.
    ScanRows { prefix: String, after: String, limit: usize },
    /// Commits a transaction.
    CommitRows { transaction: TableTransaction },
    /// Writes an object.
    PutObject { name: String, body: Bytes },
    /// Reads an object.
    GetObject { name: String },
    /// Deletes an object.
    DeleteObject { name: String },
    /// Transfers a checkpoint.
    TransferCheckpoint { name: String, millis: u64 },
    /// Transfers an adapter.
    TransferAdapter { name: String, millis: u64 },
    /// Lists the VMs.
    ListVms,
    /// Adds or replaces a VM.
    PutVm { entry: VmEntry },
    /// Removes a VM.
    DeleteVm { name: String },
    /// Sets a fault.
    PutFault { fault: PlatformFault },
    /// Reads the journal.
    ReadJournal,
}

impl PlatformCall {
    /// Parses a request. `Ok(None)` for an unknown path or method, an error for an invalid body.
    pub(crate) fn parse(parts: &Parts, body: Bytes) -> Result<Option<Self>, String> {
        let path = parts.uri.path();
        let segments: Vec<String> = path.trim_start_matches('/').split('/').map(decode_part).collect();
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        let text = |key| query_value(&parts.uri, key).unwrap_or_default();
        let number = |key| query_number(&parts.uri, key);
        let call = match (&parts.method, segments.as_slice()) {
            (&Method::GET, ["table", "row"]) => Self::ReadRow { key: text("key") },
            (&Method::GET, ["table", "scan"]) => {
                let limit = number("limit").unwrap_or(DEFAULT_SCAN_LIMIT);
                let limit = usize::try_from(limit).unwrap_or(usize::MAX);
                Self::ScanRows { prefix: text("prefix"), after: text("after"), limit }
            }
            (&Method::POST, ["table", "commit"]) => Self::CommitRows { transaction: parse_json(&body)? },
            (&Method::PUT, ["objects", name]) => Self::PutObject { name: (*name).to_owned(), body },
            (&Method::GET, ["objects", name]) => Self::GetObject { name: (*name).to_owned() },
            (&Method::DELETE, ["objects", name]) => Self::DeleteObject { name: (*name).to_owned() },
            (&Method::POST, ["weights", "adapter", name]) => {
                Self::TransferAdapter { name: (*name).to_owned(), millis: number("ms").unwrap_or(0) }
            }
            (&Method::POST, ["weights", name]) => {
                Self::TransferCheckpoint { name: (*name).to_owned(), millis: number("ms").unwrap_or(0) }
            }
            (&Method::GET, ["vms"]) => Self::ListVms,
            (&Method::PUT, ["vms"]) => Self::PutVm { entry: parse_json(&body)? },
            (&Method::DELETE, ["vms", name]) => Self::DeleteVm { name: (*name).to_owned() },
            (&Method::PUT, ["faults"]) => Self::PutFault { fault: parse_json(&body)? },
            (&Method::GET, ["journal"]) => Self::ReadJournal,
            _ => return Ok(None),
        };
        Ok(Some(call))
    }

    /// Returns the service whose faults apply to the call; `None` for control calls, which never fail.
    pub(crate) const fn service(&self) -> Option<PlatformService> {
        match self {
            Self::ReadRow { .. } | Self::ScanRows { .. } | Self::CommitRows { .. } => {
                Some(PlatformService::Table)
            }
            Self::PutObject { .. } | Self::GetObject { .. } | Self::DeleteObject { .. } => {
                Some(PlatformService::Objects)
            }
            Self::TransferCheckpoint { .. } | Self::TransferAdapter { .. } => Some(PlatformService::Weights),
            Self::ListVms => Some(PlatformService::Vms),
            Self::PutVm { .. } | Self::DeleteVm { .. } | Self::PutFault { .. } | Self::ReadJournal => None,
        }
    }

    /// True when the call changes stored data. A transfer does not: it ends when its caller disconnects.
    pub(crate) const fn is_write(&self) -> bool {
        matches!(self, Self::CommitRows { .. } | Self::PutObject { .. } | Self::DeleteObject { .. })
    }

    /// Returns the kind under which the journal counts the call.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::ReadRow { .. } => "table_row",
            Self::ScanRows { .. } => "table_scan",
            Self::CommitRows { .. } => "table_commit",
            Self::PutObject { .. } => "object_put",
            Self::GetObject { .. } => "object_get",
            Self::DeleteObject { .. } => "object_delete",
            Self::TransferCheckpoint { .. } => "weights_checkpoint",
            Self::TransferAdapter { .. } => "weights_adapter",
            Self::ListVms => "vms_list",
            Self::PutVm { .. } => "vms_put",
            Self::DeleteVm { .. } => "vms_delete",
            Self::PutFault { .. } => "faults_put",
            Self::ReadJournal => "journal_read",
        }
    }
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}
