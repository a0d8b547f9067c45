//! A complete, validated sheet.

use cowslip_units::{DomainId, ModelId, TeamId, UpstreamId};

use crate::sheet_checks::finish_draft;
use crate::sheet_draft::SheetDraft;
use crate::sheet_text::read_rows;
use crate::{AdapterRow, DomainRow, LimitRow, ModelRow, RouteRow, SheetFault, TeamRow, UpstreamRow};

/// Everything that a sheet declares. Each vector is sorted by name, and every referenced name is declared.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSheet {
    /// Failure domains.
    pub domains: Vec<DomainRow>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamRow>,
    /// Models.
    pub models: Vec<ModelRow>,
    /// Adapters; none has the name of a model.
    pub adapters: Vec<AdapterRow>,
    /// Teams.
    pub teams: Vec<TeamRow>,
    /// Routes.
    pub routes: Vec<RouteRow>,
    /// Limits of the platform.
    pub limits: LimitRow,
}

impl FleetSheet {
    /// Parses and validates a sheet.
    ///
    /// # Errors
    /// All faults that can be found, in order of row.
    pub fn from_csv(text: &str) -> Result<Self, Vec<SheetFault>> {
        let mut draft = SheetDraft::default();
        let mut faults = Vec::new();
        let rows = read_rows(text, &mut faults);
        draft.faults = faults;
        for row in &rows {
            draft.add_row(row);
        }
        finish_draft(draft)
    }

    /// The failure domain with this name.
    pub fn domain(&self, domain: &DomainId) -> Option<&DomainRow> {
        let at = self.domains.binary_search_by(|row| row.domain.cmp(domain)).ok()?;
        self.domains.get(at)
    }

    /// The upstream with this name.
    pub fn upstream(&self, upstream: &UpstreamId) -> Option<&UpstreamRow> {
        let at = self.upstreams.binary_search_by(|row| row.upstream.cmp(upstream)).ok()?;
        self.upstreams.get(at)
    }

    /// The model with this name; does not find adapters.
    pub fn model(&self, model: &ModelId) -> Option<&ModelRow> {
        let at = self.models.binary_search_by(|row| row.model.cmp(model)).ok()?;
        self.models.get(at)
    }

    /// The adapter with this name.
    pub fn adapter(&self, adapter: &ModelId) -> Option<&AdapterRow> {
        let at = self.adapters.binary_search_by(|row| row.adapter.cmp(adapter)).ok()?;
        self.adapters.get(at)
    }

    /// The team with this name.
    pub fn team(&self, team: &TeamId) -> Option<&TeamRow> {
        let at = self.teams.binary_search_by(|row| row.team.cmp(team)).ok()?;
        self.teams.get(at)
    }

    /// The model whose replicas serve `name`: the model itself, or the model of an adapter.
    pub fn base_model(&self, name: &ModelId) -> Option<&ModelRow> {
        match self.adapter(name) {
            Some(adapter) => self.model(&adapter.model),
            None => self.model(name),
        }
    }
}
