//! Names of the services and regions that a catalog refers to.

use std::collections::BTreeMap;

use hawthornmill::ident::{RegionId, ServiceId};
use hawthornmill::routing::regions::AllowedRegions;
use serde_json::Value;

/// Names by identifier, since a parsed catalog holds identifiers only.
///
/// Every text of the document is taken for a possible name, so that the names of its fields need not be known here.
#[derive(Debug, Default)]
pub struct Names {
    services: BTreeMap<ServiceId, Box<str>>,
    regions: BTreeMap<RegionId, Box<str>>,
}

impl Names {
    /// Adds all names in the JSON document `bytes`.
    pub fn collect(&mut self, bytes: &[u8]) {
        if let Ok(document) = serde_json::from_slice(bytes) {
            self.collect_value(&document);
        }
    }

    fn collect_value(&mut self, value: &Value) {
        match value {
            Value::String(text) => {
                self.services.insert(ServiceId::of(text), (**text).into());
                self.regions.insert(RegionId::of(text), (**text).into());
            }
            Value::Array(list) => list.iter().for_each(|v| self.collect_value(v)),
            Value::Object(fields) => fields.values().for_each(|v| self.collect_value(v)),
            _ => {}
        }
    }

    /// Returns the name of a service, or its identifier in hexadecimal.
    pub fn service(&self, id: ServiceId) -> Box<str> {
        let known = self.services.get(&id).cloned();
        known.unwrap_or_else(|| format!("{:x}", id.0).into())
    }

    /// Returns the name of a region, or its identifier in hexadecimal.
    pub fn region(&self, id: RegionId) -> Box<str> {
        let known = self.regions.get(&id).cloned();
        known.unwrap_or_else(|| format!("{:x}", id.0).into())
    }

    /// Returns the names of allowed regions, or `any`.
    pub fn regions(&self, allowed: &AllowedRegions) -> String {
        match allowed {
            AllowedRegions::Any => "any".into(),
            AllowedRegions::Only(ids) => {
                let names: Vec<Box<str>> = ids.iter().map(|id| self.region(*id)).collect();
                names.join(" ")
            }
        }
    }
}
