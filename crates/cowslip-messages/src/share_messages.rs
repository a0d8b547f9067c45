//! Borrowing of team tokens and upstream permits between routers.
//!
//! A lender deducts before it answers, so a lost answer loses a share and never doubles it.

use cowslip_units::{IncarnationId, TeamId, TokenCount, UpstreamId, ViewVersion};
use serde::{Deserialize, Serialize};

/// A borrower's notice that a loan was spent or dropped, which ends the loan at the lender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenSettlement {
    /// Sequence number of the borrow call.
    pub sequence: u64,
}

/// Asks a bucket owner of a team for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Incarnation of the borrower.
    pub borrower: IncarnationId,
    /// Team whose tokens are borrowed.
    pub team: TeamId,
    /// Unique for borrower and lender; a repeated request gets the same answer.
    pub sequence: u64,
    /// Largest number of tokens to lend.
    pub amount: TokenCount,
    /// Earlier loans that are settled.
    pub settled: Vec<TokenSettlement>,
    /// Version of the borrower's view.
    pub version: ViewVersion,
}

/// The lender's answer to a [`TokenRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// Tokens lent: possibly fewer than requested, or none.
    pub granted: TokenCount,
    /// Tokens left at the lender.
    pub left: TokenCount,
}

/// Asks another router for a permit to send one request to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Incarnation of the borrower.
    pub borrower: IncarnationId,
    /// Upstream of the permit.
    pub upstream: UpstreamId,
    /// Unique for borrower and lender; a repeated request gets the same answer.
    pub sequence: u64,
    /// Version of the borrower's view.
    pub version: ViewVersion,
}

/// The lender's answer to a [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// Whether a permit was lent.
    pub granted: bool,
    /// Permits left at the lender.
    pub left: u32,
}

/// Returns a lent permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReturn {
    /// Incarnation of the borrower.
    pub borrower: IncarnationId,
    /// Upstream of the permit.
    pub upstream: UpstreamId,
    /// Sequence number of the borrow call.
    pub sequence: u64,
}
