use crate::kernel::{AdmissionCheck, JobKind, PlacementPolicy, RoutingPolicy};
use crate::prelude::*;

/// A plug-in, registered in its own file with `inventory::submit!`.
#[derive(Clone, Copy, derive_more::From)]
pub enum PluginEntry {
    /// Placement policy: chooses workers for tasks.
    Placement(PlacementPolicy),
    /// Routing policy: chooses endpoints for requests.
    Routing(RoutingPolicy),
    /// Admission check: refuses requests.
    Admission(AdmissionCheck),
}

impl PluginEntry {
    /// Returns the kind and the name of the plug-in, for log and error messages.
    #[must_use]
    pub const fn describe(&self) -> (&'static str, &'static str) {
        match self {
            Self::Placement(policy) => ("placement", policy.name),
            Self::Routing(policy) => ("routing", policy.name),
            Self::Admission(check) => ("admission", check.name),
        }
    }
}

inventory::collect!(PluginEntry);

/// The registered plug-ins, by kind and name.
#[derive(Clone, Default)]
pub struct PluginRegistry {
    /// Placement policies by name.
    pub placements: FastMap<&'static str, PlacementPolicy>,
    /// Routing policies by name.
    pub routings: FastMap<&'static str, RoutingPolicy>,
    /// Admission checks in the order in which they run.
    pub admissions: Vec<AdmissionCheck>,
}

impl PluginRegistry {
    /// Collects all plug-ins that are linked into the program.
    #[must_use]
    pub fn collect() -> Self {
        let mut registry = Self::default();
        for entry in inventory::iter::<PluginEntry> {
            registry.add(*entry);
        }
        registry
    }

    /// Adds a plug-in, replacing one of the same kind and name.
    pub fn add(&mut self, entry: PluginEntry) {
        match entry {
            PluginEntry::Placement(policy) => {
                self.placements.insert(policy.name, policy);
            }
            PluginEntry::Routing(policy) => {
                self.routings.insert(policy.name, policy);
            }
            PluginEntry::Admission(check) => {
                self.admissions.retain(|known| known.name != check.name);
                self.admissions.push(check);
                self.admissions.sort_by_key(|check| (check.rank, check.name));
            }
        }
    }

    /// Returns the placement policy that the bundle names for a kind of job; `None` if
    /// no such plug-in is registered.
    #[must_use]
    pub fn placement(&self, bundle: &PolicyBundle, kind: JobKind) -> Option<PlacementPolicy> {
        let name = match kind {
            JobKind::Service => &bundle.placement.service,
            JobKind::Batch => &bundle.placement.batch,
            JobKind::Gang => &bundle.placement.gang,
        };
        self.placements.get(name.as_str()).copied()
    }
}

/// Returns the names sorted and separated by commas, for error messages.
#[must_use]
pub fn join_sorted<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let mut names: Vec<&str> = names.collect();
    names.sort_unstable();
    names.join(", ")
}
